package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"galenadyke.dev/node/daemon"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/node/telemetry"
)

// loadSettings reads the settings of galenadyked run and prints all findings. It
// reports whether the settings are valid.
func loadSettings(path string) (settings.Settings, bool) {
	s, findings := settings.Load(path)
	return s, printFindings(findings) == subcommands.ExitSuccess
}

// printFindings prints all findings to stderr. The status is a success if there
// are none.
func printFindings(findings []settings.Finding) subcommands.ExitStatus {
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, f)
	}
	if len(findings) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// runCommand implements "run".
type runCommand struct{ settingsPath string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run an instance" }
func (*runCommand) Usage() string {
	return "run --settings FILE\n  SIGTERM or SIGINT stops the instance gracefully; a second signal ends the process at once.\n"
}
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsPath, "settings", "", "settings file")
}

func (c *runCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsPath == "" && f.NArg() == 1 {
		c.settingsPath = f.Arg(0)
	}
	if c.settingsPath == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	s, ok := loadSettings(c.settingsPath)
	if !ok {
		return subcommands.ExitFailure
	}
	return subcommands.ExitStatus(daemon.Run(s))
}

// settingsCommand implements "settings".
type settingsCommand struct{ forGateway bool }

func (*settingsCommand) Name() string     { return "settings" }
func (*settingsCommand) Synopsis() string { return "print the default settings" }
func (*settingsCommand) Usage() string    { return "settings [--gateway]\n" }
func (c *settingsCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.forGateway, "gateway", false, "print the settings of galenadyked gateway")
}

func (c *settingsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	out := settings.Defaults().JSON()
	if c.forGateway {
		out = settings.GatewayDefaults().JSON()
	}
	if _, err := os.Stdout.Write(out); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// checkCommand implements "check-settings".
type checkCommand struct{ forGateway bool }

func (*checkCommand) Name() string     { return "check-settings" }
func (*checkCommand) Synopsis() string { return "check a settings file" }
func (*checkCommand) Usage() string {
	return "check-settings [--gateway] FILE\n  Prints the faults of all settings; exits with status 0 if there are none.\n"
}
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.forGateway, "gateway", false, "check a settings file of galenadyked gateway")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if c.forGateway {
		_, findings := settings.LoadGateway(f.Arg(0))
		return printFindings(findings)
	}
	_, findings := settings.Load(f.Arg(0))
	return printFindings(findings)
}

// metricsCommand implements "metrics".
type metricsCommand struct{}

func (*metricsCommand) Name() string           { return "metrics" }
func (*metricsCommand) Synopsis() string       { return "print the reference of all metrics" }
func (*metricsCommand) Usage() string          { return "metrics\n" }
func (*metricsCommand) SetFlags(*flag.FlagSet) {}

func (*metricsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := os.Stdout.Write(telemetry.MetricReference()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
