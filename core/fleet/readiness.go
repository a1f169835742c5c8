package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// readiness holds whether new work may be sent, and what this depends on.
type readiness struct {
	ready          view.Readiness
	announced      model.Ready   // last Ready output
	hasAnnounced   bool          // announced is set
	startedAt      time.Duration // first tick
	listedAt       time.Duration // first instance list
	superseded     bool          // a process with this id and a later incarnation exists
	resumedAt      time.Duration // end of the last suspension
	fenced         bool          // not confirmed since resumedAt
	fenceUntil     time.Duration // from then on, agreement of a majority lifts the fence
	servingAt      time.Duration // change from starting to serving
	targetsLearned bool          // every target in service has a known state, or learnTimeout is over
}

// fence stops new work after a suspension until the set is confirmed again.
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
	f.emitEvent("Readiness", string(f.cfg.Self), formatReady(f.announced), formatReady(r))
	f.announced, f.hasAnnounced = r, true
	f.emit(r)
}

// hasLearnedTargets reports whether this instance knows the states of all
// targets in service, so that the balancer may send calls. Without the index
// versions of a group, answers would lack the group. After learnTimeout it
// reports true in any case, because a target may have no lead that can report it.
//
// Once true, the result stays true and targets are no longer visited.
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

// markActiveTargetsChanged marks the targets of which this instance is the active
// lead as changed, because view.Lead.Active depends on readiness.
func (f *Fleet) markActiveTargetsChanged() {
	for _, t := range f.self.leads {
		if t.leadState == leadActive {
			f.markTargetChanged(t)
		}
	}
}

// assessReadiness decides whether new work may be sent, and returns the reason
// if not.
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
	case !f.hasFreshConfirmation() && !f.isMajority(f.reachedCount):
		return unconfirmed, "the configuration is not confirmed and most instances are out of reach"
	}
	return view.Readiness{OK: true}, ""
}

// startConfirmed reports whether a starting instance may serve. Agreement of
// more than half of the peers suffices. A confirmation by the service, directly
// or through a peer, suffices only if peers have answered too, because the
// service may be stale: minReaders peers at once, or fewer after firstAnswerWait.
// If no peer answers, the instance waits for listLag, because peers that do not
// know it yet cannot answer. While a later set is being fetched, no confirmation
// suffices until the fetch has been tried minReaders times.
func (f *Fleet) startConfirmed() bool {
	peers := len(f.listed) - 1
	if 2*f.agreeingCount > peers {
		return true
	}
	if !f.hasFreshConfirmation() || f.fetching && f.fetchTries < minReaders {
		return false
	}
	answers, waited := f.reachedCount-1, f.now-f.listedAt
	return answers >= min(peers, minReaders) || answers > 0 && waited >= firstAnswerWait || waited >= listLag
}

func (f *Fleet) resumeConfirmed() bool {
	if f.hasFreshConfirmation() {
		return true
	}
	return f.now >= f.fenceUntil && f.isMajority(f.agreeingCount+1)
}

// isMajority reports whether count listed members, this instance included, are
// more than half of the list. If they are exactly half, they have the isMajority if
// the member with the lowest id is alive and has answered this instance, or is
// this instance.
func (f *Fleet) isMajority(count int) bool {
	n := len(f.listed)
	if 2*count != n {
		return 2*count > n
	}
	lowest := f.listed[0]
	return lowest == f.self || lowest.reached && lowest.health == healthAlive
}

// pollPeers sends requests to many peers at once while this instance needs
// answers from a majority.
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
