package query

import "galenadyke.dev/core/model"

// bookingCallState is the state of a booking call at the entry instance.
type bookingCallState struct {
	active bool // false for a search call
	id     model.BookingID
	route  model.RouteID
	// The current forward, to the owner of the id or to the owner's successor.
	peer       int32  // receiver of the forward, none if there is no current forward
	forwards   uint64 // number of forwards so far
	prev, next int32  // in the list of the peer
}

// maxForwards is the largest number of times that one call is forwarded: to the
// owner and then to its successor.
const maxForwards = 2

// bookingCallFactor times the limit MaxInFlight is the number of calls in progress
// at which booking calls are refused. It is above the limit for searches, because a
// refused booking call has to be answered "unknown": only the owner knows whether
// the id has run.
const bookingCallFactor = 2

func (b *bookingCallState) reset() { *b = bookingCallState{peer: none, prev: none, next: none} }

// handleBookCall accepts or refuses a booking call from a caller.
func (e *Engine) handleBookCall(in model.BookCall) {
	if in.Booking.Owner == "" || in.Booking.Counter == 0 {
		e.emit(model.BookAnswer{Call: in.Call, Booking: in.Booking,
			Error: refusalError(model.KindBadBookingID, "the call has no booking id; get one with POST /v1/booking-ids")})
		return
	}
	if err := e.validateCall(in.Budget, len(in.Body)); err != nil {
		e.emit(model.BookAnswer{Call: in.Call, Booking: in.Booking, Error: err})
		return
	}
	if e.callCount() >= bookingCallFactor*e.limits.MaxInFlight {
		e.emit(model.BookAnswer{Call: in.Call, Booking: in.Booking,
			Error: &model.Error{Kind: model.KindTooManyCalls, Execution: model.Unknown, Message: msgUnknown}})
		return
	}
	i, c := e.newCall(in.Call, in.RequestID, in.Trace, in.Body, in.Budget)
	c.booking.active, c.booking.id, c.booking.route = true, in.Booking, in.Route
	if ownerOf(in.Booking) != e.selfOwner() {
		e.forwardBooking(i)
		return
	}
	e.acceptBooking(bookingRequest{
		booking: in.Booking, route: in.Route, requestID: in.RequestID, body: in.Body, trace: in.Trace,
		deadline: c.deadline, waiter: waiter{call: e.calls.id(i), peer: none},
	})
}

func (e *Engine) selfOwner() owner { return owner{e.cfg.Self, e.cfg.Incarnation} }

// forwardBooking forwards the call to the owner of its id, or to the owner's
// successor if the owner has stopped. If this instance is the successor, it
// answers the call itself.
func (e *Engine) forwardBooking(i int32) {
	c := e.calls.at(i)
	if h, ok := e.ledger.handovers[ownerOf(c.booking.id)]; ok {
		e.answerBookCall(i, h.resultFor(c.booking.id.Counter, bookDigest(c.booking.route, c.body)))
		return
	}
	to := c.booking.id.Owner
	if _, ok := e.view.PeerAddress(to); !ok || to == e.cfg.Self || c.booking.forwards > 0 {
		to = e.successorOf(to)
	}
	if c.booking.forwards == maxForwards || to == "" || to == e.cfg.Self || c.deadline <= e.now {
		e.answerBookCall(i, bookResult{kind: model.KindOwnerLost, execution: model.Unknown, message: msgOwnerLost})
		return
	}
	c.booking.forwards++
	c.booking.peer = e.peerFor(to)
	e.linkForward(i)
	e.sendToPeer(c.booking.peer, model.BookForward{
		Ref: e.forwardRef(i), Booking: c.booking.id, Route: c.booking.route, Budget: c.deadline - e.now,
		RequestID: c.requestID, Body: c.body, Trace: c.trace,
	})
}

func ownerOf(b model.BookingID) owner { return owner{b.Owner, b.Incarnation} }

// forwardShift is the position of the forward number in a WorkRef, above the
// table id, so that forwards and attempts never share a WorkRef.
const forwardShift = slotBits + genBits

func (e *Engine) forwardRef(i int32) model.WorkRef {
	return model.WorkRef{
		Origin: e.cfg.Self, Incarnation: e.cfg.Incarnation,
		Seq: e.calls.at(i).booking.forwards<<forwardShift | e.calls.id(i),
	}
}

