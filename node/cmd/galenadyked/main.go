// Command galenadyked runs an instance of the query tier. Further subcommands
// print and check settings and print the reference of the metrics.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&gatewayCommand{}, "")
	subcommands.Register(&settingsCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&metricsCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
