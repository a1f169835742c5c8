package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// ledger holds the booking ids that this instance has issued, the outcomes of the
// used ids, the handovers received from stopped owners, and the relayed bookings
// that this instance has received as a lead.
type ledger struct {
	records table[booking]
	index   map[uint64]int32 // index of each record, by the counter of the booking id
	running int              // number of running bookings

	issued     uint64  // counter of the last issued id
	batches    []batch // in order of issue; those before firstValid have expired
	firstValid int     // index of the first batch that has not expired
	bytes      int     // memory of the batches

	handovers        map[owner]*bookingHandover
	handoverExpiries []expiry[owner]

	seenRelays   map[model.WorkRef]struct{} // relayed bookings already received, whose repeats are ignored
	seenExpiries []expiry[model.WorkRef]

	timers *timers
	timer  int32
	ttl    time.Duration // time for which the last issued ids are valid
}

// batch is a range of booking ids that were issued together.
type batch struct {
	first, last uint64
	expiresAt   time.Duration
	used        []uint64 // one bit for each id; kept for another TTL after expiry
}

// owner identifies the incarnation of the instance that issued a booking id.
type owner struct {
	id          model.InstanceID
	incarnation model.Incarnation
}

// expiry is the time at which an entry of a map is deleted.
type expiry[T any] struct {
	key       T
	expiresAt time.Duration
}

func (l *ledger) init(t *timers) {
	l.index = map[uint64]int32{}
	l.handovers = map[owner]*bookingHandover{}
	l.seenRelays = map[model.WorkRef]struct{}{}
	l.timers = t
	l.timer = t.create(timerLedger, none)
}

// batchBytes is the memory of a batch of count ids.
func batchBytes(count int) int { return 64 + (count+63)/64*8 }

// issueIDs issues count booking ids that are valid for ttl and returns the counter
// of the first id.
func (l *ledger) issueIDs(count int, now, ttl time.Duration) uint64 {
	first := l.issued + 1
	l.issued += uint64(count)
	l.ttl = ttl
	l.bytes += batchBytes(count)
	l.batches = append(l.batches, batch{
		first: first, last: l.issued, expiresAt: now + ttl, used: make([]uint64, (count+63)/64),
	})
	l.updateTimer()
	return first
}

// findBatch returns the batch of the id with the given counter, nil if there is
// none.
func (l *ledger) findBatch(counter uint64) *batch {
	lo, hi := 0, len(l.batches)
	for lo < hi {
		mid := (lo + hi) / 2
		if l.batches[mid].last < counter {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(l.batches) || counter < l.batches[lo].first {
		return nil
	}
	return &l.batches[lo]
}

// startRecord marks the id as used and returns its new record. The id must be
// valid and unused.
func (l *ledger) startRecord(counter, digest uint64) (int32, *booking) {
	b := l.findBatch(counter)
	offset := counter - b.first
	b.used[offset/64] |= 1 << (offset % 64)
	i, r := l.records.alloc()
	*r = booking{counter: counter, digest: digest, attempt: none}
	l.index[counter] = i
	return i, r
}

// unusableResult returns the result for an id that has no record and was never
// issued or has expired. The second value is false if the id can be used.
func (l *ledger) unusableResult(counter uint64, now time.Duration) (bookResult, bool) {
	if counter == 0 || counter > l.issued {
		return bookResult{kind: model.KindBadBookingID, execution: model.NotRun, message: msgUnknownID}, true
	}
	b := l.findBatch(counter)
	if b != nil && now < b.expiresAt {
		return bookResult{}, false
	}
	r := bookResult{kind: model.KindBookingExpired, execution: model.Unknown, message: msgExpired}
	if b != nil && !b.isUsed(counter) {
		r.execution = model.NotRun
	}
	return r, true
}

func (b *batch) isUsed(counter uint64) bool {
	offset := counter - b.first
	return b.used[offset/64]&(1<<(offset%64)) != 0
}

// markRelaySeen records that a relayed booking was received and reports whether
// this was the first time.
func (l *ledger) markRelaySeen(ref model.WorkRef, expiresAt time.Duration) bool {
	if _, ok := l.seenRelays[ref]; ok {
		return false
	}
	l.seenRelays[ref] = struct{}{}
	l.seenExpiries = append(l.seenExpiries, expiry[model.WorkRef]{ref, expiresAt})
	l.updateTimer()
	return true
}

// updateTimer sets the timer to the next expiry of any entry.
func (l *ledger) updateTimer() {
	at := model.NoWake
	if l.firstValid < len(l.batches) {
		at = l.batches[l.firstValid].expiresAt
	}
	if len(l.batches) > 0 {
		at = min(at, l.batches[0].expiresAt+l.ttl)
	}
	if len(l.seenExpiries) > 0 {
		at = min(at, l.seenExpiries[0].expiresAt)
	}
	if len(l.handoverExpiries) > 0 {
		at = min(at, l.handoverExpiries[0].expiresAt)
	}
	if at == model.NoWake {
		l.timers.clear(l.timer)
		return
	}
	l.timers.set(l.timer, at)
}

// expireLedger deletes the expired records, batches, relay references and
// handovers.
func (e *Engine) expireLedger() {
	l := &e.ledger
	for l.firstValid < len(l.batches) && l.batches[l.firstValid].expiresAt <= e.now {
		b := &l.batches[l.firstValid]
		for counter := b.first; counter <= b.last; counter++ {
			if i, ok := l.index[counter]; ok {
				e.dropBooking(i)
			}
		}
		l.firstValid++
	}
	for l.firstValid > 0 && l.batches[0].expiresAt+l.ttl <= e.now {
		l.bytes -= batchBytes(int(l.batches[0].last - l.batches[0].first + 1))
		l.batches = l.batches[1:]
		l.firstValid--
	}
	for len(l.seenExpiries) > 0 && l.seenExpiries[0].expiresAt <= e.now {
		delete(l.seenRelays, l.seenExpiries[0].key)
		l.seenExpiries = l.seenExpiries[1:]
	}
	for len(l.handoverExpiries) > 0 && l.handoverExpiries[0].expiresAt <= e.now {
		delete(l.handovers, l.handoverExpiries[0].key)
		l.handoverExpiries = l.handoverExpiries[1:]
	}
	l.updateTimer()
}
