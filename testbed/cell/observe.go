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

// Reads returns the number of key-value and health reads at all endpoints of
// the stand-in.
func (p *Platform) Reads(ctx context.Context) (int, error) {
	var all platform.AllCounts
	err := call(ctx, http.MethodGet, "http://"+p.started.Control+"/v1/counts", nil, &all)
	reads := 0
	for _, e := range all.Endpoints {
		reads += e.KV + e.Health
	}
	return reads, err
}

// Entries returns the base URLs of the HTTP APIs of the running instances.
func (c *Cell) Entries() []string {
	var entries []string
	for _, in := range c.Instances {
		if in.Running() {
			entries = append(entries, in.Entry)
		}
	}
	return entries
}

// AwaitInForce waits until every running instance is ready and the latest
// published set is in force there.
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
// coverage. The first answers of a new instance may be partial: it finds its
// targets by probes.
func (c *Cell) AwaitComplete(ctx context.Context, timeout time.Duration) error {
	const deadline = 500 * time.Millisecond
	return Await(ctx, timeout, func() error {
		for _, in := range c.Instances {
			if !in.Running() {
				continue
			}
			answer, err := in.Search(ctx, "", "{}", deadline)
			if err == nil && answer.Coverage.Fraction != 1 {
				err = fmt.Errorf("missing groups %v", answer.Coverage.Missing)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", in.ID, err)
			}
		}
		return nil
	})
}

// AwaitTargets waits until every running instance knows the warm-up level and the
// incarnation of every target. The runbook requires this before a data centre
// leaves: an instance may otherwise know only the replicas that are about to
// leave.
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

// Await polls check until it returns nil. After the timeout, or when ctx ends, it
// returns an error that wraps the last error from check.
func Await(ctx context.Context, timeout time.Duration, check func() error) error {
	// pollInterval bounds how late the end of the wait is noticed.
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
			return fmt.Errorf("condition not met within %v: %w", timeout, err)
		case <-time.After(pollInterval):
		}
	}
}

// Counts returns the counts of all targets by target name.
func (c *Cell) Counts(ctx context.Context) (map[string]target.Counts, error) {
	counts := make(map[string]target.Counts)
	for _, tp := range c.Targets {
		var all target.AllCounts
		if err := call(ctx, http.MethodGet, tp.controlURL+"/v1/counts", nil, &all); err != nil {
			return nil, err
		}
		for _, t := range all.Targets {
			counts[t.Name] = t
		}
	}
	return counts, nil
}

// CountURLs returns the URLs at which the target processes serve their counts.
func (c *Cell) CountURLs() []string {
	var urls []string
	for _, place := range c.Spec.Places {
		if tp := c.Targets[place]; tp != nil {
			urls = append(urls, tp.controlURL+"/v1/counts")
		}
	}
	return urls
}

// TargetsIn returns the names of the targets in the place. It panics if the
// place has none.
func (c *Cell) TargetsIn(place string) []string { return slices.Clone(c.Targets[place].names) }
