package query

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// booking is the record of one used booking id at its owner. The first call
// with the id starts it; all others get its outcome.
type booking struct {
	counter  uint64
	digest   uint64 // of the route and the body
	running  bool
	expired  bool // while running; freed at the end
	dirty    bool
	request  request
	group    int32
	deadline time.Duration
	timer    int32
	tried    []int32
	attempt  int32 // in progress, also after the deadline, none if there is none
	failure  model.Kind
	free     bool // the next attempt takes nothing from the retry budget
	result   bookResult
	waiters  []waiter
}

// bookResult is the outcome of a booking.
type bookResult struct {
	err       model.Kind
	execution model.Execution
	message   string
	target    model.TargetID
	body      []byte
	repeat    bool
}

// waiter is a call that waits for a booking: of this instance, or forwarded
// by another.
type waiter struct {
	call   uint64 // id in the table of calls, zero if forwarded
	peer   int32
	ref    model.WorkRef
	repeat bool
}

// bookOrder is a call for a booking that this instance owns.
type bookOrder struct {
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

func bookDigest(route model.RouteID, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(route))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// bookHere runs a booking of this instance, or gives the outcome of its id.
func (e *Engine) bookHere(o bookOrder) {
	l := &e.bookings
	n := o.booking.Counter
	digest := bookDigest(o.route, o.body)
	if i, ok := l.index[n]; ok {
		e.joinBooking(l.all.at(i), o.waiter, digest)
		return
	}
	if r, ok := l.unusable(n, e.now); ok {
		e.answerWaiter(o.waiter, r)
		return
	}
	i, b := l.use(n, digest)
	b.waiters = append(b.waiters, o.waiter)
	b.request = request{
		booking: o.booking.String(), deadline: o.deadline,
		requestID: o.requestID, body: o.body, trace: o.trace,
	}
	b.deadline = o.deadline
	g, err := e.admitBooking(o)
	if err != nil {
		e.finishBooking(i, bookResult{err: err.Kind, execution: model.NotRun, message: err.Message})
		return
	}
	b.group, b.running = g, true
	l.running++
	b.timer = e.timers.create(timerBooking, i)
	e.timers.set(b.timer, b.deadline)
	e.hedges.earn()
	e.retries.earn()
	e.markBooking(i)
}

func (e *Engine) joinBooking(b *booking, w waiter, digest uint64) {
	w.repeat = true
	switch {
	case b.digest != digest:
		e.answerWaiter(w, bookResult{err: model.KindBookingConflict, execution: model.NotRun, message: msgConflict})
	case b.running:
		b.waiters = append(b.waiters, w)
	default:
		e.answerWaiter(w, b.result)
	}
}

// admitBooking checks whether a booking can run. A refusal uses the id up:
// an earlier copy of the call may still arrive and must not run after its
// caller was told "not run".
func (e *Engine) admitBooking(o bookOrder) (int32, *model.Error) {
	if err := e.admitNow(); err != nil {
		return none, err
	}
	r, err := e.findRoute(o.route, objects.RouteBooking)
	if err != nil {
		return none, err
	}
	if e.bookings.running >= e.limits.MaxInFlight || e.callCount() > e.limits.MaxInFlight {
		return none, tooManyCalls()
	}
	if len(e.routes[r].groups) == 0 {
		return none, refuse(model.KindNoTarget, "the route has no group; publish one")
	}
	g := e.routes[r].groups[0]
	if e.chooseBookingTarget(g, nil) == none {
		return none, refuse(model.KindNoTarget, "the route has no eligible target; check the order in force and the targets")
	}
	if !e.direct() && !e.feasible(g, 0, o.deadline-e.now) {
		return none, overloaded()
	}
	return g, nil
}

func (e *Engine) markBooking(i int32) {
	if b := e.bookings.all.at(i); !b.dirty {
		b.dirty = true
		e.dirtyBookings = append(e.dirtyBookings, i)
	}
}

// runBooking sends the booking to a target if no attempt is in progress.
func (e *Engine) runBooking(i int32) {
	b := e.bookings.all.at(i)
	if !b.dirty {
		return
	}
	b.dirty = false
	if !b.running || b.attempt != none {
		return
	}
	if e.now >= b.deadline {
		e.bookingDeadline(i)
		return
	}
	t := e.chooseBookingTarget(b.group, b.tried)
	switch {
	case t == none:
		e.failBooking(i, model.KindNoTarget)
	case !e.maySend():
		e.failBooking(i, e.notReady())
	case b.failure != model.KindNone && !b.free && !e.mayRetry():
		e.failBooking(i, model.KindNoTarget)
	default:
		b.tried = append(b.tried, t)
		id, a := e.newAttempt(t, false)
		a.booking, b.attempt = i, id
		e.startAttempt(id, b.request)
		e.flushRequest(b.request)
	}
}

// failBooking ends a booking whose attempts are all known not to have run.
func (e *Engine) failBooking(i int32, kind model.Kind) {
	if f := e.bookings.all.at(i).failure; f != model.KindNone && kind == model.KindNoTarget {
		kind = f
	}
	e.finishBooking(i, bookResult{err: kind, execution: model.NotRun, message: msgNotRun})
}

// chooseBookingTarget leaves out targets whose lead was lost a short time ago:
// a booking that is sent to them would most likely end as unknown.
func (e *Engine) chooseBookingTarget(g int32, tried []int32) int32 {
	best, bestTime, ties := none, time.Duration(0), 1
	for _, i := range e.groups[g].replicas {
		if t := &e.targets[i]; !contains(tried, i) && e.usable(t) && !e.isLeadLost(t) {
			best, bestTime, ties = e.better(i, e.expectedWith(i, e.trialLatency(i)), best, bestTime, ties)
		}
	}
	return best
}

// bookingAttemptDone takes the outcome of an attempt. After the deadline it
// can only make an unknown outcome known.
func (e *Engine) bookingAttemptDone(a attempt, o outcome) {
	e.observe(&a, &o)
	b := e.bookings.all.at(a.booking)
	b.attempt = none
	t := &e.targets[a.target]
	switch {
	case o.err == model.KindNone && o.execution == model.Ran:
		e.finishBooking(a.booking, bookResult{execution: model.Ran, target: t.id, body: o.answer.Body})
	case o.execution != model.NotRun:
		e.finishBooking(a.booking, bookResult{err: orUnknown(o.err), execution: model.Unknown, message: msgUnknown})
	case !b.running:
		e.finishBooking(a.booking, bookResult{err: o.err, execution: model.NotRun, message: msgNotRun})
	case o.err == model.KindDeadline:
		// Another attempt so late would end as "unknown".
		e.failBooking(a.booking, o.err)
	default:
		b.failure, b.free = o.err, isRetryFree(&o)
		e.noteStall(&a, &o)
		if e.mayAskAgain(&a, &o) {
			b.forget(a.target)
		}
		e.markBooking(a.booking)
	}
}

func orUnknown(k model.Kind) model.Kind {
	if k == model.KindNone {
		return model.KindTargetAnswer
	}
	return k
}

func (b *booking) forget(t int32) {
	for i, x := range b.tried {
		if x == t {
			b.tried = append(b.tried[:i], b.tried[i+1:]...)
			return
		}
	}
}

// bookingDeadline answers a running booking with what is known.
func (e *Engine) bookingDeadline(i int32) {
	b := e.bookings.all.at(i)
	if !b.running {
		return
	}
	late := bookResult{err: model.KindDeadline, execution: model.NotRun, message: msgNotRun}
	if b.attempt != none {
		a := e.attempts.at(b.attempt)
		if a.work != none && !e.works.at(a.work).inFlight {
			w := a.work
			e.works.at(w).attempt = none
			e.freeAttempt(b.attempt)
			b.attempt = none
			e.cancelWork(w)
		} else {
			late = bookResult{err: model.KindDeadline, execution: model.Unknown, message: msgUnknown}
			if a.peer != none {
				// The lead drops the booking if it has not written it yet.
				e.cancelRelay(b.attempt)
			}
		}
	}
	e.finishBooking(i, late)
}

// finishBooking records the outcome and gives it to all who wait.
func (e *Engine) finishBooking(i int32, r bookResult) {
	b := e.bookings.all.at(i)
	b.result = r
	if b.running {
		b.running = false
		e.bookings.running--
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

// dropBooking forgets the outcome of an id past its valid time.
func (e *Engine) dropBooking(i int32) {
	b := e.bookings.all.at(i)
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
	delete(e.bookings.index, b.counter)
	*b = booking{}
	e.bookings.all.release(i)
}

func (e *Engine) answerWaiter(w waiter, r bookResult) {
	r.repeat = w.repeat
	if w.call != 0 {
		if i := e.calls.find(w.call); i != none {
			e.answerBook(i, r)
		}
		return
	}
	e.send(w.peer, model.BookOutcome{
		Ref: w.ref, Error: r.err, Execution: r.execution, Message: r.message,
		Target: r.target, Body: r.body, Repeat: r.repeat,
	})
}
