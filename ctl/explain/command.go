package explain

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/google/subcommands"

	"galenadyke.dev/ctl/command"
)

// Command is the subcommand galenadyke explain.
type Command struct{ env command.Environment }

var _ subcommands.Command = (*Command)(nil)

// NewCommand returns the subcommand.
func NewCommand(env command.Environment) *Command { return &Command{env: env} }

// Name implements subcommands.Command.
func (*Command) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "show what happened to a request, from logs" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `explain REQUEST-ID FILE...
  Read the logs of instances, one file each, and print what each instance
  decided about the request: first the instance that the caller asked, then the
  one that gathered for it. Times count from the request's arrival at the
  instance.
  Exit code 0: found, 1: not found, 2: wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprint(c.env.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	request := f.Arg(0)
	var records []requestRecord
	for _, name := range f.Args()[1:] {
		found, problems := readFile(name, request)
		records = append(records, found...)
		for _, p := range problems {
			fmt.Fprintf(c.env.Stderr, "%s: %s\n", p.file, p.message)
		}
	}
	if len(records) == 0 {
		fmt.Fprintf(c.env.Stderr, "request %s is in none of the logs; it may have reached another instance, or its line was dropped: see the metric log_lines_dropped\n", request)
		return subcommands.ExitFailure
	}
	printReport(c.env.Stdout, request, records)
	return subcommands.ExitSuccess
}

func readFile(name, request string) ([]requestRecord, []readProblem) {
	file, err := os.Open(name)
	if err != nil {
		return nil, []readProblem{{name, err.Error()}}
	}
	defer file.Close()
	return readLog(name, file, request)
}

// printReport writes the records of the request. The instance that the caller asked
// comes first: a delegated gather begins and ends while that instance handles the
// request.
func printReport(w io.Writer, request string, records []requestRecord) {
	slices.SortStableFunc(records, func(a, b requestRecord) int { return delegationRank(a) - delegationRank(b) })
	fmt.Fprintf(w, "request %s\n", request)
	for _, r := range records {
		e := r.end.Fields
		role := "asked by the caller"
		if e.Delegated {
			role = "asked by another instance"
		}
		fmt.Fprintf(w, "\n%s (%s), %s, route %s, configuration %d\n", instanceName(r), r.file, role, cmp.Or(e.Route, "none"), e.Configuration)
		for _, change := range r.viewChanges {
			fmt.Fprintf(w, "  believed: %s %s: %s -> %s\n", change.Message, change.Fields.Subject,
				cmp.Or(change.Fields.Before, "-"), cmp.Or(change.Fields.After, "-"))
		}
		for _, s := range e.Steps {
			fmt.Fprintf(w, "  %s\n", s)
		}
		if e.StepsLeftOut > 0 {
			fmt.Fprintf(w, "  (%d more steps were left out)\n", e.StepsLeftOut)
		}
		fmt.Fprintf(w, "  %.1f ms: %s after %d attempts", e.TookMS, e.Outcome, e.Attempts)
		if e.Missing > 0 {
			fmt.Fprintf(w, ", %d parts missing", e.Missing)
		}
		if e.Reason != "" {
			fmt.Fprintf(w, ": %s", e.Reason)
		}
		if e.RetryAfterMS > 0 {
			fmt.Fprintf(w, "; told to come back after %.0f ms", e.RetryAfterMS)
		}
		fmt.Fprintln(w)
		if r.suppressed > 0 {
			fmt.Fprintf(w, "  (%d lines of this instance were left out up to here)\n", r.suppressed)
		}
	}
}

// delegationRank returns a sort key that puts the instance that the caller asked
// before the instance to which it delegated the request.
func delegationRank(r requestRecord) int {
	if r.end.Fields.Delegated {
		return 1
	}
	return 0
}

func instanceName(r requestRecord) string { return cmp.Or(r.end.Fields.Instance, "unknown instance") }
