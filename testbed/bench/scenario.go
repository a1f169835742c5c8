package bench

import (
	"context"
	"fmt"
	"time"

	"galenadyke.dev/testbed/cell"
	"galenadyke.dev/testbed/target"
)

// Scenario is what happens during a run.
type Scenario string

// The scenarios.
const (
	// Steady changes nothing.
	Steady Scenario = "steady"
	// Straggler slows the first replica of each group for the whole run.
	Straggler Scenario = "straggler"
	// ReplicaLost takes one replica down in the middle half of the run.
	ReplicaLost Scenario = "replica-lost"
	// Leaving takes a data centre out and brings it back.
	Leaving Scenario = "leaving"
	// MassRestart restarts all targets cold at once, without a broken
	// connection that would show it.
	MassRestart Scenario = "mass-restart"
)

// AllScenarios lists the scenarios in the order of the table.
var AllScenarios = []Scenario{Steady, Straggler, ReplicaLost, Leaving, MassRestart}

// stragglerFactor is the slowdown of a straggler.
const stragglerFactor = 10.0

// action is one change, at a share of the run.
type action struct {
	at float64
	do func(context.Context, *cell.Cell) error
}

// actions returns the changes of a scenario, in order.
func (s Scenario) actions() []action {
	switch s {
	case Straggler:
		return []action{{0, slowFirstReplicas}}
	case ReplicaLost:
		return []action{{0.25, replicaDown(true)}, {0.75, replicaDown(false)}}
	case Leaving:
		return []action{{0.25, stepsInForce(1)}, {0.6, stepsInForce(2)}}
	case MassRestart:
		return []action{{0.4, func(ctx context.Context, c *cell.Cell) error {
			return c.Change(ctx, target.Change{RestartCold: true, Quiet: true})
		}}}
	}
	return nil
}

func slowFirstReplicas(ctx context.Context, c *cell.Cell) error {
	factor := stragglerFactor
	change := target.Change{Straggler: &factor}
	for g := range c.Spec.Groups {
		change.Targets = append(change.Targets, fmt.Sprintf("%s-%02d-a", cell.SearchRoute, g+1))
	}
	return c.Change(ctx, change)
}

func replicaDown(down bool) func(context.Context, *cell.Cell) error {
	return func(ctx context.Context, c *cell.Cell) error {
		return c.Change(ctx, target.Change{Targets: []string{cell.SearchRoute + "-01-a"}, Down: &down})
	}
}

func stepsInForce(n int) func(context.Context, *cell.Cell) error {
	return func(ctx context.Context, c *cell.Cell) error { return c.PublishStepsInForce(ctx, n) }
}

// play makes the changes at their times.
func (s Scenario) play(ctx context.Context, c *cell.Cell, length time.Duration) error {
	began := time.Now()
	for _, a := range s.actions() {
		due := began.Add(time.Duration(a.at * float64(length)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := a.do(ctx, c); err != nil {
			return fmt.Errorf("scenario %s: %w", s, err)
		}
	}
	return nil
}
