package replay

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"galenadyke.dev/core/engine"
	"galenadyke.dev/core/model"
	"galenadyke.dev/core/trace"
	"galenadyke.dev/ctl/command"
)

// maxPrintedTicks bounds the differing ticks that are printed without --all.
// After the first difference the state of the engine differs too, and so do
// most later ticks.
const maxPrintedTicks = 20

// Command is the subcommand galenadyke replay.
type Command struct {
	env    command.Environment
	expect string
	all    bool
}

var _ subcommands.Command = (*Command)(nil)

// NewCommand returns the subcommand.
func NewCommand(env command.Environment) *Command { return &Command{env: env} }

// Name implements subcommands.Command.
func (*Command) Name() string { return "replay" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "replay a recorded trace and compare the outputs" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `replay [--expect FILE] [--all] TRACE
  Replay the inputs of a trace, as returned by GET /v1/trace, through the
  decision core at their recorded times, and print each tick whose outputs
  differ from the recorded outputs. A trace whose first ticks were dropped has
  no starting point: it is not replayed, and the recorded outputs are compared
  with FILE.
  Exit code 0: the outputs are equal and match FILE, 1: they differ or cannot
  be compared, 2: wrong usage or a file that cannot be read.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.expect, "expect", "", "file that states what the outputs must contain")
	f.BoolVar(&c.all, "all", false, "print all differing ticks, not only the first")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.inputError("name one trace; flags come before it")
	}
	var expected *trace.Outcome
	if c.expect != "" {
		file, err := os.Open(c.expect)
		if err != nil {
			return c.inputError("%v", err)
		}
		defer file.Close()
		if expected, err = trace.ParseOutcome(file); err != nil {
			return c.inputError("%s: %v", c.expect, err)
		}
	}
	file, err := os.Open(f.Arg(0))
	if err != nil {
		return c.inputError("%v", err)
	}
	defer file.Close()
	newEngine := func(cfg model.CoreConfig) trace.Engine { return engine.New(cfg) }
	summary, err := trace.Replay(file, newEngine, func(t *trace.Tick) {
		if expected != nil {
			expected.Observe(t.At, t.Outputs)
		}
	})
	if err != nil {
		return c.inputError("%s: %v", f.Arg(0), err)
	}
	return c.report(&summary, expected)
}

// inputError reports wrong usage, or a file that cannot be read or is invalid. It
// prints the error and the usage to standard error.
func (c *Command) inputError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(c.env.Stderr, "galenadyke replay: %s\n%s", fmt.Sprintf(format, args...), c.Usage())
	return subcommands.ExitUsageError
}

// report prints the differences, the expected statements that do not hold and a
// summary, and returns the exit status. expected is nil without --expect.
func (c *Command) report(summary *trace.Summary, expected *trace.Outcome) subcommands.ExitStatus {
	for i, d := range summary.Differences {
		if i == maxPrintedTicks && !c.all {
			c.printf("... and %d more ticks\n", len(summary.Differences)-i)
			break
		}
		c.printDifference(&d)
	}
	var failures []string
	if expected != nil {
		failures = expected.Failures()
	}
	for _, line := range failures {
		c.printf("%s: %s\n", c.expect, line)
	}
	status := subcommands.ExitSuccess
	if len(summary.Differences)+len(failures) > 0 {
		status = subcommands.ExitFailure
	}
	header := &summary.Header
	switch {
	case summary.Compared:
		c.printf("%s incarnation %d: %d ticks, %d differ\n", header.Config.Self, header.Config.Incarnation, summary.Ticks, len(summary.Differences))
	case !header.Replayable():
		c.printf("complete: false: the first %d ticks were dropped; %d ticks read, not played\n", header.Dropped, summary.Ticks)
	default:
		c.printf("the trace holds no outputs; %d ticks played, not compared\n", summary.Ticks)
	}
	if !summary.Compared && expected == nil {
		// Nothing shows that the outputs are equal.
		status = subcommands.ExitFailure
	}
	return status
}

// printDifference prints one tick: "-" marks a recorded output that is missing,
// "+" an output that was not recorded.
func (c *Command) printDifference(d *trace.Difference) {
	c.printf("tick %d at %v, %d inputs\n", d.Tick, d.At.Round(time.Microsecond), d.Inputs)
	for _, o := range d.Missing {
		c.printf("  - %s\n", o)
	}
	for _, o := range d.Extra {
		c.printf("  + %s\n", o)
	}
	if d.Reordered {
		c.printf("  same outputs in another order\n")
	}
}

func (c *Command) printf(format string, args ...any) { fmt.Fprintf(c.env.Stdout, format, args...) }
