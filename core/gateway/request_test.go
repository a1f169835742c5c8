package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"galenadyke.dev/core/model"
)

// Guards against a starting instance that answers with a 404 or without targets: until
// a configuration is known, requests are refused as not run with a Retry-After.
func TestRefusesUntilAConfigurationIsKnown(t *testing.T) {
	h := newHarness(t)
	id := h.request("/p/x", time.Second)
	if a := h.answers[id]; a.Kind != AnswerRefused || a.RetryAfter < startRetryAfter {
		t.Errorf("got %v with Retry-After %v, want refused with at least startRetryAfter", a.Kind, a.RetryAfter)
	}
	if h.ready.Ready {
		t.Error("got a ready instance without a configuration, want not ready")
	}
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	if !h.ready.Ready {
		t.Error("got an instance that is not ready with configuration and targets, want ready")
	}
	id = h.request("/none/x", time.Second)
	if a := h.answers[id]; a.Kind != AnswerNoRoute {
		t.Errorf("got %v for a path without a route, want no_route", a.Kind)
	}
}

// Guards against a request that runs twice: after an attempt that may have run, a
// request that is not idempotent is neither retried nor refused as not run.
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
			behaviour := func(s SendAttempt) (time.Duration, AttemptEnded) {
				if first {
					first = false
					return endsAfter(20*ms, tc.first)(s)
				}
				return answersAfter(10 * ms)(s)
			}
			h.targets["s-0"], h.targets["s-1"] = behaviour, behaviour
			id := h.request("/p/x", time.Second)
			h.run(2 * time.Second)
			if got := len(h.sentTo(id)); got != tc.sends {
				t.Errorf("got %d attempts, want %d", got, tc.sends)
			}
			if got := h.answers[id].Kind; got != tc.kind {
				t.Errorf("answered %v (%s), want %v", got, h.answers[id].Reason, tc.kind)
			}
		})
	}
}

// Guards against an untrue refusal: once a target may have run the request, the caller
// is not told that it has not run, whatever the outcome of the other attempts.
func TestRefusalOnlyIfEveryAttemptIsKnownNotToHaveRun(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	outcomes := []Outcome{OutcomeBroken, OutcomeShed}
	behaviour := func(s SendAttempt) (time.Duration, AttemptEnded) {
		o := outcomes[0]
		outcomes = outcomes[1:]
		return endsAfter(5*ms, o)(s)
	}
	h.targets["s-0"], h.targets["s-1"] = behaviour, behaviour
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

// Guards against more attempts than the route allows, hedges included.
func TestAttemptsStayWithinMaxAttempts(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 6), plainRoute(true))
	for _, target := range readyTargets("s", 6) {
		h.targets[target.ID] = endsAfter(30*ms, OutcomeBroken)
	}
	id := h.request("/p/x", time.Second)
	h.run(2 * time.Second)
	if got := len(h.sentTo(id)); got != 2 {
		t.Errorf("got %d attempts, want the 2 that the route allows", got)
	}
}

// Guards against a deadline after the caller's: targets are told the caller's deadline,
// and the request is answered within both the caller's and the route's time.
func TestDeadlinesRespectCallerAndRoute(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	h.targets["s-0"], h.targets["s-1"] = neverAnswers, neverAnswers
	for _, remaining := range []time.Duration{300 * ms, 5 * time.Second} {
		start := h.now
		id := h.request("/p/x", remaining)
		for _, s := range h.sent {
			if s.Request == id && s.CallerDeadline != start+remaining {
				t.Errorf("the target was sent a deadline in %v, want the caller's deadline in %v", s.CallerDeadline-start, remaining)
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

// Guards against attempts that continue after the caller closed its connection, and
// against cancelling attempts of requests that are not idempotent.
func TestCallerDisconnectedCancelsIdempotentRequestsOnly(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t)
		h.publish(1, readyTargets("s", 2), plainRoute(idempotent))
		h.targets["s-0"], h.targets["s-1"] = neverAnswers, neverAnswers
		id := h.request("/p/x", time.Second)
		h.step(CallerDisconnected{id})
		if got := len(h.cancelled) > 0; got != idempotent {
			t.Errorf("idempotent %v: got cancelled attempts: %v, want cancelled attempts exactly if idempotent", idempotent, got)
		}
		h.run(3 * time.Second)
		if got := len(h.sentTo(id)); got != 1 {
			t.Errorf("idempotent %v: got %d attempts, want 1: none after the caller disconnected", idempotent, got)
		}
		if _, answered := h.answers[id]; answered {
			t.Error("got an answer to a caller that has disconnected, want none")
		}
		if len(h.g.requests) != 0 || len(h.g.attempts) != 0 {
			t.Errorf("got %d requests and %d attempts in the tables, want none", len(h.g.requests), len(h.g.attempts))
		}
	}
}

// Guards against a request whose parts belong to two configurations: it keeps the shards
// of the configuration that was in force at its arrival.
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
			t.Errorf("a part was sent to %s, which the request's configuration does not name; want only its shards", s)
		}
	}
	if a := h.answers[id]; a.Kind != AnswerGathered || a.Missing != 0 {
		t.Errorf("answered %v with %d parts missing, want gathered with no parts missing", a.Kind, a.Missing)
	}
	id = h.request("/g/x", time.Second)
	if got := h.g.targets[h.sentTo(id)[0]].Service; got != shard(2) {
		t.Errorf("the next request was sent to %s, want the first of the new shards", got)
	}
}

