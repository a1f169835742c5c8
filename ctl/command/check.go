package command

import (
	"context"
	"flag"
	"fmt"

	"galenadyke.dev/core/objects"
	"github.com/google/subcommands"
)

// checkCommand checks object files or a bundle.
type checkCommand struct {
	env  Environment
	json bool
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check object files as one set" }
func (*checkCommand) Usage() string {
	return `check [--json] PATH...
  Check all objects in the files and directories as one set, or a bundle.
  Exit code 0: no findings, 1: findings, 2: wrong usage.
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	paths, err := positionalArgs(f)
	if err != nil || len(paths) == 0 {
		return c.env.usageError(c, "name at least one file or directory")
	}
	src := readSource(paths)
	if src.set == nil {
		return c.env.reportFindings(c, src.findings, c.json)
	}
	sum := summarize(src.set)
	if c.json {
		err = c.env.printJSON(findingsReport{Files: src.files, Summary: &sum, Findings: []objects.Finding{}})
	} else {
		_, err = fmt.Fprintf(c.env.Stdout, "accepted: %s: %s\n", formatCount(len(src.files), "file"), sum)
	}
	if err != nil {
		return c.env.fail(c, err)
	}
	return subcommands.ExitSuccess
}
