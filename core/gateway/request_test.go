package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"galenadyke.dev/core/model"
)

// Guards against a 404 or a service without targets while nothing is known yet:
// a starting instance says "not run, come back".
func TestRefusesUntilAConfigurationIsKnown(t *testing.T) {
	h := newHarness(t)
	id := h.request("/p/x", time.Second)
	if a := h.answers[id]; a.Kind != AnswerRefused || a.RetryAfter < startRetryAfter {
		t.Errorf("got %v with Retry-After %v, want a refusal until the next read of the store", a.Kind, a.RetryAfter)
	}
	if h.ready.Ready {
		t.Error("the instance is ready without a configuration")
	}
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	if !h.ready.Ready {
		t.Error("the instance is not ready although it knows configuration and targets")
	}
	id = h.request("/none/x", time.Second)
	if a := h.answers[id]; a.Kind != AnswerNoRoute {
		t.Errorf("got %v for a path without a route, want no_route", a.Kind)
	}
}

// Guards against a request that runs twice: after a send that may have run, a
// request that is not idempotent is neither retried nor called "not run".
func TestNonIdempotentRequestIsSentOnceUnlessKnownNotToHaveRun(t *testing.T) {
	for _, tc := range []struct {
		first Outcome
		sends int
		kind  AnswerKind
	}{
		{OutcomeBroken, 1, AnswerFailed},
		{OutcomeTimedOut, 1, AnswerFailed},
		{OutcomeFailure, 1, AnswerTarget},
		{OutcomeRejected, 1, AnswerTarget},
		{OutcomeShed, 2, AnswerTarget},
		{OutcomeMisdirected, 2, AnswerTarget},
		{OutcomeNotSent, 2, AnswerTarget},
	} {
		t.Run(tc.first.String(), func(t *testing.T) {
			h := newHarness(t)
			h.publish(1, readyTargets("s", 2), plainRoute(false))
			first := true
			does := func(s SendAttempt) (time.Duration, AttemptEnded) {
				if first {
					first = false
					return endsAfter(20*ms, tc.first)(s)
				}
				return answersAfter(10 * ms)(s)
			}
			h.targets["s-0"], h.targets["s-1"] = does, does
			id := h.request("/p/x", time.Second)
			h.run(2 * time.Second)
			if got := len(h.sentTo(id)); got != tc.sends {
				t.Errorf("sent %d times, want %d", got, tc.sends)
			}
			if got := h.answers[id].Kind; got != tc.kind {
				t.Errorf("answered %v (%s), want %v", got, h.answers[id].Reason, tc.kind)
			}
		})
	}
}

// Guards against an untrue refusal: once one target may have run the request,
// the caller is never told "not run", whatever the other attempts say.
func TestRefusalOnlyIfEveryAttemptIsKnownNotToHaveRun(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	outcomes := []Outcome{OutcomeBroken, OutcomeShed}
	does := func(s SendAttempt) (time.Duration, AttemptEnded) {
		o := outcomes[0]
		outcomes = outcomes[1:]
		return endsAfter(5*ms, o)(s)
	}
	h.targets["s-0"], h.targets["s-1"] = does, does
	id := h.request("/p/x", time.Second)
	h.run(2 * time.Second)
	if got := h.answers[id].Kind; got != AnswerFailed {
		t.Errorf("answered %v after a broken and a shed attempt, want failed", got)
	}

	h.targets["s-0"], h.targets["s-1"] = endsAfter(5*ms, OutcomeShed), endsAfter(5*ms, OutcomeShed)
	id = h.request("/p/x", time.Second)
	h.run(2 * time.Second)
	if got := h.answers[id].Kind; got != AnswerRefused {
		t.Errorf("answered %v after two shed attempts, want refused", got)
	}
}

