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

// maxPrinted bounds the differences that are printed. After the first one the
// state of the engine differs too, and so do most ticks.
const maxPrinted = 20

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
func (*Command) Synopsis() string { return "play a recorded trace and compare the outputs" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `replay [--expect FILE] [--all] TRACE
  Play the inputs of a trace, as GET /v1/trace gives it, with their times
  through the decision core, and print each tick whose outputs differ from the
  recorded ones. A trace whose first ticks were dropped has no starting point:
  it is not played, and FILE is compared with the recorded outputs.
  Exit code 0: equal, and as FILE states, 1: different or not comparable,
  2: wrong usage or a file that cannot be read.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.expect, "expect", "", "file that states what must be among the outputs")
	f.BoolVar(&c.all, "all", false, "print all differences, not only the first ones")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.refuse("name one trace; flags come before it")
	}
	var outcome *trace.Outcome
	if c.expect != "" {
		file, err := os.Open(c.expect)
		if err != nil {
			return c.refuse("%v", err)
		}
		defer file.Close()
		if outcome, err = trace.ParseOutcome(file); err != nil {
			return c.refuse("%s: %v", c.expect, err)
		}
	}
	file, err := os.Open(f.Arg(0))
	if err != nil {
		return c.refuse("%v", err)
	}
	defer file.Close()
	start := func(cfg model.CoreConfig) trace.Engine { return engine.New(cfg) }
	sum, err := trace.Replay(file, start, func(t *trace.Tick) {
		if outcome != nil {
			outcome.See(t.At, t.Outputs)
		}
	})
	if err != nil {
		return c.refuse("%s: %v", f.Arg(0), err)
	}
	return c.report(&sum, outcome)
}

func (c *Command) refuse(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(c.env.Stderr, "galenadyke replay: %s\n%s", fmt.Sprintf(format, args...), c.Usage())
	return subcommands.ExitUsageError
}

func (c *Command) report(sum *trace.Summary, outcome *trace.Outcome) subcommands.ExitStatus {
	for i, d := range sum.Differences {
		if i == maxPrinted && !c.all {
			c.print("... and %d more ticks\n", len(sum.Differences)-i)
			break
		}
		c.difference(&d)
	}
	var failures []string
	if outcome != nil {
		failures = outcome.Failures()
	}
	for _, line := range failures {
		c.print("%s: %s\n", c.expect, line)
	}
	status := subcommands.ExitSuccess
	if len(sum.Differences)+len(failures) > 0 {
		status = subcommands.ExitFailure
	}
	h := &sum.Header
	switch {
	case sum.Compared:
		c.print("%s incarnation %d: %d ticks, %d differ\n", h.Config.Self, h.Config.Incarnation, sum.Ticks, len(sum.Differences))
	case !h.Replayable():
		c.print("complete: false: the first %d ticks were dropped; %d ticks read, not played\n", h.Dropped, sum.Ticks)
	default:
		c.print("the trace holds no outputs; %d ticks played, not compared\n", sum.Ticks)
	}
	if !sum.Compared && outcome == nil {
		// Nothing shows that the outputs are equal.
		status = subcommands.ExitFailure
	}
	return status
}

func (c *Command) difference(d *trace.Difference) {
	c.print("tick %d at %v, %d inputs\n", d.Tick, d.At.Round(time.Microsecond), d.Inputs)
	for _, o := range d.Missing {
		c.print("  - %s\n", o)
	}
	for _, o := range d.Extra {
		c.print("  + %s\n", o)
	}
	if d.Reordered {
		c.print("  same outputs in another order\n")
	}
}

func (c *Command) print(format string, args ...any) { fmt.Fprintf(c.env.Stdout, format, args...) }