// Guards against an older configuration that replaces a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	h := newHarness(t)
	old := plainRoute(true)
	h.publish(7, readyTargets("s", 2), plainRoute(true))
	h.step(ConfigurationRead{&Configuration{Version: 5, Routes: []Route{old, {Name: "x", Host: "h.example", Prefix: "/x/", Idempotent: true,
		Backends: []WeightedService{{Service: "s", Weight: 1}}}}}})
	if id := h.request("/x/y", time.Second); h.answers[id].Kind != AnswerNoRoute {
		t.Error("got an answer on a route of an older version, want no_route")
	}
	if h.g.config.Version != 7 {
		t.Errorf("got version %d in force, want 7", h.g.config.Version)
	}
}

// Guards against wrong shares of weighted services, even over few requests.
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

// Guards against sends to unusable targets: neither first attempts nor hedges go to a
// target that drains, was removed, has lost its address to another target, or is in an
// evacuated data centre.
func TestNoSendsToUnusableTargets(t *testing.T) {
	draining := readyTargets("s", 3)
	draining[0].State = TargetDraining
	for name, makeUnusable := range map[string]func(*harness){
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
			makeUnusable(h)
			sentBefore := len(h.sent)
			h.targets["s-1"] = neverAnswers // causes hedges
			for range 40 {
				h.request("/p/x", time.Second)
				h.run(50 * ms)
			}
			for _, s := range h.sent[sentBefore:] {
				if s.Target == "s-0" {
					t.Fatal("an attempt was sent to the unusable target s-0, want none")
				}
			}
		})
	}
}

// Guards against a third run where the route allows two: the first attempt fails and is
// retried, and the timer of a hedge fires while the second attempt is in flight.
func TestFailedRunCountsAgainstHedges(t *testing.T) {
	h := newHarness(t)
	route := gatherRoute(8, 0.5)
	route.MaxAttempts = 2
	targets := append(shardTargets(8), Target{ID: "third", Service: shard(0), Address: "10.0.9.9:1", Place: "lekki", Slots: 2, State: TargetReady, StartedAtMillis: 1})
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
		t.Errorf("got %d attempts for one shard, want the 2 that the route allows", got)
	}
}

// sentToService returns the attempts sent to the targets of a service.
func (h *harness) sentToService(targets []Target, id ServiceID) []SendAttempt {
	var out []SendAttempt
	for _, s := range h.sent {
		if slices.ContainsFunc(targets, func(t Target) bool { return t.ID == s.Target && t.Service == id }) {
			out = append(out, s)
		}
	}
	return out
}

// Guards against attempts that go on at a target which was removed meanwhile: the cancellation
// of a request reaches them too.
func TestCancelReachesAttemptsAtRemovedTargets(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 1), plainRoute(true))
	h.targets["s-0"] = neverAnswers
	id := h.request("/p/x", time.Second)
	h.step(StoreRead{Revision: 2, Removed: []model.TargetID{"s-0"}})
	h.step(CallerDisconnected{Request: id})
	if len(h.sent) != 1 || len(h.cancelled) != 1 || h.cancelled[0] != h.sent[0].Attempt {
		t.Errorf("got cancellations %v of attempts %v, want that of the one attempt", h.cancelled, h.sent)
	}
}
