package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// indirectPing is a ping that this instance sends for another instance, the
// requester.
type indirectPing struct {
	requester      *member
	requesterRound uint64 // round of the requester's request to the subject
	subject        *member
	ownRound       uint64 // round of this instance's request to the subject
}

// pingExpired handles a member that has not answered in time. If only a direct
// ping has been sent, other members are asked to ping it. If their pings have
// failed too, it is suspected.
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
		// A silent member can be the first sign of a partition. A request to the
		// next peer at once, instead of in the next round, finds further
		// unreachable members sooner. The more there are, the faster they are
		// found.
		if next := f.nextPeer(); next != nil {
			f.sendMinimalExchange(next)
		}
		return
	}
	m.unansweredRound = 0
	f.suspect(m)
}

// handlePeerDown handles a broken stream to a member: other members are asked at
// once to ping it, without the wait for the answer to a direct ping.
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

// answerIndirectPings tells the instances that asked for a ping of the member
// that it has answered.
func (f *Fleet) answerIndirectPings(m *member) {
	if len(f.indirectPings) == 0 {
		return
	}
	f.indirectPings = slices.DeleteFunc(f.indirectPings, func(p indirectPing) bool {
		if p.subject != m {
			return false
		}
		f.send(p.requester, model.PingReply{Round: p.requesterRound, Subject: m.id, Alive: true})
		return true
	})
}

func (f *Fleet) indirectPingExpired(round uint64) {
	f.indirectPings = slices.DeleteFunc(f.indirectPings, func(p indirectPing) bool {
		if p.ownRound != round {
			return false
		}
		f.send(p.requester, model.PingReply{Round: p.requesterRound, Subject: p.subject.id})
		return true
	})
}

func (f *Fleet) handlePingReply(msg *model.PingReply) {
	m := f.byID[msg.Subject]
	if m != nil && msg.Alive && m.indirectPhase && m.unansweredRound == msg.Round {
		m.unansweredRound = 0
	}
}

// suspect marks a member as suspected. The member is excluded unless it refutes
// the suspicion within view.SuspicionTimeout.
func (f *Fleet) suspect(m *member) {
	if m.health != healthAlive {
		return
	}
	f.setContact(m, healthSuspected, m.reached, m.agreesOnSet)
	f.emitWarning("MemberSuspected", string(m.id), healthAlive.String(), healthSuspected.String())
	m.suspectedAt = f.now
	m.unansweredRound = 0
	f.startTimer(view.SuspicionTimeout, timer{kind: timerSuspicion, member: m})
	if !m.inLostQueue {
		m.inLostQueue = true
		f.lostQueue = append(f.lostQueue, m)
	}
	f.queueMemberPush(m)
	// If the member still receives messages from this instance, it can refute the
	// suspicion at once. In a large fleet only a random part of the instances that
	// learn of the suspicion, announceAllMax on average, tells the member.
	if f.rng.IntN(len(f.listed)) < announceAllMax {
		f.sendMinimalExchange(m)
	}
}

func (f *Fleet) suspicionExpired(m *member) {
	if !m.listed || m.health != healthSuspected || f.now-m.suspectedAt < view.SuspicionTimeout {
		return
	}
	if f.isUnheard() {
		m.suspectedAt = f.now
		f.startTimer(view.SuspicionTimeout, timer{kind: timerSuspicion, member: m})
		return
	}
	f.setContact(m, healthExcluded, m.reached, m.agreesOnSet)
	f.emitWarning("MemberExcluded", string(m.id), healthSuspected.String(), healthExcluded.String())
	f.addLostPeer(m)
	f.updateMember(m)
}

// detectSuspension finds out whether the machine slept or the process was
// stopped since the previous tick. What this instance knows of the fleet may
// then be older than its timers suggest.
func (f *Fleet) detectSuspension(now model.Now) {
	if !f.hasTicked {
		return
	}
	bootAdvance, monoAdvance := now.Boot-f.prevNow.Boot, now.Mono-f.prevNow.Mono
	machineSlept := (bootAdvance - monoAdvance).Abs() > maxClockSkew
	processPaused := bootAdvance > view.MinSuspension && f.plannedWake <= now.Boot
	if machineSlept || processPaused {
		f.resumeFromSuspension(bootAdvance)
	}
}

// resumeFromSuspension discards all conclusions that rest on answers from
// before a suspension of the given length. Suspicions get their full time
// again.
func (f *Fleet) resumeFromSuspension(duration time.Duration) {
	f.emitWarning("Suspended", string(f.cfg.Self), "", duration.String())
	f.suspensionRound = f.round
	f.lastReplyAt = f.now
	f.fullSyncsLeft = fullSyncRounds
	f.indirectPings = f.indirectPings[:0]
	for _, m := range f.listed {
		m.unansweredRound = 0
		m.reached, m.agreesOnSet = m == f.self, false
		if m.health == healthSuspected {
			m.suspectedAt = f.now
			f.startTimer(view.SuspicionTimeout, timer{kind: timerSuspicion, member: m})
		}
	}
	f.recountContacts()
	f.fence()
	f.reacquireLeads(duration)
	for _, m := range f.randomPeers(minReaders+1, nil) {
		f.sendMinimalExchange(m)
	}
}