// Guards against more targets than the route allows, also with hedges.
func TestAttemptsStayWithinTheRoute(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 6), plainRoute(true))
	for _, target := range readyTargets("s", 6) {
		h.targets[target.ID] = endsAfter(30*ms, OutcomeBroken)
	}
	id := h.request("/p/x", time.Second)
	h.run(2 * time.Second)
	if got := len(h.sentTo(id)); got != 2 {
		t.Errorf("sent to %d targets that may have run it, want the 2 that the route allows", got)
	}
}

// Guards against a deadline beyond the caller's: targets are told what the
// caller waits, and the answer comes within the caller's and the route's time.
func TestDeadlinesAreTheCallersAndTheRoutes(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	h.targets["s-0"], h.targets["s-1"] = silent, silent
	for _, remaining := range []time.Duration{300 * ms, 5 * time.Second} {
		start := h.now
		id := h.request("/p/x", remaining)
		for _, s := range h.sent {
			if s.Request == id && s.CallerDeadline != start+remaining {
				t.Errorf("the target is told %v, want the caller's %v", s.CallerDeadline-start, remaining)
			}
		}
		h.run(6 * time.Second)
		limit := min(remaining, time.Second) // the route's timeout
		if took := h.answeredAt[id] - start; took > limit {
			t.Errorf("answered after %v, want within %v", took, limit)
		}
		if got := h.answers[id].Kind; got != AnswerLate && got != AnswerFailed {
			t.Errorf("answered %v, want late or failed", got)
		}
	}
}

// Guards against work that goes on for a caller that has left, and against
// breaking off work that may not be repeated.
func TestCallerGoneCancelsIdempotentWorkOnly(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t)
		h.publish(1, readyTargets("s", 2), plainRoute(idempotent))
		h.targets["s-0"], h.targets["s-1"] = silent, silent
		id := h.request("/p/x", time.Second)
		h.step(CallerGone{id})
		if got := len(h.cancelled) > 0; got != idempotent {
			t.Errorf("idempotent %v: cancelled %v", idempotent, got)
		}
		h.run(3 * time.Second)
		if got := len(h.sentTo(id)); got != 1 {
			t.Errorf("idempotent %v: sent %d times, want no attempt after the caller left", idempotent, got)
		}
		if _, answered := h.answers[id]; answered {
			t.Error("a caller that left is answered")
		}
		if len(h.g.requests) != 0 || len(h.g.attempts) != 0 {
			t.Errorf("%d requests and %d attempts are left", len(h.g.requests), len(h.g.attempts))
		}
	}
}

// Guards against mixed versions: a request keeps the shards of the configuration
// with which it began.
func TestRequestKeepsItsConfiguration(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(4), gatherRoute(2, 1))
	h.targets["shard00-0"], h.targets["shard00-1"] = answersAfter(50*ms), answersAfter(50*ms)
	id := h.request("/g/x", time.Second)
	next := gatherRoute(2, 1)
	next.Shards = []ServiceID{shard(2), shard(3)}
	h.publish(2, shardTargets(4), next)
	h.run(time.Second)
	for _, target := range h.sentTo(id) {
		if s := h.g.targets[target].Service; s != shard(0) && s != shard(1) {
			t.Errorf("a part was sent to %s, which the request's configuration does not name", s)
		}
	}
	if a := h.answers[id]; a.Kind != AnswerGathered || a.Missing != 0 {
		t.Errorf("answered %v with %d parts missing, want all of one version", a.Kind, a.Missing)
	}
	id = h.request("/g/x", time.Second)
	if got := h.g.targets[h.sentTo(id)[0]].Service; got != shard(2) {
		t.Errorf("the next request went to %s, want the new shards", got)
	}
}

// Guards against a configuration that goes back within one life.
func TestConfigurationNeverGoesBack(t *testing.T) {
	h := newHarness(t)
	old := plainRoute(true)
	h.publish(7, readyTargets("s", 2), plainRoute(true))
	h.step(ConfigurationRead{&Configuration{Version: 5, Routes: []Route{old, {Name: "x", Host: "h.example", Prefix: "/x/", Idempotent: true,
		Backends: []WeightedService{{Service: "s", Weight: 1}}}}}})
	if id := h.request("/x/y", time.Second); h.answers[id].Kind != AnswerNoRoute {
		t.Error("a route of an older version is in force")
	}
	if h.g.config.Version != 7 {
		t.Errorf("version %d is in force, want 7", h.g.config.Version)
	}
}

