package query

import "galenadyke.dev/core/model"

// bookWait is the state of a booking call at the entry.
type bookWait struct {
	active bool
	id     model.BookingID
	route  model.RouteID
	// Of a call forwarded to the owner or to the successor of the owner.
	peer       int32
	hops       uint64
	prev, next int32 // in the list of the peer
}

// maxHops is the number of instances that may be asked for one call: the
// owner and its successor.
const maxHops = 2

// repeatFactor is how far booking calls may exceed the limit of calls. Only
// the owner can tell truly that an id has not run, so a call whose owner is
// not asked is answered "unknown".
const repeatFactor = 2

func (b *bookWait) reset() { *b = bookWait{peer: none, prev: none, next: none} }

// bookCall takes a booking from a caller.
func (e *Engine) bookCall(in model.BookCall) {
	if in.Booking.Owner == "" || in.Booking.Counter == 0 {
		e.emit(model.BookAnswer{Call: in.Call, Booking: in.Booking,
			Error: refuse(model.KindBadBookingID, "the call has no booking id; get one with POST /v1/booking-ids")})
		return
	}
	if err := e.admitForm(in.Budget, len(in.Body)); err != nil {
		e.emit(model.BookAnswer{Call: in.Call, Booking: in.Booking, Error: err})
		return
	}
	if e.callCount() >= repeatFactor*e.limits.MaxInFlight {
		e.emit(model.BookAnswer{Call: in.Call, Booking: in.Booking,
			Error: &model.Error{Kind: model.KindTooManyCalls, Execution: model.Unknown, Message: msgUnknown}})
		return
	}
	i, c := e.newCall(in.Call, in.RequestID, in.Trace, in.Body, in.Budget)
	c.booking.active, c.booking.id, c.booking.route = true, in.Booking, in.Route
	if ownerOf(in.Booking) != e.owner() {
		e.forward(i)
		return
	}
	e.bookHere(bookOrder{
		booking: in.Booking, route: in.Route, requestID: in.RequestID, body: in.Body, trace: in.Trace,
		deadline: c.deadline, waiter: waiter{call: e.calls.id(i), peer: none},
	})
}

func (e *Engine) owner() owner { return owner{e.cfg.Self, e.cfg.Incarnation} }

// forward passes the call to the owner of its id, or to the successor that
// holds the outcomes of an owner that has stopped.
func (e *Engine) forward(i int32) {
	c := e.calls.at(i)
	if h, ok := e.bookings.handovers[ownerOf(c.booking.id)]; ok {
		e.answerBook(i, h.outcome(c.booking.id.Counter, bookDigest(c.booking.route, c.body)))
		return
	}
	to := c.booking.id.Owner
	if _, ok := e.view.PeerAddress(to); !ok || to == e.cfg.Self || c.booking.hops > 0 {
		to = e.successorOf(to)
	}
	if c.booking.hops == maxHops || to == "" || to == e.cfg.Self || c.deadline <= e.now {
		e.answerBook(i, bookResult{err: model.KindOwnerLost, execution: model.Unknown, message: msgOwnerLost})
		return
	}
	c.booking.hops++
	c.booking.peer = e.peer(to)
	e.linkForward(i)
	e.send(c.booking.peer, model.BookForward{
		Ref: e.forwardRef(i), Booking: c.booking.id, Route: c.booking.route, Budget: c.deadline - e.now,
		RequestID: c.requestID, Body: c.body, Trace: c.trace,
	})
}

func ownerOf(b model.BookingID) owner { return owner{b.Owner, b.Incarnation} }

// hopShift places the hop above the table id, so that forwards and attempts
// never share a WorkRef.
const hopShift = slotBits + genBits

func (e *Engine) forwardRef(i int32) model.WorkRef {
	return model.WorkRef{
		Origin: e.cfg.Self, Incarnation: e.cfg.Incarnation,
		Seq: e.calls.at(i).booking.hops<<hopShift | e.calls.id(i),
	}
}

