package gateway

import (
	"fmt"
	"slices"
	"time"
)

// A request that has crashed a target is suspected: it is sent to one target at a time, its
// canary, without a hedge, and not again after an attempt that may have run. The parts of a
// gathering request wait until a target has completed the canary, which clears the request. A
// request that has crashed maxCrashes targets is held: it is refused before anything is sent.
// The instance that the caller asked checks this, and the one that gathers the answer; a
// forwarder makes each attempt once, as the sender of the batch decides.

const (
	// minHeldRetryAfter and maxHeldRetryAfter bound the Retry-After of a held request. A caller
	// that returns earlier prolongs the hold.
	minHeldRetryAfter = time.Second
	maxHeldRetryAfter = 30 * time.Second
)

// suspectedReason completes the reason why a suspected request is not sent again.
const suspectedReason = "the request is suspected of crashing targets, and a target may have run it"

// digestText returns a digest as it is logged.
func digestText(d RequestDigest) string { return fmt.Sprintf("%016x", uint64(d)) }

// answerHeld ends a request that is held.
func (g *Gateway) answerHeld(r *request) {
	crashes, left := g.holdRefused(r.digest)
	reason := fmt.Sprintf("the request has crashed %d targets and is not sent again for now", crashes)
	g.recordStep(r, "held", digestText(r.digest), "it has crashed %d targets, %d ms of the hold are left", crashes, left/time.Millisecond)
	if r.mayHaveRun || r.pendingAttempts > 0 {
		g.answer(r, Answer{Kind: AnswerFailed, Reason: reason})
		return
	}
	g.answer(r, Answer{Kind: AnswerRefused, RetryAfter: g.heldRetryAfter(left), Held: true, Reason: reason})
}

// heldRetryAfter returns the Retry-After of a request that is held for the time left. The
// random part keeps callers from returning together.
func (g *Gateway) heldRetryAfter(left time.Duration) time.Duration {
	spread := time.Duration(g.rng.Float64() * float64(minHeldRetryAfter))
	return min(max(left, minHeldRetryAfter)+spread, maxHeldRetryAfter-spread)
}

// endHeldPart ends a part that is not sent because its request is held, and the request too
// if it has no other part that was or may be answered.
func (g *Gateway) endHeldPart(r *request, i int) {
	if r.pendingAttempts == 0 && r.answeredParts == 0 {
		g.answerHeld(r)
		return
	}
	g.failPart(r, i, "the request has crashed targets and is held")
}

// maySend reports whether a part of a request may be sent now. Otherwise it has ended the part
// or deferred it until the request is cleared.
func (g *Gateway) maySend(r *request, i int) bool {
	switch g.suspicionOf(r.digest) {
	case held:
		g.endHeldPart(r, i)
		return false
	case suspected:
		// An attempt in flight may still complete, which clears the request. If the canary
		// was the only one, the part fails with it.
		if r.pendingAttempts > 0 {
			g.deferPart(r, i)
			return false
		}
		if r.parts[i].runs > 0 {
			g.failSuspectedPart(r, i)
			return false
		}
	case unsuspected:
		if g.holdsRetries(r) && !r.wasCut(i) && (r.retryInFlight() || r.retryBroken()) {
			g.deferPart(r, i)
			return false
		}
	}
	return true
}

// failSuspectedPart fails a part that may have run, and the whole request if the part was its
// canary.
func (g *Gateway) failSuspectedPart(r *request, i int) {
	if r.canary {
		g.recordStep(r, "given up", string(r.parts[i].service.id), "%s", suspectedReason)
		g.failRequest(r, suspectedReason+": "+r.cause)
		return
	}
	g.failPart(r, i, suspectedReason)
}

// deferPart keeps a part until its request is cleared.
func (g *Gateway) deferPart(r *request, i int) {
	if len(r.deferred) == 0 {
		g.withDeferredParts = append(g.withDeferredParts, r)
		if len(r.breaks) > 0 {
			g.recordStep(r, "waits", string(r.parts[i].service.id), "%d attempts broke, none is completed, %d are in flight", len(r.breaks), r.pendingAttempts)
		}
	}
	r.deferred = append(r.deferred, i)
}

// startSuspected starts the canary of a request and defers the other parts.
func (g *Gateway) startSuspected(r *request) {
	r.canary = true
	if len(r.parts) == 1 {
		g.recordStep(r, "suspected", digestText(r.digest), "sent to one target, without a hedge, and not again if it may have run")
		g.startPart(r, 0)
		return
	}
	for i := range r.parts {
		g.deferPart(r, i)
	}
	g.startCanary(r)
}

