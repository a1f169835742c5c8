package gateway

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// An instance that gathers the answer to a request over many shards sends a message to
// each shard, receives a part from each, and needs connections to the targets. Passing
// on a gathered answer costs far less. Such requests are therefore delegated to an
// instance with enough capacity, in a data centre that has targets of the shards. That
// instance returns only the greatest records and the stamps of the parts. As few
// instances gather, the targets have fewer connections in all, and these stay in use.

// hasGatherCapacity reports whether a capacity, in cores, is enough to gather for
// other instances.
func (g *Gateway) hasGatherCapacity(capacity float64) bool {
	return capacity >= minGathererCapacityShare*max(g.cfg.Capacity, g.members.maxCapacity)
}

// shardPlaces returns the data centres that have targets for enough of a route's
// shards. The result is cached until a target, an evacuation or the configuration
// changes.
func (g *Gateway) shardPlaces(route *Route) map[model.PlaceID]bool {
	if g.gather.places == nil {
		g.gather.places = make(map[string]map[model.PlaceID]bool)
	}
	if places, ok := g.gather.places[route.Name]; ok {
		return places
	}
	places := g.findShardPlaces(route)
	g.gather.places[route.Name] = places
	return places
}

// findShardPlaces computes shardPlaces.
func (g *Gateway) findShardPlaces(route *Route) map[model.PlaceID]bool {
	count := make(map[model.PlaceID]int)
	largest := 0
	for _, id := range route.Shards {
		var seen []model.PlaceID
		for _, t := range g.service(id).targets {
			if g.isEligible(t) && !slices.Contains(seen, t.Place) {
				seen = append(seen, t.Place)
				count[t.Place]++
				largest = max(largest, count[t.Place])
			}
		}
	}
	places := make(map[model.PlaceID]bool, len(count))
	for p, n := range count {
		places[p] = float64(n) >= minGathererShardShare*float64(largest)
	}
	return places
}

// isGatherer reports whether this instance gathers requests on the route itself.
func (g *Gateway) isGatherer(route *Route) bool {
	return g.hasGatherCapacity(g.cfg.Capacity) && g.shardPlaces(route)[g.cfg.Place]
}

// delegate passes a request on to another instance that gathers the answer. It
// reports false and does nothing if this instance has to gather itself.
func (g *Gateway) delegate(r *request) bool {
	if len(r.route.Shards) < minDelegatedShards || g.isGatherer(r.route) {
		return false
	}
	m := g.chooseGatherer(r)
	if m == nil {
		return false
	}
	g.lastID++
	a := &attempt{id: g.lastID, request: r, gatherer: m, sentAt: g.now}
	g.attempts[a.id] = a
	r.delegateAttempt = a
	m.delegated++
	r.pendingAttempts++
	r.attemptsSent++
	r.gatherersAsked = append(r.gatherersAsked, m.Name)
	g.recordStep(r, "delegated", string(m.Name), "in %s, %d other requests delegated to it, heard of %d ms ago", m.Place, m.delegated-1, (g.now-m.heardAt)/time.Millisecond)
	oneWay := g.roundTrip(m.Place) / 2
	g.emit(Delegate{Attempt: a.id, Request: r.id, To: m.Address, Objective: r.objective - oneWay, Deadline: r.deadline - oneWay,
		CallerDeadline: r.callerDeadline, Configuration: g.config.Version})
	g.afterFor(r, time.Duration(delegateProbeShare*float64(r.objective-g.now)), func() { g.probeGatherer(a) })
	return true
}

// delegationRefusalReason returns why this instance does not gather for another
// instance, or "" if it does or the request was not delegated.
func (g *Gateway) delegationRefusalReason(d *Delegation) string {
	switch {
	case d == nil:
		return ""
	case d.Configuration > g.config.Version:
		return "this instance has an older configuration"
	case g.stop.begun:
		return "the instance stops"
	default:
		return ""
	}
}

// minDelegatedShards is the minimum number of shards for which delegation saves more
// messages than it adds.
const minDelegatedShards = 4

