package gateway

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// stopState is the progress of a graceful stop.
type stopState struct {
	begun     bool
	closed    bool // new connections are no longer accepted
	completed bool
	timedOut  bool // the stop time is almost up
	// endsAt is when requests in progress fail, valid once begun is set.
	endsAt time.Duration
}

// beginStop starts the graceful stop: the instance is no longer ready, and requests in
// progress may complete until drainReserve before the end of the stop time.
func (g *Gateway) beginStop() {
	if g.stop.begun {
		return
	}
	g.stop = stopState{begun: true, endsAt: g.now + max(0, g.cfg.StopTime-drainReserve)}
	g.emit(Event{Name: "StopBegun", Subject: string(g.cfg.Self), Before: "serving", After: strconv.Itoa(len(g.requests)) + " requests in progress"})
	g.after(min(drainReadyDelay, g.cfg.StopTime/2), g.closeListener)
	g.after(g.stop.endsAt-g.now, g.stopTimedOut)
}

// stopWouldCut reports whether an attempt at a service that is sent now would probably still be
// in progress when the stop ends. The caller of a request that is not sent can try another
// instance, whereas a request that is cut may have run.
func (g *Gateway) stopWouldCut(r *request, s *service) bool {
	return g.stop.begun && r.deadline > g.stop.endsAt && g.now+g.likelyServiceTime(r, s) > g.stop.endsAt
}

// stopCutsReason is the reason why a request is not sent if stopWouldCut.
const stopCutsReason = "the instance stops before an answer is likely"

// likelyServiceTime returns the time in which a service is likely to answer an attempt. For a
// request that must not be repeated it is the longest of the last ones, answered or in progress,
// or the latency objective of the route while none was answered.
func (g *Gateway) likelyServiceTime(r *request, s *service) time.Duration {
	if r.route.Idempotent {
		return s.recent.quantile(0.5)
	}
	longest := s.recent.quantile(1)
	for _, t := range s.targets {
		if len(t.inFlight) > 0 {
			longest = max(longest, g.now-t.inFlight[0].sentAt)
		}
	}
	if s.recent.count == 0 {
		longest = max(longest, r.route.LatencyObjective)
	}
	return longest
}

func (g *Gateway) closeListener() {
	g.stop.closed = true
	g.emit(StopAccepting{})
	g.checkStopped()
}

// checkStopped completes the stop once all requests have been answered.
func (g *Gateway) checkStopped() {
	if g.stop.completed || !g.stop.closed {
		return
	}
	for _, r := range g.requests {
		if !r.ended {
			g.after(stopCheckInterval, g.checkStopped)
			return
		}
	}
	g.completeStop()
}

// stopCheckInterval is the time between two checks of the requests in progress
// during a stop.
const stopCheckInterval = 50 * time.Millisecond

// stopTimedOut fails the requests in progress when the stop time is almost up, and
// completes the stop.
func (g *Gateway) stopTimedOut() {
	g.stop.timedOut = true
	for _, id := range sortedKeys(g.requests) {
		switch r := g.requests[id]; {
		case r.ended:
		case r.forward != nil:
			g.stopForwarding(r)
		default:
			g.failRequest(r, "the instance stops")
		}
	}
	g.completeStop()
}

func (g *Gateway) completeStop() {
	if !g.stop.completed {
		g.stop.completed = true
		g.emit(Stopped{})
	}
}

// updateReady emits a ReadinessChanged if the readiness or its reason has changed.
func (g *Gateway) updateReady() {
	ready := ReadinessChanged{Ready: true}
	switch {
	case g.stop.begun:
		ready = ReadinessChanged{Reason: "the instance stops"}
	case g.config == nil || !g.store.known:
		ready = ReadinessChanged{Reason: "no configuration is known yet"}
	}
	if ready != g.ready {
		g.ready = ready
		g.emit(ready)
	}
}

// sortedKeys returns the keys of m in ascending order, so that the same inputs give
// the same outputs.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
