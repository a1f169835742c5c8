package gateway

import (
	"slices"
	"sort"
	"strconv"
	"time"
)

// The queue of a service answers bursts that fill all connections of this
// instance to its targets: parts wait in the order of their priority and then
// of their deadlines, and leave when they can't be answered in time any more.

// waitingPart is a part that waits for a free connection.
type waitingPart struct {
	request *request
	part    int
}

// before reports whether a part leaves the queue before another one, whichever
// came first.
func (w waitingPart) before(other waitingPart) bool {
	if a, b := w.request.route.Priority, other.request.route.Priority; a != b {
		return a < b
	}
	return w.request.deadline < other.request.deadline
}

// wait queues a part. A plain request that gets no target within queueShare of
// its objective is refused while the caller can still go elsewhere in time.
func (g *Gateway) enqueue(r *request, i int) {
	s := r.parts[i].service
	g.recordStep(r, "queued", string(s.id), "behind %d, all connections of this instance are in use", len(s.waiting))
	w := waitingPart{r, i}
	position := sort.Search(len(s.waiting), func(i int) bool { return w.before(s.waiting[i]) })
	s.waiting = slices.Insert(s.waiting, position, w)
	if len(r.route.Shards) == 0 && r.route.LatencyObjective > 0 {
		maxWait := time.Duration(queueShare * float64(r.route.LatencyObjective))
		g.after(r.arrived+maxWait-g.now, func() {
			if !r.ended && r.pendingAttempts == 0 && r.parts[i].state == partOpen {
				g.failRequest(r, "no target of "+string(s.id)+" was free in time")
			}
		})
	}
}

// dispatch starts waiting parts of a service for which a connection is free.
func (g *Gateway) dispatch(s *service) {
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		p := &w.request.parts[w.part]
		if w.request.ended || p.state != partOpen || w.request.deadline-g.now < minAttemptTime {
			s.waiting = s.waiting[1:]
			continue
		}
		t, usable := g.chooseTarget(w.request, p)
		if t == nil && usable {
			return
		}
		s.waiting = s.waiting[1:]
		switch {
		case t == nil:
			g.failPart(w.request, w.part, "no target of "+string(s.id)+" is up")
		case p.arrivals > 0 && !g.spendRetryBudget(s, 0):
			g.failPart(w.request, w.part, "the retry budget of "+string(s.id)+" is used up")
		default:
			g.send(w.request, w.part, t)
		}
	}
	s.waiting = nil
}

// dispatchAll looks at all queues after the targets have changed.
func (g *Gateway) dispatchAll() {
	for _, id := range sortedKeys(g.services) {
		g.dispatch(g.services[id])
	}
}

// refusal says why a request can't be served, before anything of it is sent;
// empty if it may be.
func (g *Gateway) refusalReason(r *request) string {
	if r.deadline-g.now < minAttemptTime {
		return "the caller's deadline leaves no time"
	}
	up := 0
	for i := range r.parts {
		if g.hasTarget(r.parts[i].service) {
			up++
		}
	}
	if up < r.requiredParts() {
		return "targets are up for " + strconv.Itoa(up) + " of " + strconv.Itoa(len(r.parts)) + " services"
	}
	return ""
}

func (g *Gateway) hasTarget(s *service) bool {
	return slices.ContainsFunc(s.targets, g.isUp)
}

// retryAfter spreads callers that were refused over the time in which room is
// expected; the more urgent come back first.
func (g *Gateway) retryAfter(r *request) time.Duration {
	rank := time.Duration(1 + min(r.route.Priority, 8))
	return refusedRetryAfter*rank + time.Duration(g.rng.Float64()*float64(refusedRetryAfter*rank))
}