// startCanary starts the part that is deferred and is expected to be answered first.
func (g *Gateway) startCanary(r *request) {
	position := g.chooseCanary(r)
	i := r.deferred[position]
	r.deferred = slices.Delete(r.deferred, position, position+1)
	action := "suspected"
	if g.suspicionOf(r.digest) == unsuspected {
		action = "retried alone"
	} else if r.answeredParts == 0 {
		r.canary = true
	}
	g.recordStep(r, action, digestText(r.digest), "the part for %s is sent first, %d others wait until its target has answered", r.parts[i].service.id, len(r.deferred))
	g.startOrRetry(r, i)
}

// startOrRetry starts a part that was deferred, which may have been sent before.
func (g *Gateway) startOrRetry(r *request, i int) {
	if len(r.parts[i].tried) > 0 {
		g.retry(r, i)
		return
	}
	g.startPart(r, i)
}

// chooseCanary returns the position in r.deferred of the part with the target that is expected
// to answer first. A part without a free target comes last.
func (g *Gateway) chooseCanary(r *request) int {
	serviceTime := g.typicalServiceTime(r.route)
	best, bestTime := 0, time.Duration(-1)
	for position, i := range r.deferred {
		t, _ := g.chooseTarget(r, &r.parts[i])
		if t == nil {
			continue
		}
		estimate := g.estimate(t, serviceTime)
		if t.downBackoff > 0 {
			estimate += silentAfter
		}
		if bestTime < 0 || estimate < bestTime {
			best, bestTime = position, estimate
		}
	}
	return best
}

// resumeDeferred goes on with the requests that have deferred parts: with all parts once the
// request is cleared, or with another canary once the previous one is known not to have run.
func (g *Gateway) resumeDeferred() {
	if len(g.withDeferredParts) == 0 {
		return
	}
	waiting := g.withDeferredParts
	g.withDeferredParts = nil
	for _, r := range waiting {
		g.resume(r)
		if !r.ended && len(r.deferred) > 0 {
			g.withDeferredParts = append(g.withDeferredParts, r)
		}
	}
}

// resume goes on with a request that has deferred parts, if it can.
func (g *Gateway) resume(r *request) {
	for !r.ended && len(r.deferred) > 0 {
		s := g.suspicionOf(r.digest)
		switch {
		case s == unsuspected && !g.holdsRetries(r):
			g.startDeferred(r)
			return
		case s == unsuspected && g.startCutPart(r):
		case g.isQueued(r):
			return
		case s == unsuspected && r.retryBroken():
			if r.pendingAttempts > 0 || g.isProbed(r) {
				return
			}
			g.failDeferred(r, func(int) bool { return true }, "the retry of another part broke too: "+r.cause)
		case s == unsuspected && r.retryInFlight():
			return
		case s == unsuspected:
			g.startCanary(r)
		case r.pendingAttempts > 0:
			return
		case s == held:
			g.answerHeld(r)
		case slices.ContainsFunc(r.deferred, r.mayHaveRunPart):
			g.failDeferred(r, r.mayHaveRunPart, suspectedReason)
		default:
			g.startCanary(r)
		}
	}
}

// mayHaveRunPart reports whether a target may have run a part.
func (r *request) mayHaveRunPart(i int) bool { return r.parts[i].runs > 0 }

// failDeferred fails those parts that are deferred for which fails returns true.
func (g *Gateway) failDeferred(r *request, fails func(i int) bool, reason string) {
	parts := r.deferred
	r.deferred = slices.DeleteFunc(slices.Clone(parts), fails)
	for _, i := range parts {
		if !r.ended && fails(i) {
			g.failPart(r, i, reason)
		}
	}
}

// startDeferred starts the parts of a cleared request that were deferred.
func (g *Gateway) startDeferred(r *request) {
	parts, first := r.deferred, r.canary
	r.deferred, r.canary = nil, false
	if r.deadline-g.now < minAttemptTime {
		return // timeOut ends the request
	}
	g.recordStep(r, "cleared", digestText(r.digest), "%d parts that waited are sent", len(parts))
	if first {
		r.firstBatchesSent = false
	}
	for _, i := range parts {
		if r.parts[i].state == partOpen {
			g.startOrRetry(r, i)
		}
		if r.ended {
			return
		}
	}
	if first {
		g.recordFirstSends(r)
	}
}

// isQueued reports whether a part of a request waits for a free connection.
func (g *Gateway) isQueued(r *request) bool {
	for i := range r.parts {
		p := &r.parts[i]
		if p.state == partOpen && slices.Contains(p.service.waiting, waitingPart{r, i}) {
			return true
		}
	}
	return false
}
