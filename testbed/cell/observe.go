package cell

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"galenadyke.dev/testbed/platform"
	"galenadyke.dev/testbed/target"
)

// Reads returns the number of reads at all endpoints.
func (p *Platform) Reads(ctx context.Context) (int, error) {
	var all platform.AllCounts
	err := call(ctx, http.MethodGet, "http://"+p.started.Control+"/v1/counts", nil, &all)
	reads := 0
	for _, e := range all.Endpoints {
		reads += e.KV + e.Health
	}
	return reads, err
}

// Entries returns the base URLs of the running instances.
func (c *Cell) Entries() []string {
	var entries []string
	for _, in := range c.Instances {
		if in.Running() {
			entries = append(entries, in.Entry)
		}
	}
	return entries
}

// AwaitInForce waits until every running instance is ready with the set that
// was published last.
func (c *Cell) AwaitInForce(ctx context.Context, timeout time.Duration) error {
	return Await(ctx, timeout, func() error {
		for _, in := range c.Instances {
			if !in.Running() {
				continue
			}
			s, err := in.Status(ctx)
			switch {
			case err != nil:
				return fmt.Errorf("%s: %w", in.ID, err)
			case !s.Ready:
				return fmt.Errorf("%s is not ready: %s", in.ID, s.Reason)
			case s.Digest != c.Set.Digest:
				return fmt.Errorf("%s has generation %d in force, want %d", in.ID, s.Generation, c.Set.Generation)
			}
		}
		return nil
	})
}

// AwaitComplete waits until every running instance answers a search with full
// coverage. A new instance finds its targets by probes, so that its first
// answers may be partial.
func (c *Cell) AwaitComplete(ctx context.Context, timeout time.Duration) error {
	const budget = 500 * time.Millisecond
	return Await(ctx, timeout, func() error {
		for _, in := range c.Instances {
			if !in.Running() {
				continue
			}
			answer, err := in.Search(ctx, "", "{}", budget)
			if err == nil && answer.Coverage.Fraction != 1 {
				err = fmt.Errorf("misses %v", answer.Coverage.Missing)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", in.ID, err)
			}
		}
		return nil
	})
}

// AwaitTargets waits until every running instance knows every target, as the
// runbook requires before a data centre leaves. Until then, an instance may
// know only the replicas that are about to leave.
func (c *Cell) AwaitTargets(ctx context.Context, timeout time.Duration) error {
	return Await(ctx, timeout, func() error {
		for _, in := range c.Instances {
			if !in.Running() {
				continue
			}
			s, err := in.Status(ctx)
			if err != nil {
				return fmt.Errorf("%s: %w", in.ID, err)
			}
			for _, t := range s.Targets {
				if t.Level == 0 || t.Incarnation == 0 {
					return fmt.Errorf("%s does not know %s yet", in.ID, t.Name)
				}
			}
		}
		return nil
	})
}

// Await polls check until it returns nil. The error is the last one of check.
func Await(ctx context.Context, timeout time.Duration, check func() error) error {
	// pollInterval is short against the times that are waited for.
	const pollInterval = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not reached within %v: %w", timeout, err)
		case <-time.After(pollInterval):
		}
	}
}

// Counts returns the counts of all targets, by name.
func (c *Cell) Counts(ctx context.Context) (map[string]target.Counts, error) {
	counts := make(map[string]target.Counts)
	for _, tp := range c.Targets {
		var all target.AllCounts
		if err := call(ctx, http.MethodGet, tp.control+"/v1/counts", nil, &all); err != nil {
			return nil, err
		}
		for _, one := range all.Targets {
			counts[one.Name] = one
		}
	}
	return counts, nil
}

// CountURLs returns the addresses at which the targets' counts can be read.
func (c *Cell) CountURLs() []string {
	var urls []string
	for _, place := range c.Spec.Places {
		if tp := c.Targets[place]; tp != nil {
			urls = append(urls, tp.control+"/v1/counts")
		}
	}
	return urls
}

// TargetsIn returns the names of the targets in a data centre.
func (c *Cell) TargetsIn(place string) []string { return slices.Clone(c.Targets[place].names) }
