package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	core "galenadyke.dev/core/gateway"
	"galenadyke.dev/node/gateway"
	"galenadyke.dev/platform"
)

// gatewayCommand implements "gateway".
type gatewayCommand struct{ settingsPath string }

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run an instance that serves a platform's routes" }
func (*gatewayCommand) Usage() string {
	return "gateway --settings FILE\n  SIGTERM or SIGINT stops the instance gracefully; a SIGINT after that ends the process at once.\n"
}
func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsPath, "settings", "", "settings file")
}

func (c *gatewayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsPath == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return subcommands.ExitStatus(gateway.Run(c.settingsPath, platformAdapter(), os.Stdout))
}

// platformAdapter returns the adapter of the platform that this binary serves.
func platformAdapter() gateway.Platform {
	return gateway.Platform{
		Protocol: platform.Protocol{},
		OpenStore: func(address string, firstStart bool, submit func(core.Input) bool, log gateway.Log) gateway.Store {
			return platform.NewStore(address, firstStart, submit, log)
		},
	}
}
