package gateway

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// A query of many shards costs an instance far more than passing on its answer:
// a message for each shard, a part from each, and a connection to each target.
// So it is gathered by an instance with the capacity for it, in a data centre
// that has targets of the shards. Only the greatest records and the stamps of
// the parts come back, and the connections to the targets are few and warm.

// strong reports whether a capacity is enough to gather for others.
func (g *Gateway) hasGatherCapacity(capacity float64) bool {
	return capacity >= minGathererCapacityShare*max(g.cfg.Capacity, g.members.capacity)
}

// shardPlaces returns the data centres that have targets of enough of a route's
// shards. It is kept until a target, an evacuation or the configuration changes.
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

func (g *Gateway) findShardPlaces(route *Route) map[model.PlaceID]bool {
	count := make(map[model.PlaceID]int)
	most := 0
	for _, id := range route.Shards {
		var seen []model.PlaceID
		for _, t := range g.service(id).targets {
			if g.isEligible(t) && !slices.Contains(seen, t.Place) {
				seen = append(seen, t.Place)
				count[t.Place]++
				most = max(most, count[t.Place])
			}
		}
	}
	places := make(map[model.PlaceID]bool, len(count))
	for p, n := range count {
		places[p] = float64(n) >= minGathererShardShare*float64(most)
	}
	return places
}

// isGatherer reports whether this instance gathers the route itself.
func (g *Gateway) isGatherer(route *Route) bool {
	return g.hasGatherCapacity(g.cfg.Capacity) && g.shardPlaces(route)[g.cfg.Place]
}

// delegate passes a request on to an instance that gathers. It reports false if
// this instance gathers itself.
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
	r.sent++
	r.gatherersAsked = append(r.gatherersAsked, m.Name)
	g.recordStep(r, "delegated", string(m.Name), "in %s with %d under way there, heard of %d ms ago", m.Place, m.delegated-1, (g.now-m.heardAt)/time.Millisecond)
	oneWay := g.roundTrip(m.Place) / 2
	g.emit(Delegate{Attempt: a.id, Request: r.id, To: m.Address, Objective: r.objective - oneWay, Deadline: r.deadline - oneWay,
		CallerDeadline: r.callerDeadline, Configuration: g.config.Version})
	g.after(time.Duration(delegateProbeShare*float64(r.objective-g.now)), func() { g.probeGatherer(a) })
	return true
}

// delegationRefusal says why this instance does not gather for another one; empty
// if it does.
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

// minDelegatedShards is the least number of shards for which the messages saved
// outweigh the one that is added.
const minDelegatedShards = 4

// chooseGatherer returns the instance with the least work of this one in the
// nearest data centre, or nil. Which configuration an instance has in force is
// heard seconds late, so one that seems to be behind is asked too, and refuses if
// it is.
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

// isBehind reports whether the last that was heard of a member is an older
// configuration.
func (g *Gateway) isBehind(m *member) bool { return m.Configuration < g.config.Version }

// behindGathererCost is the number of requests that an instance with the
// configuration in force may have more than one that is not known to have it.
const behindGathererCost = 2

// remoteGathererCost is the number of requests that an instance in the own data
// centre may have more than one in another.
const remoteGathererCost = 8

// delegateEnded handles the answer of an instance that gathered.
func (g *Gateway) delegateEnded(a *attempt, in AttemptEnded) {
	r, m := a.request, a.gatherer
	m.delegated--
	r.pendingAttempts--
	r.delegateAttempt = nil
	switch in.Outcome {
	case OutcomeSuccess, OutcomeFailure, OutcomeShed: // it has answered
		m.Configuration = in.Configuration
		if g.isBehind(m) {
			m.behindUntil = g.now + behindRetryDelay
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
		g.answer(r, Answer{Kind: AnswerGathered, Stamps: in.Gathered.Stamps, Missing: in.Gathered.Missing, Records: in.Gathered.Records})
	case in.Outcome == OutcomeFailure:
		// The instance has tried all that the budget allows.
		g.failRequest(r, in.Cause)
	case ran:
		// Attempts count for each shard, and the instance may have made them.
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

// avoidGatherer passes over an instance that did not do its work. One that could
// not gather for want of targets has done it.
func (g *Gateway) avoidGatherer(m *member, in AttemptEnded) {
	if in.Outcome == OutcomeShed {
		return
	}
	m.avoidUntil = g.now + gathererAvoidTime
	g.emit(Event{Name: "GathererAvoided", Subject: string(m.Name), Before: "asked", After: in.Cause, Warning: true})
}

// delegateAgain asks another instance, or gathers here if none is left. The one
// before has sent nothing.
func (g *Gateway) retryDelegation(r *request) {
	switch {
	case r.deadline-g.now < minAttemptTime:
		g.failRequest(r, "no time is left for another attempt: "+r.cause)
	case len(r.gatherersAsked) < maxGatherersAsked && g.delegate(r):
	default:
		g.startParts(r)
	}
}

// maxGatherers bounds the instances that are asked for one request. Each refusal
// costs a round trip, which is less than connections to all shards.
const maxGatherersAsked = 4

// probeGatherer asks a gathering instance that has not answered yet whether it
// lives. If it does not say so, its requests are given up while their callers
// can still ask again, and it gets no others until it is heard of.
func (g *Gateway) probeGatherer(a *attempt) {
	m := a.gatherer
	if g.attempts[a.id] == nil || g.now < m.avoidUntil || g.now-m.directAt < delegateProbeGap {
		return
	}
	asked := g.now
	ask := func() {
		if m.directAt < asked {
			g.emit(SendState{To: m.Address, State: g.stateMessage(true)})
		}
	}
	ask()
	g.after(delegateProbeGap, ask)
	g.after(2*delegateProbeGap, func() {
		if m.directAt < asked && g.members.byName[m.Name] == m {
			g.abandonGatherer(m)
		}
	})
}

// gathererSilent gives up what a silent instance was asked for.
func (g *Gateway) abandonGatherer(m *member) {
	m.avoidUntil = g.now + gathererAvoidTime
	g.emit(Event{Name: "GathererSilent", Subject: string(m.Name), Before: "asked", After: "silent", Warning: true})
	for _, id := range sortedKeys(g.attempts) {
		if a := g.attempts[id]; a != nil && a.gatherer == m && !a.request.ended {
			a.request.mayHaveRun = true
			g.recordStep(a.request, "silent", string(m.Name), "no message for %d ms, asked twice", (g.now-m.directAt)/time.Millisecond)
			g.failRequest(a.request, "the gathering instance "+string(m.Name)+" is silent")
			g.emit(CancelAttempt{Attempt: id})
		}
	}
}

// sharers returns the number of instances that send to the targets of a
// service: those that gather if it is a shard, else all.
func (g *Gateway) sendingInstances(s *service) int {
	if !s.shard {
		return g.fleetSize()
	}
	return max(g.minFleetSize(), g.gathererCount())
}

// gatherers counts the strong instances in data centres that have targets of
// shards: the most of the last fleetMemory, counted each gossip interval.
func (g *Gateway) gathererCount() int {
	if g.gather.count > 0 && g.now-g.gather.countedAt < gossipInterval {
		return g.gather.count
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
	if n >= g.gather.count || g.now-g.gather.largestAt > fleetPeakWindow {
		g.gather.count, g.gather.largestAt = n, g.now
	}
	return g.gather.count
}

// gatherState is what is derived from the targets and members for gathering.
type gatherState struct {
	// places are the data centres with targets of a route's shards, by route name.
	places map[string]map[model.PlaceID]bool
	// count is the number of gathering instances.
	count                int
	countedAt, largestAt time.Duration
}
