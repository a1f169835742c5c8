package command

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"galenadyke.dev/ctl/client"
	"github.com/google/subcommands"
)

// searchCommand runs one search.
type searchCommand struct {
	env   Environment
	flags callFlags
}

func (*searchCommand) Name() string     { return "search" }
func (*searchCommand) Synopsis() string { return "run a search through an instance" }
func (*searchCommand) Usage() string {
	return `search --instance ADDRESS --route NAME [--query JSON] [--deadline 140ms] [--json]
  Run one search and show its snapshot, its coverage and the answer of each
  group.
  Exit code 1: the search failed. An answer with a coverage below 100 % is a
  success.
`
}

func (c *searchCommand) SetFlags(f *flag.FlagSet) {
	c.flags.register(f, "query", defaultSearchDeadline)
}

func (c *searchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, query, err := c.flags.prepare(f, c.env.Stdin)
	if err != nil {
		return c.env.usageError(c, "%v", err)
	}
	defer cl.Close()
	answer, err := cl.Search(ctx, c.flags.requestID, client.SearchRequest{
		Route: c.flags.route, Query: query, DeadlineMS: c.flags.deadline.Milliseconds(),
	})
	if err != nil {
		return c.env.failCall(c, err, c.flags.json, "")
	}
	if c.flags.json {
		err = c.env.printJSON(answer)
	} else {
		err = c.print(answer)
	}
	if err != nil {
		return c.env.fail(c, err)
	}
	return subcommands.ExitSuccess
}

func (c *searchCommand) print(a *client.SearchAnswer) error {
	t := newTable(c.env.Stdout, "GROUP", "TARGET", "RESULT")
	for _, p := range a.Parts {
		t.row(p.Group, p.Target, shorten(string(p.Result), maxCellRunes))
	}
	if err := t.flush(); err != nil {
		return err
	}
	if len(a.Coverage.Missing) > 0 {
		fmt.Fprintln(c.env.Stdout, "missing:", makePrintable(strings.Join(a.Coverage.Missing, " ")))
	}
	_, err := fmt.Fprintf(c.env.Stdout,
		"request %s: snapshot %d, coverage %d of %d partitions (%s), %.1f ms; %s, %s, %s, %s\n",
		makePrintable(a.RequestID), a.Snapshot, a.Coverage.Searched, a.Coverage.Total, formatPercent(a.Coverage.Fraction),
		a.ElapsedMS, formatCount(a.Stats.SubRequests, "sub-request"), formatCount(a.Stats.Hedges, "hedge"),
		formatCountPlural(a.Stats.Retries, "retry", "retries"), formatCount(a.Stats.Restarts, "restart"))
	return err
}
