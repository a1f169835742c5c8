package gateway

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against network times of one installation in another: regions are up to
// 75 ms apart, and a target far away must not look near.
func TestWaysAreLearnedFromConnects(t *testing.T) {
	h := newHarness(t)
	near, far := h.g.roundTrip("ikeja"), h.g.roundTrip("lekki")
	if near != localRoundTrip || far != remoteRoundTrip || h.g.nearestRemoteRoundTrip() != remoteRoundTrip {
		t.Errorf("%v and %v before the first connect", near, far)
	}
	for _, took := range []time.Duration{160 * ms, 150 * ms, 0, 900 * ms, 151 * ms} {
		h.g.learnRoundTrip("geneva", took)
	}
	if got := h.g.roundTrip("geneva"); got < 150*ms || got > 160*ms {
		t.Errorf("%v to a data centre 150 ms away", got)
	}
	if got := h.g.nearestRemoteRoundTrip(); got < 150*ms {
		t.Errorf("the nearest other data centre is %v away, want 150 ms", got)
	}
	for range 400 {
		h.g.learnRoundTrip("geneva", 200*ms)
	}
	if got := h.g.roundTrip("geneva"); got < 195*ms {
		t.Errorf("%v to a data centre that is 200 ms away now", got)
	}
}

// Guards against targets that look slow because a connection was opened to them
// over a long way.
func TestConnectDoesNotMakeATargetSlow(t *testing.T) {
	h := newHarness(t)
	targets := readyTargets("s", 1)
	targets[0].Place = "geneva"
	h.publish(1, targets, plainRoute(true))
	h.targets[targets[0].ID] = func(SendAttempt) (time.Duration, AttemptEnded) {
		return 310 * ms, AttemptEnded{Outcome: OutcomeSuccess, Connect: 150 * ms}
	}
	for range 20 {
		h.request("/p/x", 5*time.Second)
		h.run(time.Second)
	}
	if got := h.g.targets[model.TargetID("s-0")].slownessNow(h.now); got > 1.5 {
		t.Errorf("slowness %.1f of a target that takes 10 ms", got)
	}
}
