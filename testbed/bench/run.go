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

// settleTimeout bounds each of the two waits for a new deployment: until all
// instances answer in full, and until all instances know all targets.
const settleTimeout = 20 * time.Second

// Run measures all combinations of scenario, load and policy one after the
// other and passes each row to emit. A failed run yields a row with its error.
// Run returns an error if o is invalid or ctx ends.
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
				if err := o.measure(ctx, &row); err != nil {
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
		emit(o.measureBare(ctx, groups))
	}
	return nil
}

// measure executes one run and fills the row.
func (o Options) measure(ctx context.Context, row *Row) (err error) {
	c, err := o.startCell(ctx, row.Policy, fmt.Sprintf("%s-%s-%.0f", row.Scenario, row.Policy, row.Percent))
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := c.Stop(); err == nil && stopErr != nil {
			err = fmt.Errorf("stop: %w", stopErr)
		}
	}()
	cfg := o.loadConfig(c, row.Percent)
	warmUp := cfg
	warmUp.Seed, warmUp.Duration, warmUp.BookingShare = o.Seed+1, o.WarmUp, 0
	if o.WarmUp > 0 {
		if _, err := load.Run(ctx, warmUp); err != nil {
			return err
		}
	}
	if err := c.ResetCounts(ctx); err != nil {
		return err
	}
	cpuBefore, err := daemonCPUTime(c)
	if err != nil {
		return err
	}
	scenarioDone := make(chan error, 1)
	go func() { scenarioDone <- row.Scenario.applyActions(ctx, c, cfg.Duration) }()
	row.Load, err = load.Run(ctx, cfg)
	if err = errors.Join(err, <-scenarioDone); err != nil {
		return err
	}
	cpuAfter, err := daemonCPUTime(c)
	if err != nil {
		return err
	}
	if n := row.Load.Searches.Sent; n > 0 {
		row.CPUMsPerSearch = (cpuAfter - cpuBefore).Seconds() * 1000 / float64(n)
	}
	counts, err := c.Counts(ctx)
	if err != nil {
		return err
	}
	row.Targets = totals(counts, row.Load.Extra.SubRequests)
	return nil
}

// loadConfig returns the configuration of the load of a run. percent is the
// load in percent of the capacity.
func (o Options) loadConfig(c *cell.Cell, percent float64) load.Config {
	cfg := load.DefaultConfig()
	cfg.Entries = c.Entries()
	cfg.Rate = capacity(o.Spec) * percent / 100
	cfg.Duration, cfg.Deadline, cfg.Seed = o.Duration, o.Deadline, o.Seed
	cfg.Route, cfg.BookingRoute = cell.SearchRoute, cell.BookingRoute
	cfg.BookingShare, cfg.TargetCounts = o.BookingShare, c.CountURLs()
	return cfg
}

// startCell starts a deployment and waits until each instance answers in full
// and knows all targets.
func (o Options) startCell(ctx context.Context, policy model.Policy, name string) (*cell.Cell, error) {
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
	err = c.AwaitComplete(ctx, settleTimeout)
	if err == nil {
		err = c.AwaitTargets(ctx, settleTimeout)
	}
	if err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

// daemonCPUTime returns the total processor time of all running daemons.
func daemonCPUTime(c *cell.Cell) (time.Duration, error) {
	var total time.Duration
	for _, in := range c.Instances {
		if !in.Running() {
			continue
		}
		cpuTime, err := proc.CPUTime(in.PID())
		if err != nil {
			return 0, err
		}
		total += cpuTime
	}
	return total, nil
}
