package bench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/ctl/load"
	"galenadyke.dev/testbed/cell"
	"galenadyke.dev/testbed/proc"
)

// settleBound is the time in which a new deployment finds its targets.
const settleBound = 20 * time.Second

// Run runs all combinations one after the other and passes each row to emit.
// A run that fails gives a row with its error; Run ends early only with ctx.
func Run(ctx context.Context, o Options, emit func(Row)) error {
	if err := o.Validate(); err != nil {
		return err
	}
	for _, scenario := range o.Scenarios {
		for _, percent := range o.Percents {
			for _, policy := range o.Policies {
				if err := ctx.Err(); err != nil {
					return err
				}
				row := Row{Policy: policy, Scenario: scenario, Percent: percent, Groups: o.Spec.Groups}
				if err := o.one(ctx, &row); err != nil {
					row.Error = err.Error()
				}
				emit(row)
			}
		}
	}
	for _, groups := range o.BareGroups {
		if err := ctx.Err(); err != nil {
			return err
		}
		emit(o.bare(ctx, groups))
	}
	return nil
}

// one makes one run and fills the row.
func (o Options) one(ctx context.Context, row *Row) (err error) {
	c, err := o.start(ctx, row.Policy, fmt.Sprintf("%s-%s-%.0f", row.Scenario, row.Policy, row.Percent))
	if err != nil {
		return err
	}
	defer func() {
		if stopped := c.Stop(); err == nil && stopped != nil {
			err = fmt.Errorf("stop: %w", stopped)
		}
	}()
	cfg := o.load(c, row.Percent)
	warm := cfg
	warm.Seed, warm.Duration, warm.BookingShare = o.Seed+1, o.WarmUp, 0
	if o.WarmUp > 0 {
		if _, err := load.Run(ctx, warm); err != nil {
			return err
		}
	}
	if err := c.ResetCounts(ctx); err != nil {
		return err
	}
	before, err := daemonTime(c)
	if err != nil {
		return err
	}
	played := make(chan error, 1)
	go func() { played <- row.Scenario.play(ctx, c, cfg.Duration) }()
	row.Load, err = load.Run(ctx, cfg)
	if err = errors.Join(err, <-played); err != nil {
		return err
	}
	after, err := daemonTime(c)
	if err != nil {
		return err
	}
	if n := row.Load.Searches.Sent; n > 0 {
		row.CPUMsPerSearch = (after - before).Seconds() * 1000 / float64(n)
	}
	counts, err := c.Counts(ctx)
	if err != nil {
		return err
	}
	row.Targets = totals(counts, row.Load.Extra.SubRequests)
	return nil
}

// load returns the load of a run.
func (o Options) load(c *cell.Cell, percent float64) load.Config {
	cfg := load.DefaultConfig()
	cfg.Entries = c.Entries()
	cfg.Rate = capacity(o.Spec) * percent / 100
	cfg.Duration, cfg.Deadline, cfg.Seed = o.Duration, o.Deadline, o.Seed
	cfg.Route, cfg.BookingRoute = cell.SearchRoute, cell.BookingRoute
	cfg.BookingShare, cfg.TargetCounts = o.BookingShare, c.CountURLs()
	return cfg
}

// start starts a deployment and waits until each entry answers in full.
func (o Options) start(ctx context.Context, policy model.Policy, name string) (*cell.Cell, error) {
	spec := o.Spec
	spec.Policy = policy
	spec.Dir = filepath.Join(o.Logs, name)
	if err := os.MkdirAll(spec.Dir, 0o700); err != nil {
		return nil, err
	}
	c, err := cell.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	err = c.AwaitComplete(ctx, settleBound)
	if err == nil {
		err = c.AwaitTargets(ctx, settleBound)
	}
	if err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

// daemonTime is the processor time of all running daemons.
func daemonTime(c *cell.Cell) (time.Duration, error) {
	var sum time.Duration
	for _, in := range c.Instances {
		if !in.Running() {
			continue
		}
		t, err := proc.CPUTime(in.PID())
		if err != nil {
			return 0, err
		}
		sum += t
	}
	return sum, nil
}
