package command

import (
	"context"
	"flag"
	"fmt"
	"math"
	"strings"

	"galenadyke.dev/core/objects"
	"github.com/google/subcommands"
)

// planCommand shows what each step of each order does to every route.
type planCommand struct {
	env    Environment
	json   bool
	groups bool
}

func (*planCommand) Name() string     { return "plan" }
func (*planCommand) Synopsis() string { return "show what each step of an order leaves in service" }
func (*planCommand) Usage() string {
	return `plan [--json] [--groups] PATH...
  Show, for each step of each order and each route, the targets, slots and
  connections in service before and after the step, the number of groups left
  with one target and with none, and the highest coverage that is possible if
  every group holds an equal part of the index.
`
}

func (c *planCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.BoolVar(&c.groups, "groups", false, "name the groups left with one target")
}

func (c *planCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	paths, err := positionalArgs(f)
	if err != nil || len(paths) == 0 {
		return c.env.usageError(c, "name at least one file or directory")
	}
	src := readSource(paths)
	if src.set == nil {
		return c.env.reportFindings(c, src.findings, c.json)
	}
	steps := append([]objects.PlanStep{}, objects.Plan(src.set)...)
	if c.json {
		err = c.env.printJSON(struct {
			Steps []objects.PlanStep `json:"steps"`
		}{steps})
	} else {
		err = c.print(steps)
	}
	if err != nil {
		return c.env.fail(c, err)
	}
	return subcommands.ExitSuccess
}

func (c *planCommand) print(steps []objects.PlanStep) error {
	if len(steps) == 0 {
		_, err := fmt.Fprintln(c.env.Stdout, "the set has no orders")
		return err
	}
	t := newTable(c.env.Stdout, "ORDER", "STEP", "ACTION", "PLACE", "IN FORCE", "ROUTE", "TARGETS", "SLOTS",
		"CONNECTIONS", "ONE TARGET", "NO TARGET", "COVERAGE")
	var notes []string
	for _, s := range steps {
		for _, r := range s.Routes {
			t.row(s.Order, fmt.Sprint(s.Number), string(s.Action), s.Place, yesNo(s.InForce), r.Route,
				formatChange(r.Before.Targets, r.After.Targets), formatChange(r.Before.Slots, r.After.Slots),
				formatChange(r.Before.Connections, r.After.Connections),
				fmt.Sprint(len(r.After.Single)), fmt.Sprint(len(r.After.Lost)),
				formatPercent(r.After.Coverage))
			notes = append(notes, c.notes(s, r)...)
		}
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, note := range notes {
		fmt.Fprintln(c.env.Stdout, note)
	}
	return nil
}

// notes names the groups that a step leaves without a target and, with --groups,
// the groups that it leaves with one target.
func (c *planCommand) notes(s objects.PlanStep, r objects.RouteEffect) []string {
	var notes []string
	add := func(text string, groups []string) {
		if len(groups) > 0 {
			notes = append(notes, fmt.Sprintf("%s step %d, route %s: %s: %s",
				s.Order, s.Number, r.Route, text, strings.Join(groups, " ")))
		}
	}
	add("no target", r.After.Lost)
	if c.groups {
		add("one target", r.After.Single)
	}
	return notes
}

// formatChange returns "before -> after", or one number if they are equal.
func formatChange(before, after int) string {
	if before == after {
		return fmt.Sprint(after)
	}
	return fmt.Sprintf("%d -> %d", before, after)
}

// formatPercent rounds a fraction down to a tenth of a percent, so that an
// incomplete coverage never shows as 100 %.
func formatPercent(fraction float64) string {
	const tenthsOfPercent = 1000 // in a fraction of 1
	return fmt.Sprintf("%.1f %%", math.Floor(fraction*tenthsOfPercent)*100/tenthsOfPercent)
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
