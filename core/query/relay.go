package query

import (
	"slices"

	"galenadyke.dev/core/model"
)

// flushRelays sends the relayed attempts of one call, one message for each
// lead.
func (e *Engine) flushRelays(c *call) {
	if len(e.relayed) == 0 {
		return
	}
	e.flushRequest(request{
		snapshot: c.search.snapshot, deadline: c.deadline,
		requestID: c.requestID, body: c.body, trace: c.trace,
	})
}

func (e *Engine) flushRequest(r request) {
	budget := r.deadline - e.now
	if r.booking != "" {
		// Leaves the lead time to say that a queued booking has not run.
		budget -= e.reserve(budget)
	}
	for _, i := range e.relayed {
		p := &e.peers[i]
		var life model.Incarnation
		if r.booking != "" {
			life = e.view.Lead(p.items[0].Target).Incarnation
		}
		e.send(i, model.RelayRequest{
			Lead: life, BookingID: r.booking, Snapshot: r.snapshot, Budget: budget,
			RequestID: r.requestID, Body: r.body, Trace: r.trace, Items: slices.Clone(p.items),
		})
		clear(p.items)
		p.items = p.items[:0]
	}
	e.relayed = e.relayed[:0]
}

func (e *Engine) cancelRelay(id int32) {
	a := e.attempts.at(id)
	e.peers[a.peer].cancels = append(e.peers[a.peer].cancels, e.ref(id))
	e.markPeer(a.peer)
}

func (e *Engine) linkPeer(id int32) {
	a := e.attempts.at(id)
	p := &e.peers[a.peer]
	a.prevP, a.nextP = none, p.attempts
	if p.attempts != none {
		e.attempts.at(p.attempts).prevP = id
	}
	p.attempts = id
}

func (e *Engine) unlinkPeer(id int32) {
	a := e.attempts.at(id)
	if a.prevP != none {
		e.attempts.at(a.prevP).nextP = a.nextP
	} else {
		e.peers[a.peer].attempts = a.nextP
	}
	if a.nextP != none {
		e.attempts.at(a.nextP).prevP = a.prevP
	}
}

// relayReply takes outcomes of attempts from a lead. Late and repeated ones
// name attempts that are over and change nothing.
func (e *Engine) relayReply(from model.InstanceID, m model.RelayReply) {
	for i := range m.Items {
		it := &m.Items[i]
		if it.Ref.Origin != e.cfg.Self || it.Ref.Incarnation != e.cfg.Incarnation {
			continue
		}
		id := e.attempts.find(it.Ref.Seq)
		if id == none {
			continue
		}
		a := e.attempts.at(id)
		if a.peer == none || e.peers[a.peer].id != from {
			continue
		}
		e.attemptDone(id, outcome{
			err: it.Error, execution: it.Execution, answer: it.Answer,
			wait: it.QueueWait, level: it.Level, relayed: true,
		})
	}
}

// relayRequest takes work from another instance.
func (e *Engine) relayRequest(from model.InstanceID, m model.RelayRequest) {
	i := e.peer(from)
	r := request{
		booking: m.BookingID, snapshot: m.Snapshot, deadline: e.now + m.Budget,
		requestID: m.RequestID, body: m.Body, trace: m.Trace,
	}
	if m.BookingID != "" && m.Lead != 0 && m.Lead != e.cfg.Incarnation {
		for k := range m.Items {
			e.replyTo(i, m.Items[k].Ref, none, outcome{err: model.KindPeerLost, execution: model.Unknown})
		}
		return
	}
	for k := range m.Items {
		e.relayItem(i, r, &m.Items[k])
	}
}

func (e *Engine) relayItem(from int32, r request, it *model.RelayItem) {
	if _, ok := e.workIndex[it.Ref]; ok {
		return
	}
	if r.booking != "" && !e.bookings.firstSight(it.Ref, e.now+e.limits.ReservationTTL) {
		return
	}
	t, ok := e.targetIndex[it.Target]
	if !ok {
		t = none
	}
	if !ok || !e.targets[t].lead.Self {
		e.replyTo(from, it.Ref, t, outcome{err: model.KindNotLead, execution: model.NotRun})
		return
	}
	w := e.newWork(t, r, it.Hedge)
	x := e.works.at(w)
	x.peer, x.ref = from, it.Ref
	e.workIndex[it.Ref] = w
	e.enqueue(w)
}

// replyTo adds an outcome to the reply of this tick to an instance.
func (e *Engine) replyTo(p int32, ref model.WorkRef, t int32, o outcome) {
	r := model.RelayOutcome{Ref: ref, Error: o.err, Execution: o.execution, Answer: o.answer}
	if t != none && e.targets[t].lead.Self {
		r.QueueWait, r.Level = e.queueWait(t), e.targets[t].level
	}
	e.peers[p].replies = append(e.peers[p].replies, r)
	e.markPeer(p)
}

func (e *Engine) relayCancel(from model.InstanceID, m model.RelayCancel) {
	for _, ref := range m.Refs {
		if ref.Origin != from {
			continue
		}
		if w, ok := e.workIndex[ref]; ok {
			e.cancelWork(w)
		}
	}
}
