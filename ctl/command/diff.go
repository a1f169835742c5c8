package command

import (
	"context"
	"flag"
	"fmt"

	"galenadyke.dev/core/objects"
	"github.com/google/subcommands"
)

// diffCommand shows what changes from one set to another.
type diffCommand struct {
	env  Environment
	json bool
}

// maxCell is the widest value in a table, in characters.
const maxCell = 100

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "show the changes between two sets" }
func (*diffCommand) Usage() string {
	return `diff [--json] BEFORE AFTER
  Show the changes between two sets. Each is a file, a directory or a bundle.
  Exit code 0: both sets are good, with or without changes.
`
}

func (c *diffCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// diffReport is the JSON form of a comparison.
type diffReport struct {
	Before  summary          `json:"before"`
	After   summary          `json:"after"`
	Changes []objects.Change `json:"changes"`
	// Warning is set if the second bundle could not replace the first.
	Warning string `json:"warning,omitempty"`
}

func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	paths, err := positional(f)
	if err != nil || len(paths) != 2 {
		return c.env.usage(c, "name two sets, each as one path")
	}
	before, after := readSource(paths[:1]), readSource(paths[1:])
	if findings := append(before.findings, after.findings...); len(findings) > 0 {
		return c.env.refuse(c, findings, c.json)
	}
	report := diffReport{
		Before: summarize(before.set), After: summarize(after.set),
		Changes: append([]objects.Change{}, objects.Diff(before.set, after.set)...),
		Warning: orderWarning(before.set, after.set),
	}
	if c.json {
		err = c.env.printJSON(report)
	} else {
		err = c.print(report)
	}
	if err != nil {
		return c.env.fail(c, err)
	}
	return subcommands.ExitSuccess
}

// orderWarning compares the order of two bundles. Object files have no order.
func orderWarning(before, after *objects.Set) string {
	if before.Generation == 0 || after.Generation == 0 || before.Digest == after.Digest || after.Newer(before) {
		return ""
	}
	return fmt.Sprintf("generation %d cannot replace generation %d; make the bundle with a higher generation",
		after.Generation, before.Generation)
}

func (c *diffCommand) print(report diffReport) error {
	if len(report.Changes) > 0 {
		t := newTable(c.env.Stdout, "CHANGE", "KIND", "NAME", "FIELD", "BEFORE", "AFTER")
		for _, change := range report.Changes {
			t.row(string(change.Action), string(change.Kind), change.Name, dash(change.Field),
				shorten(dash(change.Before), maxCell), shorten(dash(change.After), maxCell))
		}
		if err := t.flush(); err != nil {
			return err
		}
	}
	if report.Warning != "" {
		fmt.Fprintln(c.env.Stdout, "warning:", report.Warning)
	}
	_, err := fmt.Fprintln(c.env.Stdout, count(len(report.Changes), "change"))
	return err
}

// dash stands for an empty cell.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
