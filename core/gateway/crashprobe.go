package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// An attempt that broke shows that the connection has ended, not why. A connect tells a crash
// from a connection that was cut or reset: it is refused at once while no process listens at
// the target's address. The instance that sent the attempt itself, which may be a forwarder,
// probes and reports the crash; the reports of several instances count once for a target
// incarnation.

// probeTimeout bounds the connect of a probe. A process that has ended refuses it within a
// round trip.
const probeTimeout = 500 * time.Millisecond

// maxBreaks bounds the broken attempts of a target that are kept until the result of its
// probe. It is the number of connections to a target without a published limit.
const maxBreaks = defaultConnectionLimit

// brokenAttempt is an attempt that broke at a target.
type brokenAttempt struct {
	digest       RequestDigest
	organisation string // of the caller, or the route if the protocol states none
	attemptID    string
}

// observeBreak records an attempt that this instance sent itself and that broke at its target,
// and starts a probe. It also takes a refused connect as the result of a probe.
//
// A cancelled attempt breaks because of its cancellation, and a target that drains or has left
// ends as planned.
func (g *Gateway) observeBreak(a *attempt, in AttemptEnded) {
	r, t := a.request, a.target
	switch {
	case a.batch != nil: // the forwarder probes
	case in.Outcome == OutcomeNotSent && in.ConnectRefused:
		g.connectRefused(t)
	case in.Outcome != OutcomeBroken || a.cancelled || r.digest == 0 || !g.isListedReady(t):
	default:
		t.recordBreak(brokenAttempt{r.digest, cmp.Or(r.organisation, r.route.Name), r.attemptID})
		g.probe(t)
	}
}

// isListedReady reports whether a target is listed as ready.
func (g *Gateway) isListedReady(t *target) bool { return !t.gone && t.State == TargetReady }

func (t *target) recordBreak(b brokenAttempt) {
	if slices.Contains(t.breaks, b) {
		return
	}
	if len(t.breaks) >= maxBreaks {
		t.breaks = slices.Delete(t.breaks, 0, 1)
	}
	t.breaks = append(t.breaks, b)
}

// probe starts a probe of a target, unless one is in progress for its ID.
func (g *Gateway) probe(t *target) {
	if g.probes[t.ID] != nil {
		return
	}
	g.probes[t.ID] = t
	g.emit(ProbeTarget{Target: t.ID, Address: t.Address, Timeout: probeTimeout})
}

// targetProbed handles the result of a probe, which concerns the incarnation for which the
// probe was started.
func (g *Gateway) targetProbed(in TargetProbed) {
	t := g.probes[in.Target]
	if t == nil {
		return
	}
	delete(g.probes, in.Target)
	switch in.Result {
	case ProbeRefused:
		g.connectRefused(t)
	case ProbeConnected:
		t.soundAt = g.now
	}
	t.breaks = nil
	if current := g.targets[in.Target]; current != nil && len(current.breaks) > 0 {
		g.probe(current)
	}
}

// connectRefused counts a crash for each request with an attempt that broke at the target
// since the last result of a probe.
func (g *Gateway) connectRefused(t *target) {
	if len(t.breaks) == 0 {
		return
	}
	g.emit(Event{Name: "TargetCrashed", Subject: string(t.ID), Before: "up", After: "connect refused after " + strconv.Itoa(len(t.breaks)) + " broken attempts", Warning: true})
	for _, b := range t.breaks {
		g.crashSeen(b.digest, b.organisation, t, b.attemptID)
	}
	t.breaks = nil
}
