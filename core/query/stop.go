package query

import (
	"strconv"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// stop is the progress of a graceful stop on the side of the data plane.
type stop struct {
	begun  bool
	since  time.Duration
	timer  int32
	handed bool
}

// refusing reports whether new calls are refused because of a stop. They are
// served for the balancer delay, or until the control plane says otherwise.
func (e *Engine) refusing() bool {
	if !e.view.Stopping() {
		return false
	}
	return e.stop.handed || !e.ready.OK || e.stop.begun && e.now >= e.stop.since+e.cfg.BalancerDelay
}

// runStop hands the booking ids over once nothing is in progress.
func (e *Engine) runStop() {
	if !e.view.Stopping() {
		return
	}
	if !e.stop.begun {
		e.stop.begun, e.stop.since = true, e.now
		if e.cfg.BalancerDelay > 0 {
			e.timers.set(e.stop.timer, e.now+e.cfg.BalancerDelay)
		}
	}
	if e.refusing() && !e.stop.handed && !e.busy() {
		e.stop.handed = true
		e.handOver()
	}
}

func (e *Engine) busy() bool {
	return e.calls.count > 0 || e.works.count > 0 || e.bookings.running > 0
}

// idle reports whether nothing is in progress and, when stopping, the booking
// ids have been handed over.
func (e *Engine) idle() bool {
	return !e.busy() && (!e.view.Stopping() || e.stop.handed)
}

func viewDrained(t *target) view.Drained {
	return view.Drained{Target: t.id, Incarnation: t.incarnation, Level: t.level}
}

// readinessChanged gives queued work back when nothing may be sent any more.
func (e *Engine) readinessChanged() {
	if e.maySend() {
		return
	}
	for i := range e.targets {
		if len(e.targets[i].queue) > 0 {
			e.markTarget(int32(i))
		}
	}
}

// handover holds the booking outcomes of an owner that has stopped.
type handover struct {
	issued  uint64
	first   uint64
	records map[uint64]model.BookingRecord
}

// handOver sends the outcomes of this instance to its successor.
func (e *Engine) handOver() {
	l := &e.bookings
	to := e.view.Successor()
	if to == "" || l.issued == 0 {
		return
	}
	m := model.BookingHandover{Owner: e.cfg.Self, Incarnation: e.cfg.Incarnation, Issued: l.issued, First: l.issued + 1}
	if len(l.batches) > 0 {
		m.First = l.batches[0].first
	}
	for k := range l.batches {
		b := &l.batches[k]
		for n := b.first; n <= b.last; n++ {
			if b.isUsed(n) {
				m.Outcomes = append(m.Outcomes, l.record(n))
			}
		}
	}
	e.send(e.peer(to), m)
	e.emit(model.Event{Name: "BookingsHandedOver", Subject: string(to), After: strconv.Itoa(len(m.Outcomes))})
}

// record is the outcome of a used id in the form of the handover.
func (l *ledger) record(n uint64) model.BookingRecord {
	i, ok := l.index[n]
	if !ok {
		return model.BookingRecord{Counter: n, Error: model.KindBookingExpired, Execution: model.Unknown}
	}
	b := l.all.at(i)
	return model.BookingRecord{
		Counter: n, BodyDigest: b.digest, Error: b.result.err, Execution: b.result.execution,
		Target: b.result.target, Body: b.result.body,
	}
}

func (e *Engine) bookingHandover(m model.BookingHandover) {
	l := &e.bookings
	key := owner{m.Owner, m.Incarnation}
	if _, ok := l.handovers[key]; ok {
		return
	}
	h := &handover{issued: m.Issued, first: m.First, records: make(map[uint64]model.BookingRecord, len(m.Outcomes))}
	for _, r := range m.Outcomes {
		h.records[r.Counter] = r
	}
	l.handovers[key] = h
	e.emit(model.Event{Name: "BookingsTakenOver", Subject: string(m.Owner), After: strconv.Itoa(len(m.Outcomes))})
	l.kept = append(l.kept, expiring[owner]{key, e.now + e.limits.ReservationTTL})
	l.setTimer()
}

// outcome answers a call for an id of the stopped owner. None of its ids runs
// any more.
func (h *handover) outcome(n, digest uint64) bookResult {
	r, used := h.records[n]
	switch {
	case n > h.issued:
		return bookResult{err: model.KindBadBookingID, execution: model.NotRun, message: msgUnknownID}
	case n < h.first:
		return bookResult{err: model.KindBookingExpired, execution: model.Unknown, message: msgExpired}
	case !used:
		return bookResult{err: model.KindOwnerLost, execution: model.NotRun, message: msgHandedOver}
	case r.BodyDigest != digest && r.Error != model.KindBookingExpired:
		return bookResult{err: model.KindBookingConflict, execution: model.NotRun, message: msgConflict}
	}
	out := bookResult{err: r.Error, execution: r.Execution, target: r.Target, body: r.Body, repeat: true}
	switch r.Execution {
	case model.NotRun:
		out.message = msgNotRun
	case model.Unknown:
		out.message = msgOwnerLost
	}
	return out
}

// successorOf is the instance that holds the booking ids of a stopped owner,
// empty if it is not known.
func (e *Engine) successorOf(id model.InstanceID) model.InstanceID {
	if id == e.cfg.Self {
		return e.view.Successor()
	}
	if s, ok := e.view.(view.Successors); ok {
		return s.SuccessorOf(id)
	}
	return ""
}
