package query

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// booking is the record of a used booking id at its owner. The first call with
// the id starts the booking; later calls with the same id get its outcome.
type booking struct {
	counter     uint64
	digest      uint64 // of the route and the body
	running     bool   // neither ended nor refused
	expired     bool   // the id expired while the booking ran; the record is freed when it ends
	dirty       bool
	request     request
	group       int32
	deadline    time.Duration
	timer       int32
	tried       []int32
	attempt     int32 // attempt in progress, which may outlast the deadline, or none
	lastFailure model.Kind
	retryFree   bool // the next attempt is not charged to the retry budget
	result      bookResult
	waiters     []waiter
}

// bookResult is the outcome of a booking call.
type bookResult struct {
	kind      model.Kind
	execution model.Execution
	message   string
	target    model.TargetID
	body      []byte
	repeat    bool
}

// waiter is a call that waits for the outcome of a booking. The call came from a
// caller of this instance or was forwarded by a peer.
type waiter struct {
	call   uint64        // id in the table of calls, zero if a peer forwarded the call
	peer   int32         // peer that forwarded the call, none otherwise
	ref    model.WorkRef // reference of the forward, zero without a peer
	repeat bool          // the booking id was used by an earlier call
}

// bookingRequest is a booking call whose booking id this instance owns.
type bookingRequest struct {
	booking   model.BookingID
	route     model.RouteID
	requestID string
	body      []byte
	trace     string
	deadline  time.Duration
	waiter    waiter
}

const (
	msgUnknown      = "the booking may have run; repeat the call with the same booking id to learn its outcome"
	msgOwnerLost    = "the owner of the booking id cannot be reached, so the booking may have run; check it with the service before booking again"
	msgNotRun       = "the booking has not run and its id is used up; book again with a new id"
	msgConflict     = "the booking id was used before with another booking; get a new id for each booking"
	msgExpired      = "the booking id is past its valid time; get a new id"
	msgUnknownID    = "the booking id was not issued; get one with POST /v1/booking-ids"
	msgHandedOver   = "the owner of the booking id has stopped and the booking has not run; get a new id"
	msgOwnerStopped = "the instance is stopping and the booking has not run; get a new id from another instance"
)

// bookDigest identifies the content of a booking call, to detect the use of one
// booking id for different bookings.
func bookDigest(route model.RouteID, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(route))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// acceptBooking starts the booking if its id is unused and valid. Otherwise the
// waiter gets the recorded outcome, once it is known, or an error.
func (e *Engine) acceptBooking(req bookingRequest) {
	l := &e.ledger
	counter := req.booking.Counter
	digest := bookDigest(req.route, req.body)
	if i, ok := l.index[counter]; ok {
		e.joinBooking(l.records.at(i), req.waiter, digest)
		return
	}
	if r, ok := l.unusableResult(counter, e.now); ok {
		e.answerWaiter(req.waiter, r)
		return
	}
	i, b := l.startRecord(counter, digest)
	b.waiters = append(b.waiters, req.waiter)
	b.request = request{
		booking: req.booking.String(), deadline: req.deadline,
		requestID: req.requestID, body: req.body, trace: req.trace,
	}
	b.deadline = req.deadline
	g, err := e.admitBooking(req)
	if err != nil {
		e.finishBooking(i, bookResult{kind: err.Kind, execution: model.NotRun, message: err.Message})
		return
	}
	b.group, b.running = g, true
	l.running++
	b.timer = e.timers.create(timerBooking, i)
	e.timers.set(b.timer, b.deadline)
	e.hedgeBudget.deposit()
	e.retryBudget.deposit()
	e.markBookingDirty(i)
}

// joinBooking answers a repeated call with the recorded outcome, or lets the waiter
// wait while the booking runs. A different digest is a conflict.
func (e *Engine) joinBooking(b *booking, w waiter, digest uint64) {
	w.repeat = true
	switch {
	case b.digest != digest:
		e.answerWaiter(w, bookResult{kind: model.KindBookingConflict, execution: model.NotRun, message: msgConflict})
	case b.running:
		b.waiters = append(b.waiters, w)
	default:
		e.answerWaiter(w, b.result)
	}
}

