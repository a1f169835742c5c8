package gateway

import (
	"slices"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against losing live targets in an outage of the store: targets whose entries
// lapse during the outage stay in use until lapseGrace after the store returned, and no
// longer.
func TestEntriesLapsedInStoreOutageStayInUse(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 1), plainRoute(true))
	h.step(StoreFailed{Cause: "refused"})
	h.run(5 * time.Second)
	h.step(StoreAnswered{}, StoreRead{Revision: 2, Removed: []model.TargetID{"s-0"}})
	if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 1 {
		t.Error("the number of attempts at a target whose entry lapsed during the outage is not 1, want 1")
	}
	h.run(lapseGrace + 100*ms)
	if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 0 {
		t.Error("a target whose entry did not come back got a request after lapseGrace, want none")
	}

	again := readyTargets("s", 1)[0]
	h.step(StoreRead{Revision: 3, Targets: []Target{withReport(again, 1, TargetReady)}}, StoreFailed{Cause: "refused"})
	h.step(StoreAnswered{}, StoreRead{Revision: 4, Removed: []model.TargetID{"s-0"}})
	h.run(time.Second)
	h.step(StoreRead{Revision: 5, Targets: []Target{withReport(again, 2, TargetReady)}})
	h.run(lapseGrace)
	if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 1 {
		t.Error("the number of attempts at a target whose entry came back is not 1, want 1")
	}
}

// Guards against live targets that are given up in a second outage: entries that lapse then
// also stay in use, during the whole outage and until lapseGrace after it.
func TestEntriesLapsedInASecondOutageStayInUse(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 1), plainRoute(true))
	h.step(StoreFailed{Cause: "refused"})
	h.step(StoreAnswered{})
	h.run(2 * lapseGrace)
	h.step(StoreFailed{Cause: "refused"}, StoreRead{Revision: 2, Removed: []model.TargetID{"s-0"}})
	h.run(2 * lapseGrace)
	if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 1 {
		t.Error("a target whose entry lapsed in the second outage got no request, want one")
	}
	h.step(StoreAnswered{})
	h.run(lapseGrace + 100*ms)
	if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 0 {
		t.Error("a target whose entry did not come back got a request after lapseGrace, want none")
	}
}

// Guards against use of a removed target: while the store answers, a removal applies at
// once.
func TestRemovalAppliesAtOnceWhileStoreAnswers(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 1), plainRoute(true))
	h.run(time.Second)
	h.step(StoreRead{Revision: 2, Removed: []model.TargetID{"s-0"}})
	if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 0 {
		t.Error("a removed target got a request, want none")
	}
}

// Guards against an older read of the store that restores removed targets.
func TestOlderReadsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.publish(5, readyTargets("s", 2), plainRoute(true))
	h.step(StoreRead{Revision: 9, Removed: []model.TargetID{"s-0"}})
	h.step(StoreRead{Revision: 7, Complete: true, Relayed: true, Targets: readyTargets("s", 2)})
	if h.g.targets["s-0"] != nil {
		t.Error("an older read restored a removed target, want the read ignored")
	}
}

// Guards against state of a former incarnation that is applied to its successor: an
// entry with another StartedAtMillis starts from scratch.
func TestNewIncarnationDiscardsTargetState(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 1), plainRoute(true))
	h.targets["s-0"] = endsAfter(ms, OutcomeNotSent)
	for range 4 {
		h.request("/p/x", time.Second)
		h.run(300 * ms)
	}
	if !h.sawEvent("TargetDown", "s-0") {
		t.Fatal("got no event TargetDown for s-0, which the test needs")
	}
	restarted := readyTargets("s", 1)
	restarted[0].StartedAtMillis = 77
	h.targets["s-0"] = answersAfter(10 * ms)
	h.step(StoreRead{Revision: 2, Targets: restarted})
	if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 1 {
		t.Error("the number of attempts at the new incarnation is not 1, want 1: it must not count as down")
	}
}

// Guards against load on a slow target: it is avoided after a few slow answers, and
// tried again when it may have recovered.
func TestSlowTargetIsAvoidedThenTriedAgain(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	slowShare := func(requests int) float64 {
		before, slow := len(h.sent), 0
		for range requests {
			id := h.request("/p/x", time.Second)
			h.run(40 * ms)
			if h.sentTo(id)[0] == "s-0" {
				slow++
			}
		}
		_ = before
		return float64(slow) / float64(requests)
	}
	if got := slowShare(50); got < 0.5 {
		t.Fatalf("the local target gets a share of %v of the requests, want at least 0.5", got)
	}
	h.targets["s-0"] = answersAfter(100 * ms)
	slowShare(10)
	if got := slowShare(50); got > 0.15 {
		t.Errorf("a target ten times as slow gets a share of %v of the requests, want at most 0.15", got)
	}
	h.targets["s-0"] = answersAfter(10 * ms)
	h.run(4 * slownessDecay)
	if got := slowShare(50); got < 0.5 {
		t.Errorf("the recovered target gets a share of %v of the requests, want at least 0.5", got)
	}
}

