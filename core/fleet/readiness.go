package fleet

import (
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// readiness holds whether new work may be sent, and why not.
type readiness struct {
	ready      view.Readiness
	announced  model.Ready
	everReady  bool // an announcement was made
	startedAt  time.Duration
	listedAt   time.Duration // first list
	superseded bool          // a later life of this instance exists
	resumedAt  time.Duration // end of the last suspension
	fenced     bool          // not confirmed since resumedAt
	fenceUntil time.Duration
}

// fence stops new work after a suspension until the set is confirmed anew.
func (f *Fleet) fence() {
	f.resumedAt = f.now
	f.confirmed = false
	f.fenced = f.self.status != model.MemberStarting
	f.fenceUntil = f.now + view.ConfirmMaxAge
	f.after(view.ConfirmMaxAge, timer{kind: timerCheck})
	f.readFresh = true
	f.backoff, f.readDue = 0, f.now
}

func (f *Fleet) updateReadiness() {
	now, reason := f.assess()
	if now.OK && f.self.status == model.MemberStarting {
		f.setSelfStatus(model.MemberServing)
	}
	if now != f.ready {
		if now.OK != f.ready.OK {
			f.touchActive()
		}
		f.ready = now
		f.changes.Readiness = true
	}
	r := model.Ready{Ready: now.OK, Reason: reason}
	if f.stopPhase != stopNone {
		r = model.Ready{Reason: "the instance is stopping"}
	}
	if r == f.announced && f.everReady {
		return
	}
	f.event("Readiness", string(f.cfg.Self), formatReady(f.announced), formatReady(r))
	f.announced, f.everReady = r, true
	f.emit(r)
}

// touchActive reports the targets at which this instance sends. A lead is
// active only while the instance is ready.
func (f *Fleet) touchActive() {
	for _, t := range f.self.leads {
		if t.hold == holdActive {
			f.touch(t)
		}
	}
}

// assess says whether new work may be sent.
func (f *Fleet) assess() (view.Readiness, string) {
	notReady := view.Readiness{Kind: model.KindNotReady}
	unconfirmed := view.Readiness{Kind: model.KindUnconfirmed}
	switch {
	case !f.haveList:
		return notReady, "the instance list has not been read"
	case f.superseded:
		return notReady, "another process with a later incarnation uses the id of this instance"
	case !f.self.listed:
		// Peers cannot answer an instance whose address they do not know.
		return notReady, "the instance is not on the instance list"
	case f.set == nil:
		return notReady, "no configuration is in force"
	case f.self.status == model.MemberStarting:
		if !f.startConfirmed() {
			return notReady, "the configuration is not confirmed yet"
		}
	case f.fenced:
		if !f.resumeConfirmed() {
			return unconfirmed, "the configuration is not confirmed since a suspension"
		}
		f.fenced = false
	case !f.confirmFresh() && !f.majority(f.reachedCount):
		return unconfirmed, "the configuration is not confirmed and most instances are out of reach"
	}
	return view.Readiness{OK: true}, ""
}

// startConfirmed reports whether a new instance may serve. The answer of the
// service, to this instance or to a peer, suffices only after some peers have
// answered too, because the service may be stale, and because the answers to
// an instance that no peer knows cannot arrive.
func (f *Fleet) startConfirmed() bool {
	peers := len(f.listed) - 1
	if 2*f.agreesCount > peers {
		return true
	}
	if !f.confirmFresh() || f.fetching && f.fetchTries < minReaders {
		return false
	}
	answers, waited := f.reachedCount-1, f.now-f.listedAt
	return answers >= min(peers, minReaders) || answers > 0 && waited >= peerFirstWait || waited >= listLag
}

func (f *Fleet) resumeConfirmed() bool {
	if f.confirmFresh() {
		return true
	}
	return f.now >= f.fenceUntil && f.majority(f.agreesCount+1)
}

// majority reports whether a number of listed members, this instance included,
// is more than half of them. Of two equal halves the one with the lowest id
// goes on.
func (f *Fleet) majority(count int) bool {
	n := len(f.listed)
	if 2*count != n {
		return 2*count > n
	}
	lowest := f.listed[0]
	return lowest == f.self || lowest.reached && lowest.health == healthAlive
}

// sweep asks many peers at once while this instance needs the answers of a
// majority.
func (f *Fleet) sweep() {
	if f.confirmed && f.now-f.confirmedAt <= view.ConfirmMaxAge/2 {
		return
	}
	fresh := f.fenced || f.self.status == model.MemberStarting
	if fresh && len(f.listed) > announceAllBelow && f.now-max(f.listedAt, f.resumedAt) < sweepDelay {
		return
	}
	if fresh && 2*f.agreesCount > len(f.listed) || !fresh && 2*f.reachedCount > len(f.listed) {
		return
	}
	sent := 0
	for range f.listed {
		f.sweepCursor = (f.sweepCursor + 1) % len(f.listed)
		m := f.listed[f.sweepCursor]
		if m == f.self || m.health != healthAlive || m.agrees || !fresh && m.reached {
			continue
		}
		f.sendLight(m)
		if sent++; sent >= sweepSize {
			return
		}
	}
}
