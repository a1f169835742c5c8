package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a fleet that exceeds the retry budget of a service. For any pattern
// of requests and retries, the attempts beyond the first, summed over all instances,
// stay within ratio x requests + slack in each window, although the instances exchange
// no counts.
func TestRetryBudgetBoundsFleet(t *testing.T) {
	limits := BudgetLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 54}
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		budgets := make([]retryBudget, instances)
		type event struct {
			when  time.Duration
			extra bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += rapid.SampledFrom([]time.Duration{0, ms, 20 * ms, 300 * ms, 4 * time.Second}).Draw(t, "gap")
			b := &budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			b.recordRequest(now, limits)
			events = append(events, event{now, false})
			for range rapid.IntRange(0, 3).Draw(t, "wanted") {
				if b.remaining(now, limits, instances).attempts >= 1 {
					b.recordExtra(now, limits)
					events = append(events, event{now, true})
				}
			}
		}
		for i, first := range events {
			// The bound is computed from the largest number of requests in three
			// windows: this one, and those that begin half a window and a whole window
			// earlier.
			extras, requests := 0.0, [3]float64{}
			for _, e := range events {
				for k, shift := range []time.Duration{0, limits.Window / 2, limits.Window} {
					from := first.when - shift
					if in := e.when >= from && e.when < from+limits.Window; in && !e.extra {
						requests[k]++
					} else if in && k == 0 {
						extras++
					}
				}
			}
			if bound := limits.Ratio*max(requests[0], requests[1], requests[2]) + limits.Slack; extras > bound {
				t.Fatalf("window from event %d: got %v extra attempts, want at most %v", i, extras, bound)
			}
		}
	})
}

// Guards against overload of a cold target: summed over all instances, it gets no more
// requests in a second than its warm-up rate, the overshoot and the slack allow.
func TestColdTargetStaysWithinWarmupRate(t *testing.T) {
	const instances, rate = 7, 4.0
	targets := readyTargets("s", 1)
	targets[0].ColdFor = 3 * time.Second
	sent := 0
	for i := range instances {
		h := newHarness(t, func(c *Config) { c.Seed = uint64(i + 1) })
		for j := range instances - 1 {
			h.receiveState(otherMember(j))
		}
		h.run(time.Second)
		h.publish(1, targets, plainRoute(true))
		h.g.service("s").limits.WarmupRate = rate
		for range 100 {
			h.request("/p/x", time.Second)
			h.run(9 * ms)
		}
		sent += len(h.sent)
	}
	// The overshoot and the slack of newHarness.
	if bound := rate*1.5 + 5; float64(sent) > bound {
		t.Errorf("got %d requests in a second to a cold target, want at most %v", sent, bound)
	}
	if sent == 0 {
		t.Error("got no requests to the only target, which is cold; want some")
	}
}
