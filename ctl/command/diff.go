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

// maxCellRunes bounds a value in a table, in runes.
const maxCellRunes = 100

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
	// Warning is set if the bundle AFTER could not replace the bundle BEFORE.
	Warning string `json:"warning,omitempty"`
}

func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	paths, err := positionalArgs(f)
	if err != nil || len(paths) != 2 {
		return c.env.usageError(c, "name two sets, each as one path")
	}
	before, after := readSource(paths[:1]), readSource(paths[1:])
	if findings := append(before.findings, after.findings...); len(findings) > 0 {
		return c.env.reportFindings(c, findings, c.json)
	}
	report := diffReport{
		Before: summarize(before.set), After: summarize(after.set),
		Changes: append([]objects.Change{}, objects.Diff(before.set, after.set)...),
		Warning: generationWarning(before.set, after.set),
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

// generationWarning returns a warning if the bundle after could not replace the
// bundle before. Object files have no generation and get no warning.
func generationWarning(before, after *objects.Set) string {
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
			t.row(string(change.Action), string(change.Kind), change.Name, orDash(change.Field),
				shorten(orDash(change.Before), maxCellRunes), shorten(orDash(change.After), maxCellRunes))
		}
		if err := t.flush(); err != nil {
			return err
		}
	}
	if report.Warning != "" {
		fmt.Fprintln(c.env.Stdout, "warning:", report.Warning)
	}
	_, err := fmt.Fprintln(c.env.Stdout, formatCount(len(report.Changes), "change"))
	return err
}

// orDash returns s, or "-" for an empty cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
