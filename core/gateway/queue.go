package gateway

import (
	"slices"
	"sort"
	"strconv"
	"time"
)

// Each service has a queue for bursts that use all connections of this instance to
// the service's targets. Parts wait in the order of priority, then of deadline, and
// are dropped once they can no longer be answered in time.

// waitingPart is a part that waits for a free connection.
type waitingPart struct {
	request *request
	part    int
}

// before reports whether w leaves the queue before other, whichever was queued first.
func (w waitingPart) before(other waitingPart) bool {
	if a, b := w.request.route.Priority, other.request.route.Priority; a != b {
		return a < b
	}
	return w.request.deadline < other.request.deadline
}

// enqueue queues a part. A plain request that still has no attempt in flight queueShare
// of its latency objective after its arrival fails, so that the caller can still try
// another instance in time.
func (g *Gateway) enqueue(r *request, i int) {
	s := r.parts[i].service
	g.recordStep(r, "queued", string(s.id), "behind %d parts, all connections of this instance are in use", len(s.waiting))
	w := waitingPart{r, i}
	position := sort.Search(len(s.waiting), func(i int) bool { return w.before(s.waiting[i]) })
	s.waiting = slices.Insert(s.waiting, position, w)
	if len(r.route.Shards) == 0 && r.route.LatencyObjective > 0 {
		maxWait := time.Duration(queueShare * float64(r.route.LatencyObjective))
		g.afterFor(r, r.arrived+maxWait-g.now, func() {
			if !r.ended && r.pendingAttempts == 0 && r.parts[i].state == partOpen {
				g.failRequest(r, "no target of "+string(s.id)+" was free in time")
			}
		})
	}
}

// dispatch sends the waiting parts of a service in order until a part finds no free
// connection. It drops parts that no longer need an answer or have too little time
// left, and fails parts for which no target is usable or the retry budget is used up.
func (g *Gateway) dispatch(s *service) {
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		p := &w.request.parts[w.part]
		if w.request.ended || p.state != partOpen || w.request.deadline-g.now < minAttemptTime {
			s.waiting = s.waiting[1:]
			continue
		}
		if !g.maySend(w.request, w.part) {
			s.waiting = s.waiting[1:]
			continue
		}
		if g.stopWouldCut(w.request, s) {
			s.waiting = s.waiting[1:]
			g.failPart(w.request, w.part, stopCutsReason)
			continue
		}
		t, usable := g.chooseTarget(w.request, p)
		if t == nil && usable {
			return
		}
		s.waiting = s.waiting[1:]
		switch {
		case t == nil:
			g.failPart(w.request, w.part, "no target of "+string(s.id)+" "+g.unusableReason(s))
		case p.arrivals > 0 && !g.spendRetryBudget(s, 0):
			g.failPart(w.request, w.part, "the retry budget of "+string(s.id)+" is used up")
		default:
			g.send(w.request, w.part, t)
		}
	}
	s.waiting = nil
}

// dispatchAll dispatches the queues of all services after a change of the targets.
func (g *Gateway) dispatchAll() {
	for _, id := range sortedKeys(g.services) {
		g.dispatch(g.services[id])
	}
}

// refusalReason returns why a request that has not been sent yet can't be served, or
// "" if it can.
func (g *Gateway) refusalReason(r *request) string {
	if r.deadline-g.now < minAttemptTime {
		return "the caller's deadline leaves no time"
	}
	up, limited, cut := 0, 0, 0
	for i := range r.parts {
		switch s := r.parts[i].service; {
		case g.stopWouldCut(r, s):
			cut++
		case g.hasUsableTarget(s):
			up++
		case g.hasLimitedTarget(s):
			limited++
		}
	}
	if up >= r.requiredParts() {
		return ""
	}
	if up+cut >= r.requiredParts() {
		return stopCutsReason
	}
	reason := "targets are up for " + strconv.Itoa(up) + " of " + strconv.Itoa(len(r.parts)) + " services"
	if limited > 0 {
		reason += ", and at their rate limit for " + strconv.Itoa(limited)
	}
	return reason
}

func (g *Gateway) hasUsableTarget(s *service) bool {
	return slices.ContainsFunc(s.targets, g.isUsable)
}

// hasLimitedTarget reports whether a target of the service is up but not within its rate
// limit.
func (g *Gateway) hasLimitedTarget(s *service) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return g.isUp(t) && !g.withinRateLimit(t) })
}

// unusableReason completes the reason why no target of a service is usable.
func (g *Gateway) unusableReason(s *service) string {
	if g.hasLimitedTarget(s) {
		return "is up and within its rate limit"
	}
	return "is up"
}

// retryAfter returns a random delay for a refused caller, so that callers don't
// return at once. More urgent routes get shorter delays. It begins when enough targets end
// their pauses, if there are too few before.
func (g *Gateway) retryAfter(r *request) time.Duration {
	rank := time.Duration(1 + min(r.route.Priority, 8))
	return g.pauseLeft(r) + refusedRetryAfter*rank + time.Duration(g.rng.Float64()*float64(refusedRetryAfter*rank))
}
