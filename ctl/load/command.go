package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
)

// Command is the subcommand galenadyke load.
type Command struct {
	Out, Err io.Writer

	cfg     Config
	entries string
	counts  string
	json    bool
	svg     string
}

var _ subcommands.Command = (*Command)(nil)

// NewCommand returns the subcommand. It writes to the standard streams.
func NewCommand() *Command {
	return &Command{Out: os.Stdout, Err: os.Stderr, cfg: DefaultConfig()}
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "send a bounded open-loop load to instances and measure" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `galenadyke load --entry http://127.0.0.1:8080[,...] [options]
  Send calls by a Poisson schedule and print latency, coverage, refusals and
  extra load.
  Exit code 1: a booking was answered wrongly or ran twice, or the run failed,
  2: wrong usage.

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entry", c.cfg.Entries[0], "base URLs of instances, separated by commas")
	f.Float64Var(&c.cfg.Rate, "rate", c.cfg.Rate, "mean calls per second")
	f.DurationVar(&c.cfg.Duration, "duration", c.cfg.Duration, "length of the run")
	f.Uint64Var(&c.cfg.Seed, "seed", c.cfg.Seed, "seed of the schedule")
	f.StringVar(&c.cfg.Route, "route", c.cfg.Route, "route of the searches")
	f.DurationVar(&c.cfg.Deadline, "deadline", c.cfg.Deadline, "deadline of each call")
	f.StringVar(&c.cfg.Query, "query", c.cfg.Query, "JSON value to search for")
	f.Float64Var(&c.cfg.BookingShare, "bookings", c.cfg.BookingShare, "share of bookings, 0 to 1; never use it against real targets")
	f.StringVar(&c.cfg.BookingRoute, "booking-route", c.cfg.BookingRoute, "route of the bookings")
	f.IntVar(&c.cfg.MaxInFlight, "in-flight", c.cfg.MaxInFlight, "maximum number of calls in progress")
	f.StringVar(&c.counts, "target-counts", "", "URLs of the target counts of the testbed, separated by commas; used to check the bookings")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.svg, "svg", "", "write a chart of latency and coverage to this file")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		_, _ = fmt.Fprintf(c.Err, "galenadyke load: unexpected argument %q; see galenadyke help load\n", f.Arg(0))
		return subcommands.ExitUsageError
	}
	c.cfg.Entries = splitList(c.entries)
	c.cfg.TargetCounts = splitList(c.counts)
	if err := c.cfg.Validate(); err != nil {
		_, _ = fmt.Fprintln(c.Err, "galenadyke load:", err)
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	result, err := Run(ctx, c.cfg)
	if err == nil {
		err = c.write(result)
	}
	if err != nil {
		_, _ = fmt.Fprintln(c.Err, "galenadyke load:", err)
		return subcommands.ExitFailure
	}
	if n := result.Bookings.WrongCount(); n > 0 {
		_, _ = fmt.Fprintf(c.Err, "galenadyke load: %d bookings were answered wrongly or ran twice\n", n)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) write(r *Result) error {
	if c.svg != "" {
		if err := c.writeChart(r); err != nil {
			return err
		}
	}
	if c.json {
		enc := json.NewEncoder(c.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	return r.WriteText(c.Out)
}

func (c *Command) writeChart(r *Result) error {
	file, err := os.Create(c.svg)
	if err != nil {
		return err
	}
	if err := r.WriteSVG(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// splitList returns the items of a comma-separated list.
func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
