package gateway

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against assumed round-trip times that don't fit an installation: regions are
// up to 75 ms apart, and a remote target must not be treated as near.
func TestRoundTripsAreMeasuredByConnects(t *testing.T) {
	h := newHarness(t)
	near, far := h.g.roundTrip("ikeja"), h.g.roundTrip("lekki")
	if near != localRoundTrip || far != remoteRoundTrip || h.g.nearestRemoteRoundTrip() != remoteRoundTrip {
		t.Errorf("got round trips of %v and %v before the first connect, want localRoundTrip and remoteRoundTrip", near, far)
	}
	// A duration of 0 means that there was no connect; 900 ms is an outlier.
	for _, took := range []time.Duration{160 * ms, 150 * ms, 0, 900 * ms, 151 * ms} {
		h.g.learnRoundTrip("geneva", took)
	}
	if got := h.g.roundTrip("geneva"); got < 150*ms || got > 160*ms {
		t.Errorf("got a round trip of %v to a data centre, want 150 to 160 ms", got)
	}
	if got := h.g.nearestRemoteRoundTrip(); got < 150*ms {
		t.Errorf("got a round trip of %v to the nearest other data centre, want at least 150 ms", got)
	}
	for range 400 {
		h.g.learnRoundTrip("geneva", 200*ms)
	}
	if got := h.g.roundTrip("geneva"); got < 195*ms {
		t.Errorf("got a round trip of %v after an increase to 200 ms, want at least 195 ms", got)
	}
}

// Guards against a target that counts as slow because the time of an attempt included
// a connect over a long round trip.
func TestConnectTimeDoesNotCountAsSlowness(t *testing.T) {
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
		t.Errorf("got slowness %.1f for a target that takes 10 ms, want at most 1.5", got)
	}
}
