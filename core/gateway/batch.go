package gateway

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// A request over many shards has most of its targets in other data centres. A direct
// attempt at each of them carries a whole request and a whole answer between data centres
// and needs a connection of its own. The attempts at the targets of another data centre
// that are sent at the same time are therefore sent as a batch through an instance there,
// the forwarder. It returns how the attempts ended, and their records.
//
// Ends of first attempts that come within maxReportDelay are reported together, with the
// greatest records of the successful ones. The ends of hedges and retries are reported one by
// one, so that the records of a part are never merged in two replies. A longer delay saves
// bytes, but what the sender knows of the load of the targets is older by that much: when all
// ends of a batch were reported together, requests were late while targets were slow.
//
// The sender of a batch decides everything else, as for a direct attempt: it chose the
// targets, and it hedges, retries and counts the attempts. A forwarder makes each attempt
// at most once. A slow or silent forwarder thus costs a hedge, and the bounds on attempts
// and retries hold without messages about them.
//
// While a configuration spreads, the sender and the forwarder may have different ones. A
// forwarder sends no attempt that its own configuration does not allow, as an instance that has
// sent requests by a later configuration must not go back to an earlier one, be it for another
// instance. The sender makes such attempts itself.

// batch is a row of the table of batches that this instance has sent.
type batch struct {
	id        AttemptID
	request   *request
	forwarder *member
	// attempts has nil in the place of each attempt that has ended.
	attempts []*attempt
	sentAt   time.Duration
}

// collectAttempt holds back an attempt until sendCollected. It reports false if the
// attempt has to be sent directly, because it is not for another data centre, the route does
// not gather, or a forwarder had no connection to the target left a moment ago.
func (g *Gateway) collectAttempt(a *attempt) bool {
	r := a.request
	if len(r.route.Shards) == 0 || r.forward != nil || a.target.Place == g.cfg.Place || a.target.directUntil > g.now {
		return false
	}
	if r.collected == nil {
		r.collected = make(map[model.PlaceID][]*attempt)
		g.collecting = append(g.collecting, r)
	}
	r.collected[a.target.Place] = append(r.collected[a.target.Place], a)
	return true
}

// sendAllCollected sends the attempts that were collected during a tick.
func (g *Gateway) sendAllCollected() {
	for _, r := range g.collecting {
		g.sendCollected(r)
	}
	clear(g.collecting)
	g.collecting = g.collecting[:0]
}

// sendCollected sends the collected attempts of a request: through a forwarder in each data
// centre that has one, else directly.
func (g *Gateway) sendCollected(r *request) {
	collected := r.collected
	r.collected = nil
	for _, place := range sortedKeys(collected) {
		attempts := collected[place]
		m := g.chooseForwarder(r, place)
		for _, a := range attempts {
			switch {
			case r.ended:
				g.withdraw(a)
			case m == nil:
				g.sendDirectly(a)
			}
		}
		if !r.ended && m != nil {
			g.sendBatch(r, m, attempts)
		}
	}
	r.firstBatchesSent = true
	g.removeIfDone(r)
}

// sendBatch sends attempts through a forwarder.
func (g *Gateway) sendBatch(r *request, m *member, attempts []*attempt) {
	g.lastID++
	b := &batch{id: g.lastID, request: r, forwarder: m, attempts: attempts, sentAt: g.now}
	g.batches[b.id] = b
	r.batches = append(r.batches, b)
	m.forwarding++
	out := SendBatch{Batch: b.id, Request: r.id, To: m.Address, Route: r.route.Name, TopK: r.route.TopK,
		Deadline: r.deadline - g.roundTrip(m.Place)/2, CallerDeadline: r.callerDeadline}
	for _, a := range attempts {
		a.batch = b
		out.Targets = append(out.Targets, a.target.ID)
	}
	if !r.firstBatchesSent {
		out.ReportDelay = maxReportDelay
	}
	g.emit(out)
	g.recordStep(r, "forwarded", string(m.Name), "%d parts in %s, %d other batches at it, heard of %d ms ago",
		len(attempts), m.Place, m.forwarding-1, (g.now-m.heardAt)/time.Millisecond)
	g.afterFor(r, max(0, r.objective-g.now), func() { g.checkForwarder(b) })
}

