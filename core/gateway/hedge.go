package gateway

import "time"

// Hedging limits the delay caused by targets that pause or are slow: a part that takes
// unusually long for its route is sent to a second target while the first attempt
// continues. The hedge delay is based on the quantile of the route's latencies at which
// hedges spend a fixed share of the retry budget. The delay grows as the budget runs
// out, so that during a lasting slowdown only the parts that wait longest are hedged.

// scheduleHedge sets the timer for a hedge of an attempt that was just sent.
func (g *Gateway) scheduleHedge(a *attempt) {
	r, i, t := a.request, a.part, a.target
	p := &r.parts[i]
	if p.runs+len(p.inFlight) >= r.maxAttempts() {
		return
	}
	delay := g.hedgeDelay(r, p, t)
	if r.deadline-g.now-delay < minAttemptTime {
		return
	}
	g.afterFor(r, delay, func() { g.hedge(a) })
}

// hedgeDelay returns the time from the sending of an attempt at t to its hedge.
func (g *Gateway) hedgeDelay(r *request, p *part, t *target) time.Duration {
	remaining := p.service.budget.remaining(g.now, g.cfg.Budget, g.sendingInstances(p.service))
	hedgedShare := min(maxHedgedShare, max(minHedgedShare, hedgeBudgetShare*remaining.perRequest))
	latency := g.routeLatency(r.route.Name)
	threshold := latency.quantile(1-hedgedShare, 2*defaultServiceTime)
	delay := max(minHedgeDelay, threshold)
	delay += time.Duration(float64(delay) * max(0, 1-remaining.share))
	delay += g.roundTrip(t.Place)
	if r.objective < r.deadline {
		hedgeTime := g.nearestRemoteRoundTrip() + latency.quantile(hedgeAnswerQuantile, 2*defaultServiceTime)
		delay = max(delay, time.Duration(hedgeWaitShare*float64(r.objective-hedgeTime-g.now)))
	}
	return delay
}

// hedgeAnswerQuantile selects the latency of the route, as a quantile, that is reserved
// before the objective for the answer of a hedge.
const hedgeAnswerQuantile = 0.9

// hedge sends a second attempt of a part if the first is still in flight. A failed
// first attempt needs no hedge, as attemptEnded has retried it.
func (g *Gateway) hedge(a *attempt) {
	r, i := a.request, a.part
	p := &r.parts[i]
	if g.attempts[a.id] == nil || r.ended || p.state != partOpen || len(p.inFlight) != 1 ||
		p.runs+len(p.inFlight) >= r.maxAttempts() || r.deadline-g.now < minAttemptTime {
		return
	}
	if g.suspicionOf(r.digest) != unsuspected {
		g.recordStep(r, "not hedged", string(p.service.id), "the request is suspected of crashing targets")
		return
	}
	if g.holdsRetries(r) {
		g.afterFor(r, minHedgeDelay, func() { g.hedge(a) })
		return
	}
	t, _ := g.chooseTarget(r, p)
	switch {
	case t == nil:
		g.recordStep(r, "not hedged", string(p.service.id), "no other target is up and free")
		return
	case !g.spendRetryBudget(p.service, retryReserveShare):
		remaining := p.service.budget.remaining(g.now, g.cfg.Budget, g.sendingInstances(p.service))
		g.recordStep(r, "not hedged", string(p.service.id), "%.1f attempts of the retry budget are left", remaining.attempts)
		return
	}
	g.send(r, i, t)
}
