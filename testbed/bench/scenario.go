package bench

import (
	"context"
	"fmt"
	"time"

	"galenadyke.dev/testbed/cell"
	"galenadyke.dev/testbed/target"
)

// Scenario is a sequence of changes to the deployment during a run.
type Scenario string

// The scenarios.
const (
	// Steady makes no change.
	Steady Scenario = "steady"
	// Straggler slows down the first replica of each group for the whole run.
	Straggler Scenario = "straggler"
	// ReplicaLost takes one replica down from 25 % to 75 % of the run.
	ReplicaLost Scenario = "replica-lost"
	// Leaving takes a data centre out at 25 % of the run and returns it at
	// 60 %.
	Leaving Scenario = "leaving"
	// MassRestart restarts all targets cold at once at 40 % of the run.
	// Connections are kept, so that no broken connection reveals the restart.
	MassRestart Scenario = "mass-restart"
)

// AllScenarios lists the scenarios in the order of the table.
var AllScenarios = []Scenario{Steady, Straggler, ReplicaLost, Leaving, MassRestart}

// stragglerFactor multiplies the service times of a straggler.
const stragglerFactor = 10.0

// action is one change to the deployment. atShare is its time as a share of the
// duration of the run, 0 to 1.
type action struct {
	atShare float64
	apply   func(context.Context, *cell.Cell) error
}

// actions returns the changes of the scenario in order of time.
func (s Scenario) actions() []action {
	switch s {
	case Straggler:
		return []action{{0, slowFirstReplicas}}
	case ReplicaLost:
		return []action{{0.25, setReplicaDown(true)}, {0.75, setReplicaDown(false)}}
	case Leaving:
		return []action{{0.25, publishStepsInForce(1)}, {0.6, publishStepsInForce(2)}}
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

func setReplicaDown(down bool) func(context.Context, *cell.Cell) error {
	return func(ctx context.Context, c *cell.Cell) error {
		return c.Change(ctx, target.Change{Targets: []string{cell.SearchRoute + "-01-a"}, Down: &down})
	}
}

func publishStepsInForce(n int) func(context.Context, *cell.Cell) error {
	return func(ctx context.Context, c *cell.Cell) error { return c.PublishStepsInForce(ctx, n) }
}

// applyActions applies the changes of the scenario at their times during a run.
// It returns after the last change, the first error or the end of ctx.
func (s Scenario) applyActions(ctx context.Context, c *cell.Cell, runDuration time.Duration) error {
	began := time.Now()
	for _, action := range s.actions() {
		due := began.Add(time.Duration(action.atShare * float64(runDuration)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := action.apply(ctx, c); err != nil {
			return fmt.Errorf("scenario %s: %w", s, err)
		}
	}
	return nil
}
