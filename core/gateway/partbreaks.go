package gateway

import (
	"slices"
	"time"
)

// The first attempt of a request that is not suspected yet goes to a target of each shard. While
// minBrokenParts of its parts have broken and no target has completed one, its retries are sent
// one at a time, as the request may be the cause: the probe of the first target that broke
// may not have ended yet, or is a forwarder's. A completed part, or a completion of an equal
// request, shows that it is not the cause, and all retries that waited are sent.

// partBreak is an attempt of a gathering request that broke at its target.
type partBreak struct {
	part   int
	target *target
	at     time.Duration
	// lastSent is the last attempt that had been sent by then. retry is set if the one that
	// broke was sent after another one had broken.
	lastSent AttemptID
	retry    bool
}

// isCut reports whether a probe has shown that the target goes on after the break.
func (b partBreak) isCut() bool { return b.target.soundAt > b.at }

// recordPartBreak records that an attempt of a gathering request broke at its target, under the
// conditions of observeBreak. What a lost forwarder did not report is no break at a target.
func (g *Gateway) recordPartBreak(a *attempt, in AttemptEnded) {
	r := a.request
	if in.Outcome != OutcomeBroken || a.cancelled || a.lostWithForwarder || r.ended || r.forward != nil ||
		r.digest == 0 || len(r.route.Shards) == 0 || !g.isListedReady(a.target) {
		return
	}
	first := r.firstBreak()
	r.breaks = append(r.breaks, partBreak{part: a.part, target: a.target, at: g.now, lastSent: g.lastID, retry: first != nil && a.id > first.lastSent})
}

// firstBreak returns the first break that is not known to be a cut connection, or nil.
func (r *request) firstBreak() *partBreak {
	for i := range r.breaks {
		if !r.breaks[i].isCut() {
			return &r.breaks[i]
		}
	}
	return nil
}

// holdsRetries reports whether the retries of a request are sent one at a time.
func (g *Gateway) holdsRetries(r *request) bool {
	if len(r.breaks) < minBrokenParts || r.completed || r.answeredParts > 0 || g.isCleared(r.digest) {
		return false
	}
	parts := make(map[int]bool, len(r.breaks))
	for _, b := range r.breaks {
		if !b.isCut() {
			parts[b.part] = true
		}
	}
	return len(parts) >= minBrokenParts
}

// wasCut reports whether a part broke only at targets that go on.
func (r *request) wasCut(i int) bool {
	broken := false
	for _, b := range r.breaks {
		if b.part == i {
			broken = true
			if !b.isCut() {
				return false
			}
		}
	}
	return broken
}

// retryInFlight reports whether an attempt is in flight that was sent after the first break.
func (r *request) retryInFlight() bool {
	first := r.firstBreak()
	for i := range r.parts {
		if first != nil && slices.ContainsFunc(r.parts[i].inFlight, func(a *attempt) bool { return a.id > first.lastSent }) {
			return true
		}
	}
	return false
}

// retryBroken reports whether an attempt broke that was sent after the first break.
func (r *request) retryBroken() bool {
	return slices.ContainsFunc(r.breaks, func(b partBreak) bool { return b.retry && !b.isCut() })
}

// isProbed reports whether the probe of a target at which the request broke is in progress.
func (g *Gateway) isProbed(r *request) bool {
	return slices.ContainsFunc(r.breaks, func(b partBreak) bool { return !b.isCut() && g.probes[b.target.ID] == b.target })
}

// startCutPart retries a part that is deferred and broke only at targets that go on, and
// reports whether there was one.
func (g *Gateway) startCutPart(r *request) bool {
	position := slices.IndexFunc(r.deferred, r.wasCut)
	if position < 0 {
		return false
	}
	i := r.deferred[position]
	r.deferred = slices.Delete(r.deferred, position, position+1)
	g.startOrRetry(r, i)
	return true
}