func (e *Engine) linkForward(i int32) {
	b := &e.calls.at(i).booking
	p := &e.peers[b.peer]
	b.prev, b.next = none, p.firstForward
	if p.firstForward != none {
		e.calls.at(p.firstForward).booking.prev = i
	}
	p.firstForward = i
}

func (e *Engine) unlinkForward(i int32) {
	b := &e.calls.at(i).booking
	if b.peer == none {
		return
	}
	if b.prev != none {
		e.calls.at(b.prev).booking.next = b.next
	} else {
		e.peers[b.peer].firstForward = b.next
	}
	if b.next != none {
		e.calls.at(b.next).booking.prev = b.prev
	}
	b.peer, b.prev, b.next = none, none, none
}

// handleBookForward answers a booking call forwarded by a peer, as the owner of
// the booking id or as the owner's successor. If this instance is neither, the
// outcome is unknown.
func (e *Engine) handleBookForward(from model.InstanceID, m model.BookForward) {
	w := waiter{peer: e.peerFor(from), ref: m.Ref}
	if ownerOf(m.Booking) == e.selfOwner() {
		e.acceptBooking(bookingRequest{
			booking: m.Booking, route: m.Route, requestID: m.RequestID, body: m.Body, trace: m.Trace,
			deadline: e.now + m.Budget - e.answerReserve(m.Budget), waiter: w,
		})
		return
	}
	if h, ok := e.ledger.handovers[ownerOf(m.Booking)]; ok {
		r := h.resultFor(m.Booking.Counter, bookDigest(m.Route, m.Body))
		w.repeat = r.repeat
		e.answerWaiter(w, r)
		return
	}
	e.answerWaiter(w, bookResult{kind: model.KindOwnerLost, execution: model.Unknown, message: msgOwnerLost})
}

// handleBookOutcome ends the forward that the outcome answers. An outcome that
// answers no current forward is ignored.
func (e *Engine) handleBookOutcome(from model.InstanceID, m model.BookOutcome) {
	if m.Ref.Origin != e.cfg.Self || m.Ref.Incarnation != e.cfg.Incarnation {
		return
	}
	i := e.calls.find(m.Ref.Seq & (1<<forwardShift - 1))
	if i == none {
		return
	}
	b := &e.calls.at(i).booking
	if b.peer == none || e.peers[b.peer].id != from || b.forwards != m.Ref.Seq>>forwardShift {
		return
	}
	e.finishForward(i, bookResult{
		kind: m.Error, execution: m.Execution, message: m.Message,
		target: m.Target, body: m.Body, repeat: m.Repeat,
	})
}

// finishForward answers the call with the result of its forward. If the owner was
// lost or has restarted, the call is forwarded again, because the owner's
// successor may hold the outcome.
func (e *Engine) finishForward(i int32, r bookResult) {
	e.unlinkForward(i)
	if r.kind == model.KindOwnerLost && e.calls.at(i).booking.forwards < maxForwards {
		e.forwardBooking(i)
		return
	}
	e.answerBookCall(i, r)
}

// handleBookCallDeadline answers a booking call whose outcome has not arrived.
func (e *Engine) handleBookCallDeadline(i int32) {
	b := &e.calls.at(i).booking
	if ownerOf(b.id) == e.selfOwner() {
		// If the deadline of the booking itself has passed too, its record may
		// show that the booking has not run.
		if k, ok := e.ledger.index[b.id.Counter]; ok && e.ledger.records.at(k).deadline <= e.now {
			e.handleBookingDeadline(k)
			if !b.active {
				return
			}
		}
	}
	e.answerBookCall(i, bookResult{kind: model.KindDeadline, execution: model.Unknown, message: msgUnknown})
}

func (e *Engine) answerBookCall(i int32, r bookResult) {
	c := e.calls.at(i)
	e.unlinkForward(i)
	a := model.BookAnswer{Call: c.id, Booking: c.booking.id, Target: r.target, Repeat: r.repeat}
	if r.kind == model.KindNone && r.execution == model.Ran {
		a.Body = r.body
	} else {
		a.Error = &model.Error{Kind: kindOrTargetAnswer(r.kind), Execution: r.execution, Message: r.message}
	}
	e.emit(a)
	e.endCall(i)
}
