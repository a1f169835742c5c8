package gateway

import "time"

// Placement prefers targets of the own data centre, as bytes between data centres
// are expensive, and uses targets of other data centres when the own ones are full.
// Targets that slow down, pause, shed or stop answering are avoided before further
// requests wait for them.

// chooseTarget returns the target that is expected to answer a part first, or nil.
// Targets of the own data centre that are expected to answer well within the
// objective come first. usable reports whether isUsable holds for a target that has
// not been tried yet, with or without a free connection.
func (g *Gateway) chooseTarget(r *request, p *part) (best *target, usable bool) {
	serviceTime := g.typicalServiceTime(r.route)
	localLimit := time.Duration(localObjectiveShare * float64(r.objective-g.now))
	connections := g.connectionLimit(p.service)
	var bestTime time.Duration
	for _, t := range p.service.targets {
		if !g.isUsable(t) || p.triedTarget(t) {
			continue
		}
		usable = true
		// A target that was down or paused gets one attempt at a time until it answers.
		probing := (t.downBackoff > 0 || t.pause.returning) && len(t.inFlight) > 0
		if probing || len(t.inFlight) >= connections || !g.withinWarmupRate(t, p.service) {
			continue
		}
		estimate := g.estimate(t, serviceTime)
		if t.downBackoff > 0 && !r.route.Idempotent {
			// A request that can't be repeated is sent to a target that was down only
			// if there is no other.
			estimate += silentAfter
		}
		if t.Place == g.cfg.Place && estimate <= localLimit && t.slownessNow(g.now) < maxLocalSlowness {
			estimate = 0
		}
		// The random part spreads the load over targets with similar estimates.
		estimate += time.Duration(g.rng.Float64() * 0.25 * float64(serviceTime))
		if best == nil || estimate < bestTime {
			best, bestTime = t, estimate
		}
	}
	return best, usable
}

// isEligible reports whether a target is listed as ready in a data centre that is not
// evacuated, and has not stated that it leaves. A target that is down is eligible too.
func (g *Gateway) isEligible(t *target) bool {
	return !t.gone && !t.leaving && t.State == TargetReady && !g.evacuated[t.Place]
}

// isUp reports whether a target is eligible, and up or due to be tried again, and does not
// pause.
func (g *Gateway) isUp(t *target) bool {
	return g.isEligible(t) && t.downUntil <= g.now && t.pause.until <= g.now
}

// isUsable reports whether a target may be sent new work now: it is up and within its rate
// limit.
func (g *Gateway) isUsable(t *target) bool { return g.isUp(t) && g.withinRateLimit(t) }

// estimate returns the expected time until a target answers an attempt that is sent
// now.
func (g *Gateway) estimate(t *target, serviceTime time.Duration) time.Duration {
	ownTime := float64(serviceTime) * t.slownessNow(g.now)
	if t.coldUntil > g.now {
		ownTime *= coldFactor
	}
	slots := max(1, t.Slots)
	requestsAhead := t.queueLength(g.now) + 1 - float64(slots)
	wait := ownTime * max(0, requestsAhead) / float64(slots)
	estimate := g.roundTrip(t.Place) + time.Duration(ownTime+wait)
	estimate += t.overdueTime(g.now, g.roundTrip(t.Place)+2*time.Duration(ownTime))
	return estimate + time.Duration(t.failuresNow(g.now)*float64(failurePenalty))
}

// queueLength estimates the number of requests at the target from the attempts of
// this instance and the target's last load report.
func (t *target) queueLength(now time.Duration) float64 {
	own := float64(len(t.inFlight))
	reported := float64(t.load.Running+t.load.Waiting) * decay(now-t.loadAt, loadDecay)
	return max(own, reported+own/2)
}

// overdueTime returns how much longer than expected the oldest attempt has waited.
// A paused target is expected to stay paused for as long again.
func (t *target) overdueTime(now, expected time.Duration) time.Duration {
	if len(t.inFlight) == 0 {
		return 0
	}
	return max(0, now-t.inFlight[0].sentAt-expected)
}

// connectionLimit returns this instance's share of the connections to each target
// of a service.
func (g *Gateway) connectionLimit(s *service) int {
	if s.limits.MaxConnections == 0 {
		return defaultConnectionLimit
	}
	return max(1, int(connectionShare*float64(s.limits.MaxConnections))/g.sendingInstances(s))
}

// defaultConnectionLimit applies to services without a published limit. It is far
// above what a target with a few slots and a short queue accepts.
const defaultConnectionLimit = 64

// withinWarmupRate reports whether this instance may send the target one more
// request now: if the target is cold, this instance's share of the warm-up rate must
// not be used up.
func (g *Gateway) withinWarmupRate(t *target, s *service) bool {
	if t.coldUntil <= g.now || s.limits.WarmupRate <= 0 {
		return true
	}
	share := (s.limits.WarmupRate*g.cfg.ColdOvershoot + g.cfg.ColdSlack) / float64(g.sendingInstances(s))
	return len(t.coldRequests.recent(g.now)) < int(share)
}