// chooseGatherer returns the instance to which a request is delegated, or nil. The
// instance with the fewest requests delegated from here is chosen, with a preference
// for the own data centre and for members known to have the configuration in force.
// News of a member's configuration may be seconds old, so a member that seems to be
// behind may be asked too; if it is behind, it refuses.
func (g *Gateway) chooseGatherer(r *request) *member {
	places := g.shardPlaces(r.route)
	var best *member
	var bestCost float64
	for _, name := range sortedKeys(g.members.byName) {
		m := g.members.byName[name]
		if !g.alive(m) || !m.Serving || m.avoidUntil > g.now || !places[m.Place] || !g.hasGatherCapacity(m.Capacity) ||
			g.isBehind(m) && m.behindUntil > g.now || slices.Contains(r.gatherersAsked, name) {
			continue
		}
		cost := float64(m.delegated) + g.rng.Float64()
		if m.Place != g.cfg.Place {
			cost += remoteGathererCost
		}
		if g.isBehind(m) {
			cost += behindGathererCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// isBehind reports whether the last news of a member shows an older configuration.
func (g *Gateway) isBehind(m *member) bool { return m.Configuration < g.config.Version }

// behindGathererCost is the number of additional requests that are delegated to an
// instance with the configuration in force before one is delegated to an instance
// that is not known to have that configuration.
const behindGathererCost = 2

// remoteGathererCost is the number of additional requests that are delegated to an
// instance in the own data centre before one is delegated to another data centre.
const remoteGathererCost = 8

// delegateEnded handles the end of a Delegate.
func (g *Gateway) delegateEnded(a *attempt, in AttemptEnded) {
	r, m := a.request, a.gatherer
	m.delegated--
	r.pendingAttempts--
	r.delegateAttempt = nil
	switch in.Outcome {
	case OutcomeSuccess, OutcomeFailure, OutcomeShed: // the instance answered
		m.Configuration = in.Configuration
		if g.isBehind(m) {
			m.behindUntil = g.now + behindRetryDelay
		}
	}
	if in.Outcome == OutcomeSuccess {
		if fault := gatheredFault(r.route, in.Gathered); fault != "" {
			in.Outcome, in.Cause = OutcomeBroken, fault
		}
	}
	ran := in.Outcome.ran()
	r.mayHaveRun = r.mayHaveRun || ran
	if in.Outcome != OutcomeSuccess && !r.ended {
		g.recordStep(r, in.Outcome.String(), string(m.Name), "%s, %d ms after it was asked", in.Cause, (g.now-a.sentAt)/time.Millisecond)
	}
	switch {
	case r.ended:
	case in.Outcome == OutcomeSuccess:
		g.recordCompletion(r)
		g.answer(r, Answer{Kind: AnswerGathered, Stamps: in.Gathered.Stamps, Missing: in.Gathered.Missing, Records: in.Gathered.Records})
	case in.HeldFor > 0 && !r.mayHaveRun && r.pendingAttempts == 0:
		g.answer(r, Answer{Kind: AnswerRefused, RetryAfter: min(in.HeldFor, maxHeldRetryAfter), Held: true, Reason: in.Cause})
	case in.Outcome == OutcomeFailure:
		// The instance has made all attempts that its retry budget allows.
		g.failRequest(r, in.Cause)
	case ran:
		// The instance may already have made all attempts that the route allows for
		// each shard.
		g.avoidGatherer(m, in)
		g.failRequest(r, "the gathering instance "+string(m.Name)+" failed: "+in.Cause)
	default:
		r.cause = in.Cause
		g.avoidGatherer(m, in)
		if r.pendingAttempts == 0 {
			g.retryDelegation(r)
		}
	}
	g.removeIfDone(r)
}

// gatheredFault returns what is wrong with an answer that another instance gathered, or "" if
// it can be passed on as complete. The number of parts may differ from the route here, as the
// other instance may have a newer configuration.
func gatheredFault(route *Route, in Gathered) string {
	seen := make(map[string]bool, len(in.Stamps))
	for _, stamp := range in.Stamps {
		if stamp == "" || seen[stamp] {
			return "the gathered answer names a part twice or without a stamp"
		}
		seen[stamp] = true
	}
	switch parts := len(in.Stamps) + in.Missing; {
	case len(in.Stamps) == 0 || in.Missing < 0:
		return "the gathered answer has no parts"
	case float64(len(in.Stamps)) < route.MinCoverage*float64(parts)-1e-9:
		return "the gathered answer has less than the minimum coverage"
	case len(in.Records)%RecordSize != 0 || len(in.Records) > route.TopK*RecordSize:
		return "the gathered answer has records that its parts can't have"
	}
	return ""
}

// avoidGatherer excludes an instance that failed from delegation for a while. A
// refusal (OutcomeShed) is not a failure.
func (g *Gateway) avoidGatherer(m *member, in AttemptEnded) {
	if in.Outcome == OutcomeShed {
		return
	}
	m.avoidUntil = g.now + gathererAvoidTime
	g.emit(Event{Name: "GathererAvoided", Subject: string(m.Name), Before: "asked", After: in.Cause, Warning: true})
}

// retryDelegation delegates a request to another instance, or gathers here if there
// is none. The instance asked before has sent nothing to targets.
func (g *Gateway) retryDelegation(r *request) {
	switch {
	case g.suspicionOf(r.digest) == held:
		g.answerHeld(r)
	case r.deadline-g.now < minAttemptTime:
		g.failRequest(r, "no time is left for another attempt: "+r.cause)
	case len(r.gatherersAsked) < maxGatherersAsked && g.delegate(r):
	default:
		g.startParts(r)
	}
}

// maxGatherersAsked bounds the instances that are asked for one request. Each refusal
// costs a round trip, which is less than connections to all shards.
const maxGatherersAsked = 4

// probeGatherer watches an instance whose gathered answer is overdue. It probes the instance
// with state messages until it answers one, as datagrams get lost. An instance that does not
// answer for gathererSilentAfter gets no new requests for a while. It may only be busy,
// so its requests continue, and fail after the longer giveUpGathererAfter.
func (g *Gateway) probeGatherer(a *attempt) {
	m := a.gatherer
	if g.attempts[a.id] == nil || a.request.ended {
		return
	}
	if g.now-max(m.directAt, m.probedAt) >= delegateProbeGap {
		if m.directAt >= m.silentSince {
			m.silentSince = g.now
		}
		m.probedAt = g.now
		g.emit(SendState{To: m.Address, State: g.stateMessage(true)})
	}
	if m.silentSince > m.directAt {
		silence := g.now - m.silentSince
		if silence >= gathererSilentAfter && m.avoidUntil <= g.now {
			m.avoidUntil = g.now + gathererAvoidTime
			g.emit(Event{Name: "GathererSilent", Subject: string(m.Name), Before: "asked", After: "silent", Warning: true})
		}
		if silence >= giveUpGathererAfter || silence >= gathererSilentAfter && g.now-a.sentAt >= a.request.deadline-g.now {
			g.giveUpGatherer(a)
			return
		}
	}
	g.afterFor(a.request, delegateProbeGap, func() { g.probeGatherer(a) })
}

// giveUpGatherer fails a request that was delegated to an instance that is silent, while
// the caller still has time for a retry.
func (g *Gateway) giveUpGatherer(a *attempt) {
	m := a.gatherer
	a.request.mayHaveRun = true
	g.recordStep(a.request, "silent", string(m.Name), "no message for %d ms, %d ms of it probed", (g.now-m.directAt)/time.Millisecond, (g.now-m.silentSince)/time.Millisecond)
	g.failRequest(a.request, "the gathering instance "+string(m.Name)+" is silent")
	g.emit(CancelAttempt{Attempt: a.id})
}

// sendingInstances returns the number of instances that send to the targets of a
// service: the gathering instances for a shard, else the whole fleet.
func (g *Gateway) sendingInstances(s *service) int {
	if !s.shard {
		return g.fleetSize()
	}
	return max(g.minFleetSize(), g.gathererCount())
}

// gathererCount returns how many instances, this one included, have the capacity to
// gather and are in a data centre with targets of shards: the largest such number in
// the last fleetPeakWindow. The instances are counted at most once per gossipInterval.
func (g *Gateway) gathererCount() int {
	if g.gather.peakCount > 0 && g.now-g.gather.countedAt < gossipInterval {
		return g.gather.peakCount
	}
	g.gather.countedAt = g.now
	places := make(map[model.PlaceID]bool)
	for _, t := range g.targets {
		if g.service(t.Service).shard {
			places[t.Place] = true
		}
	}
	n := 0
	for _, s := range g.aliveMembers() {
		if places[s.Place] && g.hasGatherCapacity(s.Capacity) {
			n++
		}
	}
	if n >= g.gather.peakCount || g.now-g.gather.peakAt > fleetPeakWindow {
		g.gather.peakCount, g.gather.peakAt = n, g.now
	}
	return g.gather.peakCount
}

// gatherState caches what delegation derives from the targets and members.
type gatherState struct {
	// places holds the results of shardPlaces by route name, nil if outdated.
	places map[string]map[model.PlaceID]bool
	// peakCount is the result of gathererCount, countedAt the time of the last count,
	// and peakAt the time of the count that set peakCount.
	peakCount         int
	countedAt, peakAt time.Duration
}