// admitBooking returns the group of the route, or an error if the booking cannot
// run. acceptBooking records a refusal as the outcome of the id: another copy of
// the call may still arrive and must not run after the answer "not run".
func (e *Engine) admitBooking(req bookingRequest) (int32, *model.Error) {
	if err := e.checkAcceptsCalls(); err != nil {
		return none, err
	}
	r, err := e.findRoute(req.route, objects.RouteBooking)
	if err != nil {
		return none, err
	}
	if e.ledger.running >= e.limits.MaxInFlight || e.callCount() > e.limits.MaxInFlight {
		return none, tooManyCallsError()
	}
	if len(e.routes[r].groups) == 0 {
		return none, refusalError(model.KindNoTarget, "the route has no group; publish one")
	}
	g := e.routes[r].groups[0]
	if e.chooseBookingTarget(g, nil) == none {
		return none, refusalError(model.KindNoTarget, "the route has no eligible target; check the order in force and the targets")
	}
	if !e.bypassesLeads() && !e.canAnswerInTime(g, 0, req.deadline-e.now) {
		return none, overloadedError()
	}
	return g, nil
}

func (e *Engine) markBookingDirty(i int32) {
	if b := e.ledger.records.at(i); !b.dirty {
		b.dirty = true
		e.dirtyBookings = append(e.dirtyBookings, i)
	}
}

// runBooking sends a running booking to a target if no attempt is in progress.
func (e *Engine) runBooking(i int32) {
	b := e.ledger.records.at(i)
	if !b.dirty {
		return
	}
	b.dirty = false
	if !b.running || b.attempt != none {
		return
	}
	if e.now >= b.deadline {
		e.handleBookingDeadline(i)
		return
	}
	t := e.chooseBookingTarget(b.group, b.tried)
	switch {
	case t == none:
		e.failBooking(i, model.KindNoTarget)
	case !e.maySend():
		e.failBooking(i, e.notReadyKind())
	case b.lastFailure != model.KindNone && !b.retryFree && !e.takeRetryToken():
		e.failBooking(i, model.KindNoTarget)
	default:
		b.tried = append(b.tried, t)
		id, a := e.newAttempt(t, false)
		a.booking, b.attempt = i, id
		e.startAttempt(id, b.request)
		e.flushRelays(b.request)
	}
}

// failBooking ends a booking none of whose attempts has run. The error kind of
// the last attempt, if any, replaces KindNoTarget.
func (e *Engine) failBooking(i int32, kind model.Kind) {
	if f := e.ledger.records.at(i).lastFailure; f != model.KindNone && kind == model.KindNoTarget {
		kind = f
	}
	e.finishBooking(i, bookResult{kind: kind, execution: model.NotRun, message: msgNotRun})
}

// chooseBookingTarget returns the untried target of the group that is expected to
// answer first, or none. Targets whose lead was lost recently are left out: a
// booking relayed to that lead would most likely end with an unknown outcome.
func (e *Engine) chooseBookingTarget(g int32, tried []int32) int32 {
	best, bestTime, ties := none, time.Duration(0), 1
	for _, i := range e.groups[g].replicas {
		if t := &e.targets[i]; !contains(tried, i) && e.isUsable(t) && !e.isLeadLost(t) {
			best, bestTime, ties = e.pickBetter(i, e.expectedTimeWith(i, e.trialLatency(i)), best, bestTime, ties)
		}
	}
	return best
}

