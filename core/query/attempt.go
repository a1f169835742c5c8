package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// attempt is one try to run a part or a booking at a target, kept at the entry
// instance or the owner of the booking id. It is either work at a target that
// this instance leads, or relayed to the target's lead.
type attempt struct {
	call               int32 // index of the search call, none for a booking
	partIndex          int32
	booking            int32 // index of the booking, none for a search
	target             int32
	peer               int32 // lead that the attempt was relayed to, none if this instance leads
	work               int32 // none if relayed
	hedge              bool
	trial              bool // tests whether a slow target is fast again
	lead               model.InstanceID
	sentAt             time.Duration
	expectedWait       time.Duration // expected wait at the lead when the attempt was sent
	expectedPartitions []uint32      // partitions that the target reported for the snapshot

	nextInPart             int32 // in the list of the part
	prevInPeer, nextInPeer int32 // in the list of the peer
}

// outcome is the result of work or of an attempt.
type outcome struct {
	kind      model.Kind // of the error, KindNone on success
	execution model.Execution
	answer    model.TargetAnswer
	queueWait time.Duration // wait at the lead, as reported in a relay reply
	level     int           // warm-up level of the target, zero if unknown
	relayed   bool          // received in a relay reply from the lead
}

// request holds what all work of one call or booking has in common.
type request struct {
	booking   string                // booking id, empty for a search
	snapshot  model.SnapshotVersion // zero for a booking
	deadline  time.Duration
	requestID string
	body      []byte
	trace     string
}

// newAttempt allocates an attempt at target t. The attempt is a trial if a trial of
// the target is due.
func (e *Engine) newAttempt(t int32, hedge bool) (int32, *attempt) {
	i, a := e.attempts.alloc()
	*a = attempt{
		call: none, booking: none, peer: none, work: none, nextInPart: none, prevInPeer: none, nextInPeer: none,
		target: t, hedge: hedge, sentAt: e.now, lead: e.targets[t].lead.Instance,
	}
	if tgt := &e.targets[t]; !e.bypassesLeads() && e.isTrialDue(tgt) {
		a.trial = true
		tgt.sampledAt = e.now // one trial at a time
	}
	return i, a
}

func (e *Engine) startSearchAttempt(callIdx, partIdx, targetIdx int32, hedge bool) {
	c := e.calls.at(callIdx)
	p := &c.search.parts[partIdx]
	id, a := e.newAttempt(targetIdx, hedge)
	a.call, a.partIndex = callIdx, partIdx
	a.nextInPart, p.firstAttempt = p.firstAttempt, id
	p.pending++
	p.tried = append(p.tried, targetIdx)
	if v := findVersion(e.targets[targetIdx].info.Versions, c.search.snapshot); v != nil && v.Total == c.search.totalPartitions {
		a.expectedPartitions = v.Partitions
	}
	e.startAttempt(id, request{
		snapshot: c.search.snapshot, deadline: c.deadline,
		requestID: c.requestID, body: c.body, trace: c.trace,
	})
}

// startAttempt queues the attempt if this instance leads the target, otherwise
// adds it to the relay message to the lead. The caller flushes the relays.
func (e *Engine) startAttempt(id int32, r request) {
	a := e.attempts.at(id)
	t := &e.targets[a.target]
	if e.bypassesLeads() || t.lead.Self {
		a.work = e.newWork(a.target, r, a.hedge)
		w := e.works.at(a.work)
		w.attempt = id
		e.enqueue(a.work)
		return
	}
	a.expectedWait = t.relayWait(e.now)
	t.sentSinceReport++
	a.peer = t.leadPeer
	e.linkAttempt(id)
	p := &e.peers[a.peer]
	if len(p.items) == 0 {
		e.relayPeers = append(e.relayPeers, a.peer)
	}
	p.items = append(p.items, model.RelayItem{Ref: e.attemptRef(id), Target: t.id, Hedge: a.hedge})
}

func (e *Engine) attemptRef(id int32) model.WorkRef {
	return model.WorkRef{Origin: e.cfg.Self, Incarnation: e.cfg.Incarnation, Seq: e.attempts.id(id)}
}