func (e *Engine) linkForward(i int32) {
	b := &e.calls.at(i).booking
	p := &e.peers[b.peer]
	b.prev, b.next = none, p.forwards
	if p.forwards != none {
		e.calls.at(p.forwards).booking.prev = i
	}
	p.forwards = i
}

func (e *Engine) unlinkForward(i int32) {
	b := &e.calls.at(i).booking
	if b.peer == none {
		return
	}
	if b.prev != none {
		e.calls.at(b.prev).booking.next = b.next
	} else {
		e.peers[b.peer].forwards = b.next
	}
	if b.next != none {
		e.calls.at(b.next).booking.prev = b.prev
	}
	b.peer, b.prev, b.next = none, none, none
}

// bookForward takes a call for a booking of this instance from another.
func (e *Engine) bookForward(from model.InstanceID, m model.BookForward) {
	w := waiter{peer: e.peer(from), ref: m.Ref}
	if ownerOf(m.Booking) == e.owner() {
		e.bookHere(bookOrder{
			booking: m.Booking, route: m.Route, requestID: m.RequestID, body: m.Body, trace: m.Trace,
			deadline: e.now + m.Budget - e.reserve(m.Budget), waiter: w,
		})
		return
	}
	if h, ok := e.bookings.handovers[ownerOf(m.Booking)]; ok {
		r := h.outcome(m.Booking.Counter, bookDigest(m.Route, m.Body))
		w.repeat = r.repeat
		e.answerWaiter(w, r)
		return
	}
	e.answerWaiter(w, bookResult{err: model.KindOwnerLost, execution: model.Unknown, message: msgOwnerLost})
}

// bookOutcome takes the answer of the owner.
func (e *Engine) bookOutcome(from model.InstanceID, m model.BookOutcome) {
	if m.Ref.Origin != e.cfg.Self || m.Ref.Incarnation != e.cfg.Incarnation {
		return
	}
	i := e.calls.find(m.Ref.Seq & (1<<hopShift - 1))
	if i == none {
		return
	}
	b := &e.calls.at(i).booking
	if b.peer == none || e.peers[b.peer].id != from || b.hops != m.Ref.Seq>>hopShift {
		return
	}
	e.forwardDone(i, bookResult{
		err: m.Error, execution: m.Execution, message: m.Message,
		target: m.Target, body: m.Body, repeat: m.Repeat,
	})
}

// forwardDone ends a forward. If the owner has restarted, its successor may
// hold the outcome.
func (e *Engine) forwardDone(i int32, r bookResult) {
	e.unlinkForward(i)
	if r.err == model.KindOwnerLost && e.calls.at(i).booking.hops < maxHops {
		e.forward(i)
		return
	}
	e.answerBook(i, r)
}

// bookCallDeadline answers a booking call whose outcome has not arrived.
func (e *Engine) bookCallDeadline(i int32) {
	b := &e.calls.at(i).booking
	if ownerOf(b.id) == e.owner() {
		// The booking may be due at the same time and know that it has not run.
		if k, ok := e.bookings.index[b.id.Counter]; ok && e.bookings.all.at(k).deadline <= e.now {
			e.bookingDeadline(k)
			if !b.active {
				return
			}
		}
	}
	e.answerBook(i, bookResult{err: model.KindDeadline, execution: model.Unknown, message: msgUnknown})
}

func (e *Engine) answerBook(i int32, r bookResult) {
	c := e.calls.at(i)
	e.unlinkForward(i)
	a := model.BookAnswer{Call: c.id, Booking: c.booking.id, Target: r.target, Repeat: r.repeat}
	if r.err == model.KindNone && r.execution == model.Ran {
		a.Body = r.body
	} else {
		a.Error = &model.Error{Kind: orUnknown(r.err), Execution: r.execution, Message: r.message}
	}
	e.emit(a)
	e.endCall(i)
}
