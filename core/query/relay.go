package query

import (
	"slices"

	"galenadyke.dev/core/model"
)

// flushSearchRelays sends the pending relay items of a search, one message to each
// lead.
func (e *Engine) flushSearchRelays(c *call) {
	if len(e.relayPeers) == 0 {
		return
	}
	e.flushRelays(request{
		snapshot: c.search.snapshot, deadline: c.deadline,
		requestID: c.requestID, body: c.body, trace: c.trace,
	})
}

// flushRelays sends the pending relay items of a request, one message to each lead.
func (e *Engine) flushRelays(r request) {
	budget := r.deadline - e.now
	if r.booking != "" {
		// If the booking expires in the lead's queue, the lead's reply that it
		// has not run must still arrive in time.
		budget -= e.answerReserve(budget)
	}
	for _, i := range e.relayPeers {
		p := &e.peers[i]
		var leadIncarnation model.Incarnation
		if r.booking != "" {
			leadIncarnation = e.view.Lead(p.items[0].Target).Incarnation
		}
		e.sendToPeer(i, model.RelayRequest{
			Lead: leadIncarnation, BookingID: r.booking, Snapshot: r.snapshot, Budget: budget,
			RequestID: r.requestID, Body: r.body, Trace: r.trace, Items: slices.Clone(p.items),
		})
		clear(p.items)
		p.items = p.items[:0]
	}
	e.relayPeers = e.relayPeers[:0]
}

// cancelRelay sends a cancellation of a relayed attempt at the end of the tick.
func (e *Engine) cancelRelay(id int32) {
	a := e.attempts.at(id)
	e.peers[a.peer].cancels = append(e.peers[a.peer].cancels, e.attemptRef(id))
	e.markPeerDirty(a.peer)
}

func (e *Engine) linkAttempt(id int32) {
	a := e.attempts.at(id)
	p := &e.peers[a.peer]
	a.prevInPeer, a.nextInPeer = none, p.firstAttempt
	if p.firstAttempt != none {
		e.attempts.at(p.firstAttempt).prevInPeer = id
	}
	p.firstAttempt = id
}

func (e *Engine) unlinkAttempt(id int32) {
	a := e.attempts.at(id)
	if a.prevInPeer != none {
		e.attempts.at(a.prevInPeer).nextInPeer = a.nextInPeer
	} else {
		e.peers[a.peer].firstAttempt = a.nextInPeer
	}
	if a.nextInPeer != none {
		e.attempts.at(a.nextInPeer).prevInPeer = a.prevInPeer
	}
}

// handleRelayReply ends the attempts whose outcomes a lead has sent. Late and
// repeated outcomes are ignored, because their attempts have already ended.
func (e *Engine) handleRelayReply(from model.InstanceID, m model.RelayReply) {
	for i := range m.Items {
		item := &m.Items[i]
		if item.Ref.Origin != e.cfg.Self || item.Ref.Incarnation != e.cfg.Incarnation {
			continue
		}
		id := e.attempts.find(item.Ref.Seq)
		if id == none {
			continue
		}
		a := e.attempts.at(id)
		if a.peer == none || e.peers[a.peer].id != from {
			continue
		}
		e.finishAttempt(id, outcome{
			kind: item.Error, execution: item.Execution, answer: item.Answer,
			queueWait: item.QueueWait, level: item.Level, relayed: true,
		})
	}
}

// handleRelayRequest queues work from a peer. A booking that was relayed to an
// earlier incarnation of this instance is not run, and its outcome is unknown.
func (e *Engine) handleRelayRequest(from model.InstanceID, m model.RelayRequest) {
	i := e.peerFor(from)
	r := request{
		booking: m.BookingID, snapshot: m.Snapshot, deadline: e.now + m.Budget,
		requestID: m.RequestID, body: m.Body, trace: m.Trace,
	}
	if m.BookingID != "" && m.Lead != 0 && m.Lead != e.cfg.Incarnation {
		for k := range m.Items {
			e.queueReply(i, m.Items[k].Ref, none, outcome{kind: model.KindPeerLost, execution: model.Unknown})
		}
		return
	}
	for k := range m.Items {
		e.enqueueRelayed(i, r, &m.Items[k])
	}
}

// enqueueRelayed queues one item of a relay request. Repeated items are ignored.
func (e *Engine) enqueueRelayed(from int32, r request, item *model.RelayItem) {
	if _, ok := e.workIndex[item.Ref]; ok {
		return
	}
	if r.booking != "" && !e.ledger.markRelaySeen(item.Ref, e.now+e.limits.ReservationTTL) {
		return
	}
	t, ok := e.targetIndex[item.Target]
	if !ok {
		t = none
	}
	if !ok || !e.targets[t].lead.Self {
		e.queueReply(from, item.Ref, t, outcome{kind: model.KindNotLead, execution: model.NotRun})
		return
	}
	w := e.newWork(t, r, item.Hedge)
	added := e.works.at(w)
	added.peer, added.ref = from, item.Ref
	e.workIndex[item.Ref] = w
	e.enqueue(w)
}

// queueReply adds an outcome to the reply that is sent to a peer at the end of the
// tick. targetIdx is none if the target is not known or was not looked up.
func (e *Engine) queueReply(peerIdx int32, ref model.WorkRef, targetIdx int32, o outcome) {
	r := model.RelayOutcome{Ref: ref, Error: o.kind, Execution: o.execution, Answer: o.answer}
	if targetIdx != none && e.targets[targetIdx].lead.Self {
		r.QueueWait, r.Level = e.queueWait(targetIdx), e.targets[targetIdx].level
	}
	e.peers[peerIdx].replies = append(e.peers[peerIdx].replies, r)
	e.markPeerDirty(peerIdx)
}

// handleRelayCancel cancels work that the peer relayed to this instance.
func (e *Engine) handleRelayCancel(from model.InstanceID, m model.RelayCancel) {
	for _, ref := range m.Refs {
		if ref.Origin != from {
			continue
		}
		if w, ok := e.workIndex[ref]; ok {
			e.cancelWork(w)
		}
	}
}
