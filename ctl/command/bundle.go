package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"galenadyke.dev/core/objects"
	"github.com/google/subcommands"
)

// bundleCommand writes the canonical form of a set.
type bundleCommand struct {
	env        Environment
	generation uint64
	out        string
	json       bool
}

// bundleMode is the file mode of a written bundle. A bundle holds no secret.
const bundleMode = 0o644

func (*bundleCommand) Name() string     { return "bundle" }
func (*bundleCommand) Synopsis() string { return "write the canonical bundle to publish" }
func (*bundleCommand) Usage() string {
	return `bundle --generation N [--out FILE] [--json] PATH...
  Check the objects and write their canonical bundle to standard output, or to
  FILE with a summary on standard output. The generation must be higher than
  the one in force. Publish the bundle without a change.
`
}

func (c *bundleCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.generation, "generation", 0, "generation of the bundle, from 1")
	f.StringVar(&c.out, "out", "", "file to write the bundle to")
	f.BoolVar(&c.json, "json", false, "print findings and summary as JSON")
}

func (c *bundleCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	paths, err := positionalArgs(f)
	if err != nil || len(paths) == 0 {
		return c.env.usageError(c, "name at least one file or directory")
	}
	if c.generation < 1 || c.generation > objects.MaxGeneration {
		return c.env.usageError(c, "give a --generation from 1 to %d", uint64(objects.MaxGeneration))
	}
	src := readSource(paths)
	if src.set == nil {
		return c.env.reportFindings(c, src.findings, c.json)
	}
	raw, err := objects.Bundle(src.set, c.generation)
	if err != nil {
		return c.env.fail(c, err)
	}
	if c.out == "" {
		if _, err := c.env.Stdout.Write(raw); err != nil {
			return c.env.fail(c, err)
		}
		return subcommands.ExitSuccess
	}
	if err := c.write(raw); err != nil {
		return c.env.fail(c, err)
	}
	return subcommands.ExitSuccess
}

// write writes the bundle to the file and prints its summary. It parses the
// bundle first, as an instance will.
func (c *bundleCommand) write(raw []byte) error {
	set, findings := objects.Parse(raw)
	if set == nil {
		return &objects.CheckError{Findings: findings}
	}
	if err := os.WriteFile(c.out, raw, bundleMode); err != nil {
		return err
	}
	sum := summarize(set)
	if c.json {
		return c.env.printJSON(sum)
	}
	_, err := fmt.Fprintf(c.env.Stdout, "%s: generation %d, digest %s, %d bytes: %s\n",
		c.out, sum.Generation, sum.Digest, len(raw), sum)
	return err
}