// finishBookingAttempt applies the outcome of an attempt to its booking. If the
// booking has already ended at its deadline, the outcome replaces the recorded
// outcome that repeats of the call get.
func (e *Engine) finishBookingAttempt(a attempt, o outcome) {
	e.observeOutcome(&a, &o)
	b := e.ledger.records.at(a.booking)
	b.attempt = none
	t := &e.targets[a.target]
	switch {
	case o.kind == model.KindNone && o.execution == model.Ran:
		e.finishBooking(a.booking, bookResult{execution: model.Ran, target: t.id, body: o.answer.Body})
	case o.execution != model.NotRun:
		e.finishBooking(a.booking, bookResult{kind: kindOrTargetAnswer(o.kind), execution: model.Unknown, message: msgUnknown})
	case !b.running:
		e.finishBooking(a.booking, bookResult{kind: o.kind, execution: model.NotRun, message: msgNotRun})
	case o.kind == model.KindDeadline:
		// Another attempt this late would end with an unknown outcome.
		e.failBooking(a.booking, o.kind)
	default:
		b.lastFailure, b.retryFree = o.kind, isRetryFree(&o)
		e.recordStall(&a, &o)
		if e.canRetryTarget(&a, &o) {
			b.removeTried(a.target)
		}
		e.markBookingDirty(a.booking)
	}
}

// kindOrTargetAnswer returns k, or KindTargetAnswer if k is KindNone: a target that
// reports no error for a booking that may not have run contradicts itself.
func kindOrTargetAnswer(k model.Kind) model.Kind {
	if k == model.KindNone {
		return model.KindTargetAnswer
	}
	return k
}

func (b *booking) removeTried(t int32) {
	for i, x := range b.tried {
		if x == t {
			b.tried = append(b.tried[:i], b.tried[i+1:]...)
			return
		}
	}
}

// handleBookingDeadline ends a running booking with the outcome that is known at
// its deadline.
func (e *Engine) handleBookingDeadline(i int32) {
	b := e.ledger.records.at(i)
	if !b.running {
		return
	}
	result := bookResult{kind: model.KindDeadline, execution: model.NotRun, message: msgNotRun}
	if b.attempt != none {
		a := e.attempts.at(b.attempt)
		if a.work != none && !e.works.at(a.work).inFlight {
			w := a.work
			e.works.at(w).attempt = none
			e.freeAttempt(b.attempt)
			b.attempt = none
			e.cancelWork(w)
		} else {
			result = bookResult{kind: model.KindDeadline, execution: model.Unknown, message: msgUnknown}
			if a.peer != none {
				// The lead drops the booking if it has not sent it to the target yet.
				e.cancelRelay(b.attempt)
			}
		}
	}
	e.finishBooking(i, result)
}

// finishBooking records the outcome and sends it to all waiters.
func (e *Engine) finishBooking(i int32, r bookResult) {
	b := e.ledger.records.at(i)
	b.result = r
	if b.running {
		b.running = false
		e.ledger.running--
		e.timers.remove(b.timer)
	}
	b.request = request{}
	b.tried = nil
	for _, w := range b.waiters {
		e.answerWaiter(w, r)
	}
	b.waiters = nil
	if b.expired {
		e.dropBooking(i)
	}
}

// dropBooking frees the record of an expired id. If the booking is running, the
// record is freed when it ends.
func (e *Engine) dropBooking(i int32) {
	b := e.ledger.records.at(i)
	if b.running {
		b.expired = true
		return
	}
	if b.attempt != none {
		if w := e.attempts.at(b.attempt).work; w != none {
			e.works.at(w).attempt = none
		}
		e.freeAttempt(b.attempt)
	}
	delete(e.ledger.index, b.counter)
	*b = booking{}
	e.ledger.records.release(i)
}

// answerWaiter answers the call of the waiter or sends the outcome to the peer
// that forwarded the call.
func (e *Engine) answerWaiter(w waiter, r bookResult) {
	r.repeat = w.repeat
	if w.call != 0 {
		if i := e.calls.find(w.call); i != none {
			e.answerBookCall(i, r)
		}
		return
	}
	e.sendToPeer(w.peer, model.BookOutcome{
		Ref: w.ref, Error: r.kind, Execution: r.execution, Message: r.message,
		Target: r.target, Body: r.body, Repeat: r.repeat,
	})
}
