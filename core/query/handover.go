package query

import (
	"slices"
	"strconv"

	"galenadyke.dev/core/model"
)

const (
	// Limits of one handover message. They keep the message well below the 4 MiB
	// that gRPC accepts.
	maxHandoverBytes   = 1 << 20
	maxHandoverRecords = 4096
)

// bookingHandover holds the booking outcomes received from an owner that has
// stopped.
type bookingHandover struct {
	ranges  []idRange                      // received ranges; their ids without a record are unused
	records map[uint64]model.BookingRecord // outcomes of used ids, by counter
}

// idRange is a range of booking id counters, both ends included.
type idRange struct{ first, last uint64 }

// handOverBookings sends the booking outcomes of this instance, and those that it
// took over from other owners, to the successor of each owner.
func (e *Engine) handOverBookings() {
	l := &e.ledger
	s := handoverSender{e: e, to: e.successorOf(e.cfg.Self)}
	for k := range l.batches {
		b := &l.batches[k]
		s.beginRange(e.selfOwner(), b.first)
		for counter := b.first; counter <= b.last; counter++ {
			if b.isUsed(counter) {
				s.add(l.record(counter))
			}
		}
		s.endRange(b.last)
	}
	s.flush()
	for _, k := range l.handoverExpiries {
		s = handoverSender{e: e, to: e.successorOf(k.key.id)}
		h := l.handovers[k.key]
		for _, r := range h.ranges {
			s.beginRange(k.key, r.first)
			for counter := r.first; counter <= r.last; counter++ {
				if rec, ok := h.records[counter]; ok {
					s.add(rec)
				}
			}
			s.endRange(r.last)
		}
		s.flush()
	}
}

// handoverSender splits a handover into messages. Each message lists every used
// id of its range.
type handoverSender struct {
	e       *Engine
	to      model.InstanceID
	message model.BookingHandover
	bytes   int // body bytes in the message
}

// beginRange begins a range of ids. A range that directly follows the previous
// range of the same owner continues its message.
func (s *handoverSender) beginRange(o owner, first uint64) {
	if s.message.First != 0 && first == s.message.Issued+1 {
		return
	}
	s.flush()
	s.message = model.BookingHandover{Owner: o.id, Incarnation: o.incarnation, First: first, Issued: first - 1}
}

func (s *handoverSender) add(r model.BookingRecord) {
	s.message.Outcomes = append(s.message.Outcomes, r)
	s.message.Issued = r.Counter
	s.bytes += len(r.Body)
	if s.bytes >= maxHandoverBytes || len(s.message.Outcomes) >= maxHandoverRecords {
		next := model.BookingHandover{Owner: s.message.Owner, Incarnation: s.message.Incarnation, First: r.Counter + 1, Issued: r.Counter}
		s.flush()
		s.message = next
	}
}

func (s *handoverSender) endRange(last uint64) { s.message.Issued = last }

func (s *handoverSender) flush() {
	m := s.message
	s.message, s.bytes = model.BookingHandover{}, 0
	if m.First == 0 || m.Issued < m.First || s.to == "" || s.to == s.e.cfg.Self {
		return
	}
	s.e.sendToPeer(s.e.peerFor(s.to), m)
	s.e.emit(model.Event{Name: "BookingsHandedOver", Subject: string(s.to), After: strconv.Itoa(len(m.Outcomes))})
}

// record returns the outcome of a used id as a handover record. If the outcome was
// deleted because the id has expired, the record says so.
func (l *ledger) record(counter uint64) model.BookingRecord {
	i, ok := l.index[counter]
	if !ok {
		return model.BookingRecord{Counter: counter, Error: model.KindBookingExpired, Execution: model.Unknown}
	}
	b := l.records.at(i)
	return model.BookingRecord{
		Counter: counter, BodyDigest: b.digest, Error: b.result.kind, Execution: b.result.execution,
		Target: b.result.target, Body: b.result.body,
	}
}

// handleBookingHandover takes over a range of booking ids from an owner that has
// stopped. A range that was received before is ignored.
func (e *Engine) handleBookingHandover(m model.BookingHandover) {
	l := &e.ledger
	key := owner{m.Owner, m.Incarnation}
	h := l.handovers[key]
	if h == nil {
		h = &bookingHandover{records: make(map[uint64]model.BookingRecord, len(m.Outcomes))}
		l.handovers[key] = h
		l.handoverExpiries = append(l.handoverExpiries, expiry[owner]{key, e.now + e.limits.ReservationTTL})
		l.updateTimer()
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

// resultFor returns the result of a call for an id of the stopped owner. An unused
// id within the ranges can no longer run. Whether an id outside the ranges was
// used is unknown.
func (h *bookingHandover) resultFor(counter, digest uint64) bookResult {
	known := slices.ContainsFunc(h.ranges, func(r idRange) bool { return counter >= r.first && counter <= r.last })
	r, used := h.records[counter]
	switch {
	case !known:
		return bookResult{kind: model.KindBookingExpired, execution: model.Unknown, message: msgExpired}
	case !used:
		return bookResult{kind: model.KindOwnerLost, execution: model.NotRun, message: msgHandedOver}
	case r.BodyDigest != digest && r.Error != model.KindBookingExpired:
		return bookResult{kind: model.KindBookingConflict, execution: model.NotRun, message: msgConflict}
	}
	out := bookResult{kind: r.Error, execution: r.Execution, target: r.Target, body: r.Body, repeat: true}
	switch r.Execution {
	case model.NotRun:
		out.message = msgNotRun
	case model.Unknown:
		out.message = msgOwnerLost
	}
	return out
}

// successorOf returns the instance that takes over the booking ids of a stopped
// owner, empty if there is none.
func (e *Engine) successorOf(id model.InstanceID) model.InstanceID {
	if id == e.cfg.Self {
		return e.view.Successor()
	}
	return e.view.SuccessorOf(id)
}
