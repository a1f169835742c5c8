package fleet

import (
	"fmt"
	"math"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/rank"
	"galenadyke.dev/core/view"
)

// configuration holds the set in force and how it is read and fetched.
type configuration struct {
	set *objects.Set
	raw []byte

	readPending  bool
	readSentAt   time.Duration
	readWatch    time.Duration // watch of the outstanding read
	readIndex    uint64
	readDue      time.Duration // not before
	readTimerAt  time.Duration // latest timer that was set
	skipWatch    bool          // the next read must not wait
	readBackoff  time.Duration
	wasReader    bool
	serviceOrder model.ConfigOrder // last set that the service returned

	fetching   bool
	fetchOrder model.ConfigOrder
	fetchDue   time.Duration
	fetchTries int

	confirmed     bool // confirmedAt is set
	confirmedAt   time.Duration
	confirmTimer  bool
	confirmLapsed bool // no confirmation for view.ConfirmMaxAge
}

func orderOf(s *objects.Set) model.ConfigOrder {
	if s == nil {
		return model.ConfigOrder{}
	}
	return model.ConfigOrder{Generation: s.Generation, Digest: s.Digest}
}

func laterOrder(a, b model.ConfigOrder) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.Digest > b.Digest
}

func formatOrder(o model.ConfigOrder) string {
	if o.Generation == 0 {
		return ""
	}
	return fmt.Sprintf("%d/%s", o.Generation, o.Digest)
}

func (f *Fleet) configOrder() model.ConfigOrder { return orderOf(f.set) }

func (f *Fleet) configState() model.ConfigState {
	s := model.ConfigState{Order: f.configOrder(), Confirmed: f.confirmed}
	if f.confirmed {
		s.ConfirmedAge = f.now - f.confirmedAt
	}
	return s
}

// readsBefore reports whether the member ranks before this instance for
// reading the configuration service.
func (f *Fleet) outranksSelfAsReader(m *member) bool {
	key := rank.Hash("config")
	a, b := rank.Score(key, m.hash), rank.Score(key, f.self.hash)
	return a > b || a == b && m.id < f.self.id
}

func (f *Fleet) readerCount() int {
	return max(minReaders, int(math.Ceil(math.Sqrt(float64(f.candidateCount)))))
}

func (f *Fleet) isReader() bool { return f.self.readerCandidate && f.candidatesAhead < f.readerCount() }

// scheduleRead reads the service, or sets the timer for it, if this instance
// is a reader or has no recent confirmation.
func (f *Fleet) scheduleRead() {
	f.updateLapsed()
	reader := f.isReader()
	if reader && !f.wasReader {
		f.readDue = f.now
	}
	f.wasReader = reader
	if f.readPending || !f.hasList || !reader && !f.confirmLapsed {
		return
	}
	if f.readDue > f.now {
		f.setReadTimer()
		return
	}
	if !reader && !f.shouldReadUnconfirmed() {
		f.delayRead()
		f.setReadTimer()
		return
	}
	f.sendRead(reader)
}

// drawRead decides whether an unconfirmed instance that is no reader reads
// now. If it reaches the other members, the service is likely to be down for
// all of them: the expected number of reads is then that of the readers, so
// that reads do not grow with the fleet while it is down and when it returns.
func (f *Fleet) shouldReadUnconfirmed() bool {
	n := len(f.listed)
	if 2*f.reachedCount <= n {
		return true
	}
	return f.rng.IntN(n) < f.readerCount()
}

func (f *Fleet) setReadTimer() {
	if f.readTimerAt > f.now && f.readTimerAt <= f.readDue {
		return
	}
	f.readTimerAt = f.readDue
	f.timers.push(timer{kind: timerRead, at: f.readDue})
}

// readExpired allows the next timer. The read follows at the end of the tick.
func (f *Fleet) readExpired(at time.Duration) {
	if f.readTimerAt == at {
		f.readTimerAt = 0
	}
}

func (f *Fleet) sendRead(watch bool) {
	msg := model.ReadConfig{}
	if watch && !f.skipWatch {
		msg = model.ReadConfig{Index: f.readIndex, Wait: readWait}
	}
	if msg.Index == 0 {
		msg.Wait = 0
	}
	f.skipWatch = false
	f.readPending, f.readSentAt, f.readWatch = true, f.now, msg.Wait
	f.emit(msg)
}

// backOff delays the next read.
func (f *Fleet) delayRead() {
	if f.readBackoff == 0 {
		f.readBackoff = readBackoffMin
	}
	half := int64(f.readBackoff / 2)
	f.readDue = f.now + time.Duration(half+f.rng.Int64N(half+1))
	f.readBackoff = min(2*f.readBackoff, readBackoffMax)
}

