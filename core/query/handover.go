package query

import (
	"slices"
	"strconv"

	"galenadyke.dev/core/model"
)

const (
	// One handover message stays well below the 4 MiB that gRPC accepts.
	handoverBytes   = 1 << 20
	handoverRecords = 4096
)

// handover holds the booking outcomes of an owner that has stopped.
type handover struct {
	ranges  []idRange // ids whose use is known
	records map[uint64]model.BookingRecord
}

type idRange struct{ first, last uint64 }

// handOver sends the outcomes of this instance, and those that it has taken
// over, to their successors.
func (e *Engine) handOver() {
	l := &e.bookings
	s := handoverSender{e: e, to: e.successorOf(e.cfg.Self)}
	for k := range l.batches {
		b := &l.batches[k]
		s.start(e.owner(), b.first)
		for n := b.first; n <= b.last; n++ {
			if b.isUsed(n) {
				s.add(l.record(n))
			}
		}
		s.end(b.last)
	}
	s.flush()
	for _, k := range l.kept {
		s = handoverSender{e: e, to: e.successorOf(k.key.id)}
		h := l.handovers[k.key]
		for _, r := range h.ranges {
			s.start(k.key, r.first)
			for n := r.first; n <= r.last; n++ {
				if rec, ok := h.records[n]; ok {
					s.add(rec)
				}
			}
			s.end(r.last)
		}
		s.flush()
	}
}

// handoverSender cuts a handover into messages, each complete for its range.
type handoverSender struct {
	e     *Engine
	to    model.InstanceID
	m     model.BookingHandover
	bytes int
}

// start begins a range. A range that follows the one before joins it.
func (s *handoverSender) start(o owner, first uint64) {
	if s.m.First != 0 && first == s.m.Issued+1 {
		return
	}
	s.flush()
	s.m = model.BookingHandover{Owner: o.id, Incarnation: o.incarnation, First: first, Issued: first - 1}
}

func (s *handoverSender) add(r model.BookingRecord) {
	s.m.Outcomes = append(s.m.Outcomes, r)
	s.m.Issued = r.Counter
	s.bytes += len(r.Body)
	if s.bytes >= handoverBytes || len(s.m.Outcomes) >= handoverRecords {
		next := model.BookingHandover{Owner: s.m.Owner, Incarnation: s.m.Incarnation, First: r.Counter + 1, Issued: r.Counter}
		s.flush()
		s.m = next
	}
}

func (s *handoverSender) end(last uint64) { s.m.Issued = last }

func (s *handoverSender) flush() {
	m := s.m
	s.m, s.bytes = model.BookingHandover{}, 0
	if m.First == 0 || m.Issued < m.First || s.to == "" || s.to == s.e.cfg.Self {
		return
	}
	s.e.send(s.e.peer(s.to), m)
	s.e.emit(model.Event{Name: "BookingsHandedOver", Subject: string(s.to), After: strconv.Itoa(len(m.Outcomes))})
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

// bookingHandover takes over a range of ids of an owner that has stopped.
func (e *Engine) bookingHandover(m model.BookingHandover) {
	l := &e.bookings
	key := owner{m.Owner, m.Incarnation}
	h := l.handovers[key]
	if h == nil {
		h = &handover{records: make(map[uint64]model.BookingRecord, len(m.Outcomes))}
		l.handovers[key] = h
		l.kept = append(l.kept, expiring[owner]{key, e.now + e.limits.ReservationTTL})
		l.setTimer()
	}
	r := idRange{m.First, m.Issued}
	if slices.Contains(h.ranges, r) {
		return
	}
	h.ranges = append(h.ranges, r)
	for _, rec := range m.Outcomes {
		h.records[rec.Counter] = rec
	}
	e.emit(model.Event{Name: "BookingsTakenOver", Subject: string(m.Owner), After: strconv.Itoa(len(m.Outcomes))})
}

// outcome answers a call for an id of the stopped owner. None of its ids runs
// any more, but the use of ids outside the ranges is not known.
func (h *handover) outcome(n, digest uint64) bookResult {
	known := slices.ContainsFunc(h.ranges, func(r idRange) bool { return n >= r.first && n <= r.last })
	r, used := h.records[n]
	switch {
	case !known:
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
	return e.view.SuccessorOf(id)
}
