// Command galenadyke is the command of operators and developers.
package main

import (
	"context"
	"os"
	"os/signal"

	"galenadyke.dev/ctl/command"
	"galenadyke.dev/ctl/load"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	env := command.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	commands := command.All(env)
	// Commands of other packages are appended here, one line each.
	commands = append(commands, load.NewCommand())
	return command.Run(ctx, env, os.Args[1:], commands...)
}