func (f *Fleet) handleConfigResult(in *model.ConfigResult) {
	if !f.readPending {
		return
	}
	f.readPending = false
	if !in.OK {
		f.skipWatch = true
		f.delayRead()
		return
	}
	f.readBackoff = 0
	f.readDue = f.readSentAt + readMinGap
	f.readIndex = in.Index
	if in.Set != nil {
		f.serviceOrder = orderOf(in.Set)
		f.adopt(in.Set, in.Raw, nil)
		if laterOrder(f.configOrder(), f.serviceOrder) {
			f.warn("ConfigServiceStale", formatOrder(f.serviceOrder), formatOrder(f.configOrder()), formatOrder(f.serviceOrder))
		}
	}
	if f.set == nil || f.readSentAt < f.resumedAt || f.serviceOrder != f.configOrder() {
		// The service holds an older set than the fleet, or the answer may be
		// as old as the suspension: it confirms nothing.
		return
	}
	f.confirm(min(f.now, f.readSentAt+f.readWatch))
}

func (f *Fleet) handlePeerConfig(in *model.PeerConfig) {
	if in.Set != nil {
		f.adopt(in.Set, in.Raw, f.byID[in.From])
	}
}

// adopt puts a set in force if it comes after the present one, and announces
// it.
func (f *Fleet) adopt(set *objects.Set, raw []byte, from *member) {
	before, after := f.configOrder(), orderOf(set)
	if !set.Newer(f.set) {
		if before.Generation == after.Generation && before.Digest != after.Digest {
			f.warn("ConfigSuperseded", formatOrder(after), formatOrder(after), formatOrder(before))
		}
		return
	}
	if before.Generation == after.Generation {
		f.warn("ConfigSuperseded", formatOrder(before), formatOrder(before), formatOrder(after))
	}
	f.event("ConfigAccepted", formatOrder(after), formatOrder(before), formatOrder(after))
	old := f.set
	f.set, f.raw = set, raw
	f.changes.Set = true
	if !laterOrder(f.fetchOrder, after) {
		f.fetching, f.fetchTries = false, 0
	}
	f.loadSet(old)
	for _, m := range f.randomPeers(f.announceFanout(), from) {
		f.send(m, model.ConfigAnnounce{Config: f.configState()})
	}
}

func (f *Fleet) handleConfigAnnounce(m *member, msg *model.ConfigAnnounce) {
	f.fetchIfLater(m, msg.Config.Order)
	if laterOrder(f.configOrder(), msg.Config.Order) {
		f.send(m, model.ConfigAnnounce{Config: f.configState()})
	}
}

// noteConfig fetches a set that a peer has and this instance lacks.
func (f *Fleet) fetchIfLater(m *member, order model.ConfigOrder) {
	if !laterOrder(order, f.configOrder()) {
		return
	}
	if f.fetching && f.fetchDue > f.now && !laterOrder(order, f.fetchOrder) {
		return
	}
	if order != f.fetchOrder {
		f.fetchTries = 0
	}
	wait := min(fetchTimeout<<min(f.fetchTries, 8), fetchTimeoutMax)
	f.fetchTries++
	f.fetching, f.fetchOrder = true, order
	f.fetchDue = f.startTimer(wait, timer{kind: timerFetch})
	f.send(m, model.ConfigFetch{Have: f.configOrder()})
}

// fetchExpired lets the next message of any peer start the fetch again.
func (f *Fleet) fetchExpired() {
	if f.fetching && f.fetchDue <= f.now {
		f.fetching = false
	}
}

func (f *Fleet) handleConfigFetch(m *member, msg *model.ConfigFetch) {
	if f.set != nil && laterOrder(f.configOrder(), msg.Have) {
		f.send(m, model.ConfigSet{Raw: f.raw})
	}
}

// confirm notes that the set in force was valid at a time on Boot.
func (f *Fleet) confirm(at time.Duration) {
	if f.confirmed && at <= f.confirmedAt {
		return
	}
	f.confirmed, f.confirmedAt = true, at
	f.setConfirmTimer()
}

// setConfirmTimer keeps one timer, so that frequent confirmations cost none.
func (f *Fleet) setConfirmTimer() {
	if !f.confirmTimer && f.hasFreshConfirm() {
		f.confirmTimer = true
		f.timers.push(timer{kind: timerConfirm, at: f.confirmedAt + view.ConfirmMaxAge + 1})
	}
}

func (f *Fleet) confirmExpired() {
	f.confirmTimer = false
	f.setConfirmTimer()
}

func (f *Fleet) hasFreshConfirm() bool {
	return f.confirmed && f.now-f.confirmedAt <= view.ConfirmMaxAge
}

// updateLapsed starts the own reads of an instance whose confirmation lapsed.
func (f *Fleet) updateLapsed() {
	lapsed := !f.hasFreshConfirm() && f.now-max(f.startedAt, f.resumedAt) > view.ConfirmMaxAge
	if lapsed == f.confirmLapsed {
		return
	}
	f.confirmLapsed = lapsed
	if !lapsed {
		f.event("ConfigConfirmed", formatOrder(f.configOrder()), "unconfirmed", "confirmed")
		return
	}
	f.warn("ConfigUnconfirmed", formatOrder(f.configOrder()), "confirmed", "unconfirmed")
	if !f.isReader() {
		f.readBackoff = 0
		f.delayRead()
	}
}