// sendDirectly sends an attempt from this instance.
func (g *Gateway) sendDirectly(a *attempt) {
	a.batch = nil
	r, t := a.request, a.target
	g.emit(SendAttempt{Attempt: a.id, Request: r.id, Target: t.ID, Service: t.Service, Address: t.Address,
		Deadline: r.deadline, CallerDeadline: r.callerDeadline, Gather: len(r.route.Shards) > 0})
}

// withdraw removes an attempt that was never sent.
func (g *Gateway) withdraw(a *attempt) {
	delete(g.attempts, a.id)
	a.target.removeAttempt(a)
	a.request.parts[a.part].removeAttempt(a)
	a.request.pendingAttempts--
	a.request.attemptsSent--
}

// chooseForwarder returns the instance in a data centre with the fewest batches from here,
// or nil, with a preference for instances with the same configuration. An instance that refused
// to gather the request, or failed to, is not asked.
func (g *Gateway) chooseForwarder(r *request, place model.PlaceID) *member {
	var best *member
	var bestCost float64
	for _, name := range sortedKeys(g.members.byName) {
		m := g.members.byName[name]
		if !g.mayForward(m, place) || m.noForwardUntil > g.now || m.avoidUntil > g.now || slices.Contains(r.gatherersAsked, name) {
			continue
		}
		cost := float64(m.forwarding) + g.rng.Float64()
		if g.hasOtherConfiguration(m) {
			cost += behindGathererCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// hasOtherConfiguration reports whether the last news of a member shows another configuration
// than the one in force here.
func (g *Gateway) hasOtherConfiguration(m *member) bool {
	return m.Configuration != g.configurationVersion()
}

// mayForward reports whether a member can forward batches in a data centre, unless it
// failed lately.
func (g *Gateway) mayForward(m *member, place model.PlaceID) bool {
	return m.Place == place && g.alive(m) && m.Serving && g.hasGatherCapacity(m.Capacity)
}

// hasForwarder reports whether an instance in a data centre can forward batches.
func (g *Gateway) hasForwarder(place model.PlaceID) bool {
	for _, m := range g.members.byName {
		if g.mayForward(m, place) {
			return true
		}
	}
	return false
}

// checkForwarder excludes the forwarder of a batch if it has not replied to any batch since
// this one was sent, although its request should be answered by now. Its attempts continue,
// and are hedged if need be.
func (g *Gateway) checkForwarder(b *batch) {
	if m := b.forwarder; g.batches[b.id] != nil && m.repliedAt < b.sentAt && len(b.attempts) > 1 {
		g.avoidForwarder(m, "no reply in time")
	}
}

func (g *Gateway) avoidForwarder(m *member, cause string) {
	if m.noForwardUntil <= g.now {
		g.emit(Event{Name: "ForwarderAvoided", Subject: string(m.Name), Before: "asked", After: cause, Warning: true})
	}
	m.noForwardUntil = g.now + gathererAvoidTime
}

// batchReplied handles the ends of some attempts of a batch.
func (g *Gateway) batchReplied(in BatchReplied) {
	b := g.batches[in.Batch]
	if b == nil {
		return
	}
	if fault := b.replyFault(in); fault != "" {
		g.emit(CancelAttempt{Attempt: b.id})
		g.endBatch(b, OutcomeBroken, fault)
		return
	}
	b.forwarder.repliedAt = g.now
	r := b.request
	ended := make([]*attempt, len(in.Ends))
	refused, direct := 0, directAfterRefusal
	if in.Configuration > 0 {
		b.forwarder.Configuration = in.Configuration
		if g.hasOtherConfiguration(b.forwarder) {
			direct = behindRetryDelay
		}
	}
	for i, end := range in.Ends {
		ended[i], b.attempts[end.Index] = b.attempts[end.Index], nil
		if end.Refused {
			refused++
			ended[i].target.directUntil = g.now + direct
		}
	}
	if refused > 0 && !r.ended {
		g.recordStep(r, "refused", string(b.forwarder.Name), "%d of %d parts, which are sent directly; configuration %d there, %d here",
			refused, len(b.attempts), b.forwarder.Configuration, g.configurationVersion())
	}
	if in.Stopping {
		g.avoidForwarder(b.forwarder, "the instance stops")
	}
	// The records are those of all successful attempts of the reply, so their parts are
	// answered before anything is decided from the state of the request.
	g.answerParts(r, ended, in)
	for i, end := range in.Ends {
		a := ended[i]
		switch {
		case end.Refused:
			g.sendInstead(a)
		default:
			end.End.Attempt = a.id
			g.attemptSettled(a, end.End)
		}
	}
	g.checkGathered(r)
	g.removeIfDone(r)
	for _, a := range ended {
		g.dispatch(g.service(a.target.Service))
	}
}

// replyFault returns what is wrong with a reply, or "" if it is well-formed.
func (b *batch) replyFault(in BatchReplied) string {
	successes := 0
	seen := make(map[int]bool, len(in.Ends))
	for _, end := range in.Ends {
		switch {
		case end.Index < 0 || end.Index >= len(b.attempts) || b.attempts[end.Index] == nil || seen[end.Index]:
			return "the reply names an attempt that is not in flight"
		case end.End.Outcome > OutcomeTimedOut:
			return "the reply has an unknown outcome"
		case end.End.Outcome == OutcomeSuccess && !end.Refused:
			if end.End.Part.Stamp == "" {
				return "the reply has a part without a stamp"
			}
			successes++
		}
		seen[end.Index] = true
	}
	if len(in.Records)%RecordSize != 0 || len(in.Records) > b.request.route.TopK*RecordSize || (successes == 0 && len(in.Records) > 0) {
		return "the reply has records that its parts can't have"
	}
	return ""
}

// answerParts marks the parts of the successful attempts of a reply as answered. If there
// are several, the merged records replace the answers that hedges have brought, so that no
// part counts twice.
func (g *Gateway) answerParts(r *request, ended []*attempt, in BatchReplied) {
	if r.ended {
		return
	}
	var successful []int // indices into in.Ends
	for i, end := range in.Ends {
		if end.End.Outcome == OutcomeSuccess && !end.Refused {
			successful = append(successful, i)
		}
	}
	if len(successful) > 1 {
		r.mergedRecords = append(r.mergedRecords, in.Records)
	}
	for _, i := range successful {
		p := &r.parts[ended[i].part]
		answer := Part{Stamp: in.Ends[i].End.Part.Stamp}
		if len(successful) == 1 {
			if p.state == partAnswered {
				return // by a hedge
			}
			answer.Records = in.Records
		}
		if p.state == partOpen {
			r.openParts--
		}
		if p.state != partAnswered {
			r.answeredParts++
		}
		p.state, p.answer = partAnswered, answer
	}
}

// checkGathered answers a gathering request if it can be answered now.
func (g *Gateway) checkGathered(r *request) {
	switch {
	case r.ended:
	case r.openParts == 0 && r.answeredParts >= r.requiredParts():
		g.answerGathered(r)
	case g.now >= r.objective:
		g.tryPartialAnswer(r)
	}
}

// batchEnded handles the end of a batch. Attempts whose end was not reported have not been
// sent if the forwarder was not reached or refused; otherwise they may have run.
func (g *Gateway) batchEnded(in BatchEnded) {
	if b := g.batches[in.Batch]; b != nil {
		g.endBatch(b, in.Outcome, in.Cause)
	}
}

func (g *Gateway) endBatch(b *batch, outcome Outcome, cause string) {
	r := b.request
	delete(g.batches, b.id)
	r.batches = slices.DeleteFunc(r.batches, func(other *batch) bool { return other == b })
	b.forwarder.forwarding--
	open := slices.DeleteFunc(b.attempts, func(a *attempt) bool { return a == nil })
	if outcome != OutcomeSuccess && outcome != OutcomeShed && !r.ended {
		g.avoidForwarder(b.forwarder, cause)
	}
	if len(open) > 0 && outcome == OutcomeSuccess {
		outcome, cause = OutcomeBroken, "the forwarder did not report the end of the attempt"
	}
	if len(open) > 0 && !r.ended {
		g.recordStep(r, outcome.String(), string(b.forwarder.Name), "%d parts, %s", len(open), cause)
	}
	for _, a := range open {
		if outcome.ran() {
			a.lostWithForwarder = true
			g.attemptSettled(a, AttemptEnded{Attempt: a.id, Outcome: outcome, Cause: cause})
		} else {
			g.sendInstead(a)
		}
	}
	g.removeIfDone(r)
}

// sendInstead sends an attempt directly that its forwarder has not sent, or withdraws it if
// its part needs no answer any more.
func (g *Gateway) sendInstead(a *attempt) {
	if a.request.ended || a.request.parts[a.part].state != partOpen {
		g.withdraw(a)
		return
	}
	if g.suspicionOf(a.request.digest) == held {
		g.withdraw(a)
		g.endHeldPart(a.request, a.part)
		return
	}
	g.sendDirectly(a)
}

// forwarding is the state of a batch that this instance forwards. Its attempts belong to a
// request with a part for each of them.
type forwarding struct {
	// ends are the ends that have not been reported, records their records.
	ends    []BatchEnd
	records [][]byte
	// open counts the attempts that have not ended.
	open int
	// delay is how long an end may wait to be reported with others. scheduled is set while a
	// report is due.
	delay     time.Duration
	scheduled bool
}

// batchArrived sends the attempts of a batch for another instance.
func (g *Gateway) batchArrived(in BatchArrived) {
	r := &request{id: in.Request, arrived: in.At, deadline: in.At + in.Deadline, callerDeadline: in.At + in.Remaining,
		route:  &Route{Name: in.Route, Idempotent: true, MaxAttempts: 1, TopK: in.TopK},
		digest: in.Digest, organisation: in.Organisation, attemptID: in.AttemptID,
		parts:   make([]part, len(in.Targets)),
		forward: &forwarding{open: len(in.Targets), delay: in.ReportDelay}}
	r.objective, r.openParts = r.deadline, len(r.parts)
	g.requests[r.id] = r
	var shards map[ServiceID]bool
	if g.routes != nil {
		shards = g.routes.shards[in.Route]
	}
	for i, id := range in.Targets {
		t := g.targets[id]
		if t != nil {
			r.parts[i].service = g.service(t.Service)
			r.route.Shards = append(r.route.Shards, t.Service)
		}
		switch {
		case g.stop.begun || t == nil || !shards[t.Service] || !g.isEligible(t) || t.pause.until > g.now ||
			t.pause.returning && len(t.inFlight) > 0 || len(t.inFlight) >= g.connectionLimit(r.parts[i].service):
			g.forwardedEnded(r, BatchEnd{Index: i, Refused: true})
		case t.downUntil > g.now:
			g.forwardedEnded(r, BatchEnd{Index: i, End: AttemptEnded{Outcome: OutcomeNotSent, Cause: "the forwarder holds the target for down"}})
		default:
			g.send(r, i, t)
		}
	}
}

// forwardedEnded records the end of a forwarded attempt. It is reported at once if it is the
// last one or may not wait, else together with those that end soon.
func (g *Gateway) forwardedEnded(r *request, end BatchEnd) {
	f := r.forward
	f.open--
	if end.End.Outcome == OutcomeSuccess && !end.Refused {
		f.records = append(f.records, end.End.Part.Records)
		end.End.Part.Records = nil
	}
	f.ends = append(f.ends, end)
	switch {
	case f.open == 0 || f.delay <= 0:
		g.reportEnds(r)
	case !f.scheduled:
		f.scheduled = true
		g.afterFor(r, f.delay, func() { g.reportEnds(r) })
	}
}

// reportEnds reports the ends that have not been reported, and ends the request with the
// last one.
func (g *Gateway) reportEnds(r *request) {
	f := r.forward
	f.scheduled = false
	if len(f.ends) == 0 || r.ended {
		return
	}
	g.emit(ReplyBatch{Request: r.id, Ends: f.ends, Records: greatestRecords(f.records, r.route.TopK), Configuration: g.configurationVersion(),
		Stopping: g.stop.begun, Done: f.open == 0})
	f.ends, f.records = nil, nil
	r.ended = f.open == 0
}

// stopForwarding reports the open attempts of a forwarded batch as ended because the
// instance stops.
func (g *Gateway) stopForwarding(r *request) {
	for i := range r.parts {
		if len(r.parts[i].inFlight) > 0 {
			g.forwardedEnded(r, BatchEnd{Index: i, End: AttemptEnded{Outcome: OutcomeTimedOut, Cause: "the instance stops"}})
		}
	}
}
