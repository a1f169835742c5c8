package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// helperPing is a ping that this instance does for another one.
type indirectPing struct {
	requester      *member
	requesterRound uint64 // of the requester
	subject        *member
	ownRound       uint64 // round of the request to the subject
}

// pingExpired acts on a member that has not answered: first other members are
// asked to ping it, then it is suspected.
func (f *Fleet) pingExpired(m *member) {
	if !m.listed || m.unansweredRound == 0 || m.answerDue > f.now || m.health != healthAlive {
		return
	}
	if !m.indirectPhase {
		m.indirectPhase = true
		peers := f.randomPeers(indirectPingPeers, m)
		for _, p := range peers {
			f.send(p, model.PingRequest{Round: m.unansweredRound, Subject: m.id})
		}
		m.answerDue = f.startTimer(view.PingTimeout, timer{kind: timerPing, member: m})
		// One silent member can be the first sign of a partition. Asking the
		// next one at once finds the others faster the more of them there are.
		if next := f.nextPeer(); next != nil {
			f.sendMinimalExchange(next)
		}
		return
	}
	m.unansweredRound = 0
	f.suspect(m)
}

// peerDown shortens the wait for an answer: the stream to the member broke, so
// that other members are asked at once.
func (f *Fleet) handlePeerDown(id model.InstanceID) {
	m := f.byID[id]
	if m == nil || m == f.self || !m.listed || m.health != healthAlive || m.indirectPhase && m.unansweredRound != 0 {
		return
	}
	if m.unansweredRound == 0 {
		if f.self.status == model.MemberStarting {
			return
		}
		f.sendMinimalExchange(m)
	}
	m.answerDue = f.now
	f.pingExpired(m)
}

func (f *Fleet) handlePingRequest(from *member, msg *model.PingRequest) {
	subject := f.byID[msg.Subject]
	if subject == nil || !subject.listed {
		return
	}
	if subject == f.self {
		f.send(from, model.PingReply{Round: msg.Round, Subject: msg.Subject, Alive: true})
		return
	}
	f.sendMinimalExchange(subject)
	f.indirectPings = append(f.indirectPings, indirectPing{requester: from, requesterRound: msg.Round, subject: subject, ownRound: f.round})
	f.startTimer(view.PingTimeout, timer{kind: timerIndirectPing, pingRound: f.round})
}

// helped answers the instances for which this one has pinged the member.
func (f *Fleet) answerIndirectPings(m *member) {
	if len(f.indirectPings) == 0 {
		return
	}
	f.indirectPings = slices.DeleteFunc(f.indirectPings, func(h indirectPing) bool {
		if h.subject != m {
			return false
		}
		f.send(h.requester, model.PingReply{Round: h.requesterRound, Subject: m.id, Alive: true})
		return true
	})
}

func (f *Fleet) indirectPingExpired(round uint64) {
	f.indirectPings = slices.DeleteFunc(f.indirectPings, func(h indirectPing) bool {
		if h.ownRound != round {
			return false
		}
		f.send(h.requester, model.PingReply{Round: h.requesterRound, Subject: h.subject.id})
		return true
	})
}

func (f *Fleet) handlePingReply(msg *model.PingReply) {
	m := f.byID[msg.Subject]
	if m != nil && msg.Alive && m.indirectPhase && m.unansweredRound == msg.Round {
		m.unansweredRound = 0
	}
}

// suspect starts the time in which a member can refute.
func (f *Fleet) suspect(m *member) {
	if m.health != healthAlive {
		return
	}
	f.setContact(m, healthSuspected, m.reached, m.agreesOnSet)
	f.warn("MemberSuspected", string(m.id), healthAlive.String(), healthSuspected.String())
	m.suspectedAt = f.now
	m.unansweredRound = 0
	f.startTimer(view.SuspicionTime, timer{kind: timerSuspicion, member: m})
	if !m.inLostQueue {
		m.inLostQueue = true
		f.lostQueue = append(f.lostQueue, m)
	}
	f.queueMemberPush(m)
	// The member may still hear this instance and can then refute at once. In
	// a large fleet some of those that hear of the suspicion are enough.
	if f.rng.IntN(len(f.listed)) < announceAllMax {
		f.sendMinimalExchange(m)
	}
}

func (f *Fleet) suspicionExpired(m *member) {
	if !m.listed || m.health != healthSuspected || f.now-m.suspectedAt < view.SuspicionTime {
		return
	}
	if f.isUnheard() {
		m.suspectedAt = f.now
		f.startTimer(view.SuspicionTime, timer{kind: timerSuspicion, member: m})
		return
	}
	f.setContact(m, healthExcluded, m.reached, m.agreesOnSet)
	f.warn("MemberExcluded", string(m.id), healthSuspected.String(), healthExcluded.String())
	f.addLostPeer(m)
	f.updateMember(m)
}

// detectSuspension finds out whether the process slept or was stopped since
// the previous tick, so that its view may be older than its timers say.
func (f *Fleet) detectSuspension(now model.Now) {
	if !f.hasTicked {
		return
	}
	bootAdvance, monoAdvance := now.Boot-f.prevNow.Boot, now.Mono-f.prevNow.Mono
	machineSlept := (bootAdvance - monoAdvance).Abs() > maxClockSkew
	processPaused := bootAdvance > view.SuspensionGap && f.plannedWake <= now.Boot
	if machineSlept || processPaused {
		f.resumeFromSuspension(bootAdvance)
	}
}

// resume forgets every finding that depends on answers from before a
// suspension.
func (f *Fleet) resumeFromSuspension(gap time.Duration) {
	f.warn("Suspended", string(f.cfg.Self), "", gap.String())
	f.suspensionRound = f.round
	f.lastReplyAt = f.now
	f.fullSyncsLeft = fullSyncRounds
	f.indirectPings = f.indirectPings[:0]
	for _, m := range f.listed {
		m.unansweredRound = 0
		m.reached, m.agreesOnSet = m == f.self, false
		if m.health == healthSuspected {
			m.suspectedAt = f.now
			f.startTimer(view.SuspicionTime, timer{kind: timerSuspicion, member: m})
		}
	}
	f.recountContacts()
	f.fence()
	f.reacquireLeads(gap)
	for _, m := range f.randomPeers(minReaders+1, nil) {
		f.sendMinimalExchange(m)
	}
}
