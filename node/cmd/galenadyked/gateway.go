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
type gatewayCommand struct{ path string }

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run an instance that serves a platform's routes" }
func (*gatewayCommand) Usage() string {
	return "gateway --settings FILE\n  SIGTERM stops it gracefully, a second SIGINT at once.\n"
}
func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file")
}

func (c *gatewayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return subcommands.ExitStatus(gateway.Run(c.path, thisPlatform(), os.Stdout))
}

// thisPlatform binds the adapter.
func thisPlatform() gateway.Platform {
	return gateway.Platform{
		Protocol: platform.Protocol{},
		OpenStore: func(address string, submit func(core.Input) bool, log gateway.Log) gateway.Store {
			return platform.NewStore(address, submit, log)
		},
	}
}
