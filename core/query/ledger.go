package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// ledger remembers the booking ids that this instance has issued, the
// outcomes of those used, the handovers of stopped owners, and the relayed
// bookings that this instance has seen as a lead.
type ledger struct {
	all     table[booking]
	index   map[uint64]int32 // by counter
	running int

	issued  uint64
	batches []batch // in order of issue; the first ones have expired
	valid   int     // first batch that has not expired

	handovers map[owner]*handover
	kept      []expiring[owner]

	seen     map[model.WorkRef]struct{}
	seenList []expiring[model.WorkRef]

	timers *timers
	timer  int32
	ttl    time.Duration
}

// batch is a range of ids that were issued together.
type batch struct {
	first, last uint64
	until       time.Duration
	used        []uint64 // bit for each id, kept for one more valid time
}

type owner struct {
	id          model.InstanceID
	incarnation model.Incarnation
}

type expiring[T any] struct {
	key   T
	until time.Duration
}

func (l *ledger) init(t *timers) {
	l.index = map[uint64]int32{}
	l.handovers = map[owner]*handover{}
	l.seen = map[model.WorkRef]struct{}{}
	l.timers = t
	l.timer = t.create(timerReservations, none)
}

// issue reserves n ids and returns the counter of the first.
func (l *ledger) issue(n int, now, ttl time.Duration) uint64 {
	first := l.issued + 1
	l.issued += uint64(n)
	l.ttl = ttl
	l.batches = append(l.batches, batch{
		first: first, last: l.issued, until: now + ttl, used: make([]uint64, (n+63)/64),
	})
	l.setTimer()
	return first
}

func (l *ledger) batchOf(n uint64) *batch {
	lo, hi := 0, len(l.batches)
	for lo < hi {
		mid := (lo + hi) / 2
		if l.batches[mid].last < n {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(l.batches) || n < l.batches[lo].first {
		return nil
	}
	return &l.batches[lo]
}

// use starts the record of an id. The id must be usable.
func (l *ledger) use(n, digest uint64) (int32, *booking) {
	b := l.batchOf(n)
	k := n - b.first
	b.used[k/64] |= 1 << (k % 64)
	i, r := l.all.alloc()
	*r = booking{counter: n, digest: digest, attempt: none}
	l.index[n] = i
	return i, r
}

// unusable gives the answer for an id without a record that cannot be used.
func (l *ledger) unusable(n uint64, now time.Duration) (bookResult, bool) {
	if n == 0 || n > l.issued {
		return bookResult{err: model.KindBadBookingID, execution: model.NotRun, message: msgUnknownID}, true
	}
	b := l.batchOf(n)
	if b != nil && now < b.until {
		return bookResult{}, false
	}
	r := bookResult{err: model.KindBookingExpired, execution: model.Unknown, message: msgExpired}
	if b != nil && !b.isUsed(n) {
		r.execution = model.NotRun
	}
	return r, true
}

func (b *batch) isUsed(n uint64) bool {
	k := n - b.first
	return b.used[k/64]&(1<<(k%64)) != 0
}

// firstSight reports whether a relayed booking is seen for the first time.
func (l *ledger) firstSight(ref model.WorkRef, until time.Duration) bool {
	if _, ok := l.seen[ref]; ok {
		return false
	}
	l.seen[ref] = struct{}{}
	l.seenList = append(l.seenList, expiring[model.WorkRef]{ref, until})
	l.setTimer()
	return true
}

func (l *ledger) setTimer() {
	at := model.NoWake
	if l.valid < len(l.batches) {
		at = l.batches[l.valid].until
	}
	if len(l.batches) > 0 {
		at = min(at, l.batches[0].until+l.ttl)
	}
	if len(l.seenList) > 0 {
		at = min(at, l.seenList[0].until)
	}
	if len(l.kept) > 0 {
		at = min(at, l.kept[0].until)
	}
	if at == model.NoWake {
		l.timers.clear(l.timer)
		return
	}
	l.timers.set(l.timer, at)
}

// expireBookings drops what is past its time.
func (e *Engine) expireBookings() {
	l := &e.bookings
	for l.valid < len(l.batches) && l.batches[l.valid].until <= e.now {
		b := &l.batches[l.valid]
		for n := b.first; n <= b.last; n++ {
			if i, ok := l.index[n]; ok {
				e.dropBooking(i)
			}
		}
		l.valid++
	}
	for l.valid > 0 && l.batches[0].until+l.ttl <= e.now {
		l.batches = l.batches[1:]
		l.valid--
	}
	for len(l.seenList) > 0 && l.seenList[0].until <= e.now {
		delete(l.seen, l.seenList[0].key)
		l.seenList = l.seenList[1:]
	}
	for len(l.kept) > 0 && l.kept[0].until <= e.now {
		delete(l.handovers, l.kept[0].key)
		l.kept = l.kept[1:]
	}
	l.setTimer()
}
