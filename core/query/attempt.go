package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// attempt is one sub-request at the entry instance or the owner of a booking:
// own work at a target that this instance leads, or work relayed to a lead.
type attempt struct {
	call               int32 // search, none for a booking
	partIndex          int32
	booking            int32 // none for a search
	target             int32
	peer               int32 // lead that it was relayed to, none for own work
	work               int32 // own work, none if relayed
	hedge              bool
	trial              bool // of a slow target, which may have become fast again
	lead               model.InstanceID
	sentAt             time.Duration
	expectedWait       time.Duration // expected wait at the lead when it was sent
	expectedPartitions []uint32      // partitions that the target reported for the version

	nextInPart             int32 // in the part
	prevInPeer, nextInPeer int32 // in the peer's list
}

// outcome is the end of a work or an attempt.
type outcome struct {
	kind      model.Kind
	execution model.Execution
	answer    model.TargetAnswer
	queueWait time.Duration
	level     int
	relayed   bool
}

// request is what the work of one call or booking has in common.
type request struct {
	booking   string
	snapshot  model.SnapshotVersion
	deadline  time.Duration
	requestID string
	body      []byte
	trace     string
}

func (e *Engine) newAttempt(t int32, hedge bool) (int32, *attempt) {
	i, a := e.attempts.alloc()
	*a = attempt{
		call: none, booking: none, peer: none, work: none, nextInPart: none, prevInPeer: none, nextInPeer: none,
		target: t, hedge: hedge, sentAt: e.now, lead: e.targets[t].lead.Instance,
	}
	if x := &e.targets[t]; !e.bypassesLeads() && e.trialDue(x) {
		a.trial = true
		x.sampledAt = e.now // one trial at a time
	}
	return i, a
}

func (e *Engine) startSearchAttempt(i, k, t int32, hedge bool) {
	c := e.calls.at(i)
	p := &c.search.parts[k]
	id, a := e.newAttempt(t, hedge)
	a.call, a.partIndex = i, k
	a.nextInPart, p.firstAttempt = p.firstAttempt, id
	p.pending++
	p.tried = append(p.tried, t)
	if v := findVersion(e.targets[t].info.Versions, c.search.snapshot); v != nil && v.Total == c.search.total {
		a.expectedPartitions = v.Partitions
	}
	e.startAttempt(id, request{
		snapshot: c.search.snapshot, deadline: c.deadline,
		requestID: c.requestID, body: c.body, trace: c.trace,
	})
}

// startAttempt hands the attempt to the queue of the target, or adds it to
// the relay message to its lead. The caller flushes the relays.
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

// freeAttempt takes the attempt out of all lists.
func (e *Engine) freeAttempt(id int32) {
	a := e.attempts.at(id)
	if a.call != none {
		p := &e.calls.at(a.call).search.parts[a.partIndex]
		p.pending--
		for at := &p.firstAttempt; *at != none; at = &e.attempts.at(*at).nextInPart {
			if *at == id {
				*at = a.nextInPart
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

// finishAttempt takes the outcome of an attempt to its search or booking.
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

// canRetryTarget reports whether the target may be asked a second time: at its
// new lead, or if it stalled and there is no better replica.
func (e *Engine) canRetryTarget(a *attempt, o *outcome) bool {
	switch o.kind {
	case model.KindNotLead:
		return e.targets[a.target].lead.Instance != a.lead
	case model.KindTargetStalled:
		return true
	}
	return false
}

// isRetryFree reports whether the next attempt takes nothing from the retry
// budget: an instance refused this one because of the state of the control
// plane or of the target's queue. No target was asked, so the next attempt
// adds no work. Otherwise the budget would not last for the moment in which a
// data centre leaves.
//
// The attempts that a lost lead held are free too: their number is bounded by
// what was in progress, and the targets drop the work of a lead that died.
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

// removeTried lets the target be asked once more, at its new lead.
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

// cancelPart ends the attempts that are still in progress at the lead and at
// the target. Their outcomes are not awaited: those that have left may have run.
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
