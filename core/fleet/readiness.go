package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// readiness holds whether new work may be sent, and why not.
type readiness struct {
	ready          view.Readiness
	announced      model.Ready
	hasAnnounced   bool // an announcement was made
	startedAt      time.Duration
	listedAt       time.Duration // first list
	superseded     bool          // a later life of this instance exists
	resumedAt      time.Duration // end of the last suspension
	fenced         bool          // not confirmed since resumedAt
	fenceUntil     time.Duration
	servingAt      time.Duration
	targetsLearned bool // the state of each target in service is known, or learnWait is over
}

// fence stops new work after a suspension until the set is confirmed anew.
func (f *Fleet) fence() {
	f.resumedAt = f.now
	f.confirmed = false
	f.fenced = f.self.status != model.MemberStarting
	f.fenceUntil = f.now + view.ConfirmMaxAge
	f.startTimer(view.ConfirmMaxAge, timer{kind: timerCheck})
	f.skipWatch = true
	f.readBackoff, f.readDue = 0, f.now
}

func (f *Fleet) updateReadiness() {
	next, reason := f.assessReadiness()
	if next.OK && f.self.status == model.MemberStarting {
		f.setSelfStatus(model.MemberServing)
		f.servingAt = f.now
		f.startTimer(learnTimeout, timer{kind: timerCheck})
	}
	if next != f.ready {
		if next.OK != f.ready.OK {
			f.markActiveTargetsChanged()
		}
		f.ready = next
		f.changes.Readiness = true
	}
	r := model.Ready{Ready: next.OK, Reason: reason}
	switch {
	case f.stopPhase != stopNone:
		r = model.Ready{Reason: "the instance is stopping"}
	case next.OK && !f.hasLearnedTargets():
		r = model.Ready{Reason: "the states of the targets are not known yet"}
	}
	if r == f.announced && f.hasAnnounced {
		return
	}
	f.event("Readiness", string(f.cfg.Self), formatReady(f.announced), formatReady(r))
	f.announced, f.hasAnnounced = r, true
	f.emit(r)
}

// hasLearnedTargets reports whether the balancer may send calls to a new
// instance. Before it knows the index versions of a group, it leaves the group
// out of its answers. A target that no lead can report does not hold it back
// for longer than learnWait.
//
// It looks at all targets only until the first time that all are known.
func (f *Fleet) hasLearnedTargets() bool {
	if f.targetsLearned {
		return true
	}
	f.targetsLearned = f.now-f.servingAt >= learnTimeout || !slices.ContainsFunc(f.groups, hasUnknownTarget)
	return f.targetsLearned
}

func hasUnknownTarget(g *group) bool {
	return slices.ContainsFunc(g.targets, func(t *target) bool { return !t.known && !t.drain && !t.place.out })
}

// touchActive reports the targets at which this instance sends. A lead is
// active only while the instance is ready.
func (f *Fleet) markActiveTargetsChanged() {
	for _, t := range f.self.leads {
		if t.leadState == leadActive {
			f.markTargetChanged(t)
		}
	}
}

// assess says whether new work may be sent.
func (f *Fleet) assessReadiness() (view.Readiness, string) {
	notReady := view.Readiness{Kind: model.KindNotReady}
	unconfirmed := view.Readiness{Kind: model.KindUnconfirmed}
	switch {
	case !f.hasList:
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
	case !f.hasFreshConfirm() && !f.majority(f.reachedCount):
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
	if 2*f.agreeingCount > peers {
		return true
	}
	if !f.hasFreshConfirm() || f.fetching && f.fetchTries < minReaders {
		return false
	}
	answers, waited := f.reachedCount-1, f.now-f.listedAt
	return answers >= min(peers, minReaders) || answers > 0 && waited >= firstAnswerWait || waited >= listLag
}

func (f *Fleet) resumeConfirmed() bool {
	if f.hasFreshConfirm() {
		return true
	}
	return f.now >= f.fenceUntil && f.majority(f.agreeingCount+1)
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
func (f *Fleet) pollPeers() {
	if f.confirmed && f.now-f.confirmedAt <= view.ConfirmMaxAge/2 {
		return
	}
	needsAgreement := f.fenced || f.self.status == model.MemberStarting
	if needsAgreement && len(f.listed) > announceAllMax && f.now-max(f.listedAt, f.resumedAt) < pollDelay {
		return
	}
	if needsAgreement && 2*f.agreeingCount > len(f.listed) || !needsAgreement && 2*f.reachedCount > len(f.listed) {
		return
	}
	sent := 0
	for range f.listed {
		f.pollCursor = (f.pollCursor + 1) % len(f.listed)
		m := f.listed[f.pollCursor]
		if m == f.self || m.health != healthAlive || m.agreesOnSet || !needsAgreement && m.reached {
			continue
		}
		f.sendMinimalExchange(m)
		if sent++; sent >= pollBatchSize {
			return
		}
	}
}