// Guards against a wrong share of weighted services, also over few requests.
func TestWeightedServicesGetTheirShares(t *testing.T) {
	h := newHarness(t)
	r := plainRoute(true)
	r.Backends = []WeightedService{{"s", 7}, {"u", 3}}
	h.publish(1, append(readyTargets("s", 2), readyTargets("u", 2)...), r)
	count := map[ServiceID]int{}
	for range 50 {
		id := h.request("/p/x", time.Second)
		count[h.g.targets[h.sentTo(id)[0]].Service]++
		h.run(20 * ms)
	}
	if diff := cmp.Diff(map[ServiceID]int{"s": 35, "u": 15}, count); diff != "" {
		t.Error(diff)
	}
}

// Guards against sends to targets that leave: neither first attempts nor hedges
// go to a target that drains, has left, has lost its address to another target, or is in
// an evacuated data centre.
func TestNoSendsToTargetsThatLeave(t *testing.T) {
	draining := readyTargets("s", 3)
	draining[0].State = TargetDraining
	for name, leave := range map[string]func(*harness){
		"draining":  func(h *harness) { h.step(StoreRead{Revision: 2, Targets: draining[:1]}) },
		"removed":   func(h *harness) { h.step(StoreRead{Revision: 2, Removed: []model.TargetID{"s-0"}}) },
		"evacuated": func(h *harness) { h.step(StoreRead{Revision: 2, Evacuated: []model.PlaceID{"ikeja"}}) },
		"misdirected": func(h *harness) {
			h.targets["s-0"] = endsAfter(ms, OutcomeMisdirected)
			for range 30 {
				h.request("/p/x", time.Second)
				h.run(100 * ms)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.publish(1, readyTargets("s", 3), plainRoute(true))
			leave(h)
			before := len(h.sent)
			h.targets["s-1"] = silent // makes hedges
			for range 40 {
				h.request("/p/x", time.Second)
				h.run(50 * ms)
			}
			for _, s := range h.sent[before:] {
				if s.Target == "s-0" {
					t.Fatal("sent to the target that left")
				}
			}
		})
	}
}

// Guards against a third run where the route allows two: the first attempt fails
// and is repeated, and its hedge comes due while the second is under way.
func TestHedgeOfAFailedAttemptCountsItsRun(t *testing.T) {
	h := newHarness(t)
	route := gatherRoute(8, 0.5)
	route.MaxAttempts = 2
	targets := append(shardTargets(8), Target{ID: "third", Service: shard(0), Address: "10.0.9.9:1", Place: "lekki", Slots: 2, State: TargetReady, Born: 1})
	h.publish(1, targets, route)
	for _, target := range targets {
		if target.Service == shard(0) {
			h.targets[target.ID] = func(SendAttempt) (time.Duration, AttemptEnded) {
				if len(h.sentToService(targets, shard(0))) == 1 {
					return 2 * ms, AttemptEnded{Outcome: OutcomeFailure, Status: 500}
				}
				return 400 * ms, AttemptEnded{Outcome: OutcomeSuccess, Part: Part{Stamp: "late", Records: record(1)}}
			}
		}
	}
	h.request("/g/x", time.Second)
	h.run(300 * ms)
	if got := len(h.sentToService(targets, shard(0))); got != 2 {
		t.Errorf("%d attempts that may run, the route allows 2", got)
	}
}

// sentToService returns the attempts at the targets of a service.
func (h *harness) sentToService(targets []Target, id ServiceID) []SendAttempt {
	var out []SendAttempt
	for _, s := range h.sent {
		if slices.ContainsFunc(targets, func(t Target) bool { return t.ID == s.Target && t.Service == id }) {
			out = append(out, s)
		}
	}
	return out
}
