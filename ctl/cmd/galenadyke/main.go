// Command galenadyke is the command line of the query tier, for operators and
// developers.
package main

import (
	"context"
	"os"
	"os/signal"

	"galenadyke.dev/ctl/command"
	"galenadyke.dev/ctl/explain"
	"galenadyke.dev/ctl/load"
	"galenadyke.dev/ctl/replay"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	env := command.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	commands := command.All(env)
	// These subcommands live in packages of their own.
	commands = append(commands, load.NewCommand(), replay.NewCommand(env), explain.NewCommand(env))
	return command.Run(ctx, env, os.Args[1:], commands...)
}
