package command

import (
	"bytes"
	"fmt"
	"os"

	"galenadyke.dev/core/objects"
	"github.com/google/subcommands"
)

// bundlePrefix starts every canonical bundle and no object file.
var bundlePrefix = []byte(`{"generation":`)

// source is a set that was read, or the findings because of which it was refused.
// set is nil if there are findings.
type source struct {
	set      *objects.Set
	files    []string
	findings []objects.Finding
}

// readSource reads a canonical bundle if paths holds just the path of a bundle, and
// object files otherwise.
func readSource(paths []string) source {
	if len(paths) == 1 {
		raw, err := os.ReadFile(paths[0])
		if err == nil && bytes.HasPrefix(raw, bundlePrefix) {
			set, findings := objects.Parse(raw)
			for i := range findings {
				findings[i].File = paths[0]
			}
			return source{set: set, files: paths, findings: findings}
		}
	}
	loaded, findings := objects.Load(paths)
	if loaded == nil {
		return source{findings: findings}
	}
	return source{set: loaded.Set, files: loaded.Files}
}

// findingsReport is the JSON form of an accepted or refused set.
type findingsReport struct {
	Files    []string          `json:"files,omitempty"`
	Summary  *summary          `json:"summary,omitempty"`
	Findings []objects.Finding `json:"findings"`
}

// reportFindings prints the findings of a refused set.
func (env Environment) reportFindings(c subcommands.Command, findings []objects.Finding, asJSON bool) subcommands.ExitStatus {
	if asJSON {
		if err := env.printJSON(findingsReport{Findings: findings}); err != nil {
			return env.fail(c, err)
		}
		return subcommands.ExitFailure
	}
	for _, f := range findings {
		fmt.Fprintln(env.Stdout, f)
	}
	fmt.Fprintf(env.Stdout, "refused: %s\n", formatCount(len(findings), "finding"))
	return subcommands.ExitFailure
}

// summary counts the objects of a set.
type summary struct {
	Generation uint64 `json:"generation,omitempty"`
	Digest     string `json:"digest,omitempty"`
	Places     int    `json:"places"`
	Groups     int    `json:"target_groups"`
	Targets    int    `json:"targets"`
	Slots      int    `json:"slots"`
	Routes     int    `json:"routes"`
	Orders     int    `json:"orders"`
}

func summarize(set *objects.Set) summary {
	s := summary{
		Generation: set.Generation, Digest: set.Digest, Places: len(set.Places),
		Groups: len(set.Groups), Routes: len(set.Routes), Orders: len(set.Orders),
	}
	for _, g := range set.Groups {
		s.Targets += len(g.Targets)
		for _, t := range g.Targets {
			s.Slots += t.Slots
		}
	}
	return s
}

// String returns the counts in one line.
func (s summary) String() string {
	return fmt.Sprintf("%s, %s, %s with %s, %s, %s",
		formatCount(s.Places, "place"), formatCount(s.Groups, "target group"), formatCount(s.Targets, "target"),
		formatCount(s.Slots, "slot"), formatCount(s.Routes, "route"), formatCount(s.Orders, "order"))
}

// formatCount returns n with a noun whose plural ends in s.
func formatCount(n int, noun string) string { return formatCountPlural(n, noun, noun+"s") }

// formatCountPlural returns n with a noun in its singular or plural form.
func formatCountPlural(n int, singular, plural string) string {
	if n == 1 {
		return "1 " + singular
	}
	return fmt.Sprintf("%d %s", n, plural)
}
