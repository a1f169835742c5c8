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

// configuration holds the set in force and the state of its reads from the
// configuration service, its fetches from peers and its confirmation.
type configuration struct {
	set *objects.Set
	raw []byte // encoded form of set

	readPending  bool // a ConfigResult is outstanding
	readSentAt   time.Duration
	readWatch    time.Duration     // watch time of the outstanding read
	readIndex    uint64            // index of the last result, for the next watch
	readDue      time.Duration     // earliest time of the next read
	readTimerAt  time.Duration     // expiry of the last read timer, 0 once it has expired
	skipWatch    bool              // the next read must return at once
	readBackoff  time.Duration     // next backoff before jitter, 0 for the minimum
	wasReader    bool              // isReader at the end of the previous tick
	serviceOrder model.ConfigOrder // order of the last valid set that the service returned

	fetching   bool
	fetchOrder model.ConfigOrder // order of the set that is or was fetched
	fetchDue   time.Duration     // when another fetch may start
	fetchTries int               // fetches of fetchOrder

	confirmed     bool          // confirmedAt is set
	confirmedAt   time.Duration // latest time at which the set was known to be valid
	confirmTimer  bool          // a timerConfirm is set
	confirmLapsed bool          // no confirmation within view.ConfirmMaxAge
}

func orderOf(s *objects.Set) model.ConfigOrder {
	if s == nil {
		return model.ConfigOrder{}
	}
	return model.ConfigOrder{Generation: s.Generation, Digest: s.Digest}
}

func isLaterOrder(a, b model.ConfigOrder) bool {
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

// outranksSelfAsReader reports whether the member ranks before this instance in
// the choice of the readers of the configuration service.
func (f *Fleet) outranksSelfAsReader(m *member) bool {
	key := rank.Hash("config")
	a, b := rank.Score(key, m.hash), rank.Score(key, f.self.hash)
	return a > b || a == b && m.id < f.self.id
}

func (f *Fleet) readerCount() int {
	return max(minReaders, int(math.Ceil(math.Sqrt(float64(f.candidateCount)))))
}

func (f *Fleet) isReader() bool { return f.self.readerCandidate && f.candidatesAhead < f.readerCount() }

// scheduleRead sends a read to the configuration service, or sets the timer for
// the next read, if this instance is a reader or its confirmation has lapsed.
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

// shouldReadUnconfirmed decides whether an unconfirmed instance that is not a
// reader reads now. If most members are reachable, the service is probably down
// for all of them. Each instance then reads with a probability of
// readerCount / members, so that the load grows no faster than the number of
// readers while the service is down and when it returns.
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

// readExpired records that no read timer is set. scheduleRead sends the read at
// the end of the tick.
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

// delayRead delays the next read by a random time between half of the backoff and
// the whole, and doubles the backoff up to readBackoffMax.
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
		if isLaterOrder(f.configOrder(), f.serviceOrder) {
			f.emitWarning("ConfigServiceStale", formatOrder(f.serviceOrder), formatOrder(f.configOrder()), formatOrder(f.serviceOrder))
		}
	}
	if f.set == nil || f.readSentAt < f.resumedAt || f.serviceOrder != f.configOrder() {
		// The result confirms nothing: the service holds another set than this
		// instance, or the read was sent before the end of a suspension.
		return
	}
	f.confirm(min(f.now, f.readSentAt+f.readWatch))
}

func (f *Fleet) handlePeerConfig(in *model.PeerConfig) {
	if in.Set != nil {
		f.adopt(in.Set, in.Raw, f.byID[in.From])
	}
}

// adopt puts a set in force if it is later than the present set, and announces
// it to peers other than from, which may be nil.
func (f *Fleet) adopt(set *objects.Set, raw []byte, from *member) {
	before, after := f.configOrder(), orderOf(set)
	if !set.Newer(f.set) {
		if before.Generation == after.Generation && before.Digest != after.Digest {
			f.emitWarning("ConfigSuperseded", formatOrder(after), formatOrder(after), formatOrder(before))
		}
		return
	}
	if before.Generation == after.Generation {
		f.emitWarning("ConfigSuperseded", formatOrder(before), formatOrder(before), formatOrder(after))
	}
	f.emitEvent("ConfigAccepted", formatOrder(after), formatOrder(before), formatOrder(after))
	old := f.set
	f.set, f.raw = set, raw
	f.changes.Set = true
	if !isLaterOrder(f.fetchOrder, after) {
		f.fetching, f.fetchTries = false, 0
	}
	f.loadSet(old)
	for _, m := range f.randomPeers(f.announceFanout(), from) {
		f.send(m, model.ConfigAnnounce{Config: f.configState()})
	}
}

func (f *Fleet) handleConfigAnnounce(m *member, msg *model.ConfigAnnounce) {
	f.fetchIfLater(m, msg.Config.Order)
	if isLaterOrder(f.configOrder(), msg.Config.Order) {
		f.send(m, model.ConfigAnnounce{Config: f.configState()})
	}
}

// fetchIfLater fetches the set with the given order from a peer if it is later than
// the set in force, unless a fetch of it or of a later set is outstanding.
func (f *Fleet) fetchIfLater(m *member, order model.ConfigOrder) {
	if !isLaterOrder(order, f.configOrder()) {
		return
	}
	if f.fetching && f.fetchDue > f.now && !isLaterOrder(order, f.fetchOrder) {
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

// fetchExpired ends an unanswered fetch, so that the next message from any peer
// with a later set starts another fetch.
func (f *Fleet) fetchExpired() {
	if f.fetching && f.fetchDue <= f.now {
		f.fetching = false
	}
}

func (f *Fleet) handleConfigFetch(m *member, msg *model.ConfigFetch) {
	if f.set != nil && isLaterOrder(f.configOrder(), msg.Have) {
		f.send(m, model.ConfigSet{Raw: f.raw})
	}
}

// confirm records that the set in force was valid at the given time on the Boot
// clock.
func (f *Fleet) confirm(at time.Duration) {
	if f.confirmed && at <= f.confirmedAt {
		return
	}
	f.confirmed, f.confirmedAt = true, at
	f.setConfirmTimer()
}

// setConfirmTimer sets the timer for the lapse of the confirmation, unless the
// timer is set already. Frequent confirmations therefore share one timer.
func (f *Fleet) setConfirmTimer() {
	if !f.confirmTimer && f.hasFreshConfirmation() {
		f.confirmTimer = true
		f.timers.push(timer{kind: timerConfirm, at: f.confirmedAt + view.ConfirmMaxAge + 1})
	}
}

func (f *Fleet) confirmExpired() {
	f.confirmTimer = false
	f.setConfirmTimer()
}

func (f *Fleet) hasFreshConfirmation() bool {
	return f.confirmed && f.now-f.confirmedAt <= view.ConfirmMaxAge
}

// updateLapsed updates confirmLapsed. After a lapse, an instance that is not a
// reader begins to read the service itself.
func (f *Fleet) updateLapsed() {
	lapsed := !f.hasFreshConfirmation() && f.now-max(f.startedAt, f.resumedAt) > view.ConfirmMaxAge
	if lapsed == f.confirmLapsed {
		return
	}
	f.confirmLapsed = lapsed
	if !lapsed {
		f.emitEvent("ConfigConfirmed", formatOrder(f.configOrder()), "unconfirmed", "confirmed")
		return
	}
	f.emitWarning("ConfigUnconfirmed", formatOrder(f.configOrder()), "confirmed", "unconfirmed")
	if !f.isReader() {
		f.readBackoff = 0
		f.delayRead()
	}
}