// Guards against requests that wait one after another for a dead target: after a few
// failures it is tried only at growing intervals, and requests in between are refused.
func TestDeadTargetIsTriedAtIntervals(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 1), plainRoute(true))
	h.targets["s-0"] = endsAfter(5*ms, OutcomeNotSent)
	for range 500 {
		h.request("/p/x", time.Second)
		h.run(20 * ms)
	}
	// Three failures, then attempts after pauses of 0.25, 0.5, 1, 2, 2, 2 and 2 s.
	if got := len(h.sent); got > 3+7 {
		t.Errorf("a dead target was tried %d times in 10 s, want at most 10", got)
	}
	for id, a := range h.answers {
		if a.Kind != AnswerRefused {
			t.Errorf("request %d: got answer %v, want refused", id, a.Kind)
		}
	}
	h.targets["s-0"] = answersAfter(10 * ms)
	h.run(maxDownBackoff)
	h.request("/p/x", time.Second)
	h.run(50 * ms)
	if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 1 {
		t.Error("the number of attempts at a target that answers again is not 1, want 1 at once")
	}
}

// Guards against a recovered target that stays down because no request is idempotent: a
// request that is not idempotent also tries a target that is down if no target is up.
func TestRecoveredTargetServesNonIdempotentRequests(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(false))
	h.targets["s-0"] = endsAfter(5*ms, OutcomeNotSent)
	h.targets["s-1"] = endsAfter(5*ms, OutcomeNotSent)
	for range 20 {
		h.request("/p/x", time.Second)
		h.run(50 * ms)
	}
	h.targets["s-0"], h.targets["s-1"] = answersAfter(10*ms), answersAfter(10*ms)
	h.run(maxDownBackoff)
	served := 0
	for range 20 {
		id := h.request("/p/x", time.Second)
		h.run(50 * ms)
		if h.answers[id].Kind == AnswerTarget {
			served++
		}
	}
	if served < 19 {
		t.Errorf("got %d of 20 requests served after both targets recovered, want at least 19", served)
	}
	h.targets["s-0"] = endsAfter(5*ms, OutcomeNotSent)
	for range 20 {
		h.request("/p/x", time.Second)
		h.run(50 * ms)
	}
	h.targets["s-0"] = answersAfter(10 * ms)
	h.run(maxDownBackoff)
	if id := h.request("/p/x", time.Second); h.sentTo(id)[0] != "s-1" {
		t.Error("the first attempt did not go to s-1, want s-1: it is up, and s-0 was down")
	}
}

// Guards against connections that a target resets because they exceed its connection
// limit: the requests in flight of one instance stay within its share of the limit.
func TestConnectionsStayWithinTheShare(t *testing.T) {
	h := newHarness(t)
	for j := range 6 {
		h.receiveState(otherMember(j))
	}
	h.run(time.Second)
	h.publish(1, readyTargets("s", 1), plainRoute(true))
	h.g.service("s").limits.MaxConnections = 26
	h.targets["s-0"] = answersAfter(300 * ms)
	for range 30 {
		h.request("/p/x", time.Second)
	}
	if got, bound := len(h.sent), 26/7; got > bound {
		t.Errorf("got %d requests in flight at once, want at most %d, the share of one of 7 instances", got, bound)
	}
}

// Guards against instances that all open connections to all targets when they start
// together: each connection costs the target time, and together they exceed its
// connection limit. Only instances that gather open connections before the first
// request, and only after gathererSearchTime. A small instance gathers only if it knows
// no large one. The targets of a data centre with a forwarder need no connection from
// other data centres.
func TestConnectionsAreOpenedAheadByGatherersOnly(t *testing.T) {
	large := otherMember(1)
	large.Capacity = 0.8
	for _, c := range []struct {
		name     string
		capacity float64
		known    model.PlaceID // data centre of the large instance that this one knows, if any
		want     int
	}{
		{"small instance that knows a large one", 0.19, "lekki", 0},
		{"large instance, another one in its data centre", 0.8, "ikeja", 16}, // 8 shards with two targets each
		{"large instance, another one in the other data centre", 0.8, "lekki", 8},
		{"small instance that knows no other", 0.19, "", 16},
	} {
		h := newHarness(t, func(cfg *Config) { cfg.Capacity = c.capacity })
		h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
		if len(h.opened) > 0 {
			t.Errorf("%s: got %d connections opened before gathererSearchTime, want none", c.name, len(h.opened))
		}
		if large.Place = c.known; c.known != "" {
			h.receiveState(large)
		}
		h.run(gathererSearchTime)
		if got := len(h.opened); got != c.want {
			t.Errorf("%s: got %d connections opened in advance, want %d", c.name, got, c.want)
		}
	}
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.request("/g/x", time.Second)
	h.run(gathererSearchTime)
	for _, o := range h.opened {
		if slices.ContainsFunc(h.sent, func(s SendAttempt) bool { return s.Target == o.Target }) {
			t.Errorf("a connection was opened in advance to %s, want none to a target that was already sent an attempt", o.Target)
		}
	}
	h.opened = nil
	h.step(StoreRead{Revision: 9, Targets: readyTargets(shard(0), 3)})
	if len(h.opened) == 0 {
		t.Error("got no connection to a target that was listed later, want one")
	}
}