// freeAttempt removes the attempt from all lists and frees it.
func (e *Engine) freeAttempt(id int32) {
	a := e.attempts.at(id)
	if a.call != none {
		p := &e.calls.at(a.call).search.parts[a.partIndex]
		p.pending--
		for link := &p.firstAttempt; *link != none; link = &e.attempts.at(*link).nextInPart {
			if *link == id {
				*link = a.nextInPart
				break
			}
		}
	}
	if a.peer != none {
		e.unlinkAttempt(id)
		if t := &e.targets[a.target]; t.sentSinceReport > 0 && a.sentAt > t.reportedAt {
			t.sentSinceReport--
		}
	}
	*a = attempt{}
	e.attempts.release(id)
}

// finishAttempt frees the attempt and applies its outcome to the search or
// booking.
func (e *Engine) finishAttempt(id int32, o outcome) {
	a := *e.attempts.at(id)
	if a.booking != none {
		e.freeAttempt(id)
		e.finishBookingAttempt(a, o)
		return
	}
	e.freeAttempt(id)
	c := e.calls.at(a.call)
	p := &c.search.parts[a.partIndex]
	if o.execution != model.NotRun {
		c.search.mayHaveRun = true
	}
	e.observeOutcome(&a, &o)
	if o.kind == model.KindNone {
		o.kind = e.checkAnswer(c, &a, &o.answer)
	}
	c.search.dirtyParts = append(c.search.dirtyParts, a.partIndex)
	e.markCallDirty(a.call)
	if p.state != partOpen {
		return
	}
	if o.kind == model.KindNone {
		p.state, p.target = partAnswered, a.target
		p.partitions, p.body = o.answer.Partitions, o.answer.Body
		c.search.openParts--
		e.cancelPart(p)
		return
	}
	c.search.lastFailure = o.kind
	if o.kind == model.KindVersionGone || o.kind == model.KindTargetAnswer && o.answer.Snapshot > c.search.snapshot {
		e.recordVersionGone(a.target, c.search.snapshot)
	}
	p.retryFree = isRetryFree(&o)
	e.recordStall(&a, &o)
	if e.canRetryTarget(&a, &o) {
		p.removeTried(a.target)
	}
}

// canRetryTarget reports whether a later attempt may go to the same target. It may
// if the instance that was asked is not the target's lead and this instance has
// learned of another lead since, or if the target stalled, because there may be no
// better replica.
func (e *Engine) canRetryTarget(a *attempt, o *outcome) bool {
	switch o.kind {
	case model.KindNotLead:
		return e.targets[a.target].lead.Instance != a.lead
	case model.KindTargetStalled:
		return true
	}
	return false
}

// isRetryFree reports whether the attempt that follows this outcome is not charged
// to the retry budget. There are two such cases:
//
// An instance refused the attempt because of the state of the control plane or
// of the target's queue. No target was asked, so a retry adds no load. If these
// retries were charged, the budget would run out when a data centre goes out of
// service.
//
// The lead was lost. The number of these attempts is bounded by the attempts in
// progress, and targets drop the work from a lead that died.
func isRetryFree(o *outcome) bool {
	if o.kind == model.KindPeerLost {
		return true
	}
	if o.execution != model.NotRun {
		return false
	}
	switch o.kind {
	case model.KindNotLead, model.KindTargetOut, model.KindTargetStalled, model.KindUnconfirmed, model.KindNotReady:
		return true
	}
	return false
}

// removeTried allows the target to be chosen again.
func (p *part) removeTried(t int32) {
	for i, x := range p.tried {
		if x == t {
			p.tried = append(p.tried[:i], p.tried[i+1:]...)
			return
		}
	}
}

func (e *Engine) cancelAttempts(c *call) {
	for k := range c.search.parts {
		e.cancelPart(&c.search.parts[k])
	}
}

// cancelPart cancels the attempts in progress for the part, at the lead and at the
// target, and does not wait for their outcomes. Attempts that were relayed or sent
// to a target count as possibly run.
func (e *Engine) cancelPart(p *part) {
	for p.firstAttempt != none {
		id := p.firstAttempt
		a := e.attempts.at(id)
		if a.work == none || e.works.at(a.work).inFlight {
			e.calls.at(a.call).search.mayHaveRun = true
		}
		e.recordAbandoned(a)
		if a.work != none {
			e.cancelWork(a.work)
		} else {
			e.cancelRelay(id)
		}
		e.freeAttempt(id)
	}
}
