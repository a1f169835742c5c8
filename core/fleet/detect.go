package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// helperPing is a ping that this instance does for another one.
type helperPing struct {
	requester *member
	round     uint64 // of the requester
	subject   *member
	own       uint64 // round of the request to the subject
}

// pingExpired acts on a member that has not answered: first other members are
// asked to ping it, then it is suspected.
func (f *Fleet) pingExpired(m *member) {
	if !m.listed || m.pingRound == 0 || m.pingDue > f.now || m.health != healthAlive {
		return
	}
	if !m.indirect {
		m.indirect = true
		peers := f.randomPeers(helpers, m)
		for _, p := range peers {
			f.send(p, model.PingRequest{Round: m.pingRound, Subject: m.id})
		}
		m.pingDue = f.after(view.PingTimeout, timer{kind: timerPing, member: m})
		// One silent member can be the first sign of a partition. Asking the
		// next one at once finds the others faster the more of them there are.
		if next := f.nextPeer(); next != nil {
			f.sendLight(next)
		}
		return
	}
	m.pingRound = 0
	f.suspect(m)
}

// peerDown shortens the wait for an answer: the stream to the member broke, so
// that other members are asked at once.
func (f *Fleet) peerDown(id model.InstanceID) {
	m := f.byID[id]
	if m == nil || m == f.self || !m.listed || m.health != healthAlive || m.indirect && m.pingRound != 0 {
		return
	}
	if m.pingRound == 0 {
		if f.self.status == model.MemberStarting {
			return
		}
		f.sendLight(m)
	}
	m.pingDue = f.now
	f.pingExpired(m)
}

func (f *Fleet) pingRequest(from *member, msg *model.PingRequest) {
	subject := f.byID[msg.Subject]
	if subject == nil || !subject.listed {
		return
	}
	if subject == f.self {
		f.send(from, model.PingReply{Round: msg.Round, Subject: msg.Subject, Alive: true})
		return
	}
	f.sendLight(subject)
	f.helping = append(f.helping, helperPing{requester: from, round: msg.Round, subject: subject, own: f.round})
	f.after(view.PingTimeout, timer{kind: timerHelper, helper: f.round})
}

// helped answers the instances for which this one has pinged the member.
func (f *Fleet) helped(m *member) {
	if len(f.helping) == 0 {
		return
	}
	f.helping = slices.DeleteFunc(f.helping, func(h helperPing) bool {
		if h.subject != m {
			return false
		}
		f.send(h.requester, model.PingReply{Round: h.round, Subject: m.id, Alive: true})
		return true
	})
}

func (f *Fleet) helperExpired(round uint64) {
	f.helping = slices.DeleteFunc(f.helping, func(h helperPing) bool {
		if h.own != round {
			return false
		}
		f.send(h.requester, model.PingReply{Round: h.round, Subject: h.subject.id})
		return true
	})
}

func (f *Fleet) pingReply(msg *model.PingReply) {
	m := f.byID[msg.Subject]
	if m != nil && msg.Alive && m.indirect && m.pingRound == msg.Round {
		m.pingRound = 0
	}
}

// suspect starts the time in which a member can refute.
func (f *Fleet) suspect(m *member) {
	if m.health != healthAlive {
		return
	}
	f.setContact(m, healthSuspected, m.reached, m.agrees)
	f.warn("MemberSuspected", string(m.id), healthAlive.String(), healthSuspected.String())
	m.suspectedAt = f.now
	m.pingRound = 0
	f.after(view.SuspicionTime, timer{kind: timerSuspicion, member: m})
	if !m.inLost {
		m.inLost = true
		f.lost = append(f.lost, m)
	}
	f.spreadMember(m)
	// The member may still hear this instance and can then refute at once. In
	// a large fleet some of those that hear of the suspicion are enough.
	if f.rng.IntN(len(f.listed)) < announceAllBelow {
		f.sendLight(m)
	}
}

func (f *Fleet) suspicionExpired(m *member) {
	if !m.listed || m.health != healthSuspected || f.now-m.suspectedAt < view.SuspicionTime {
		return
	}
	if f.mute() {
		m.suspectedAt = f.now
		f.after(view.SuspicionTime, timer{kind: timerSuspicion, member: m})
		return
	}
	f.setContact(m, healthExcluded, m.reached, m.agrees)
	f.warn("MemberExcluded", string(m.id), healthSuspected.String(), healthExcluded.String())
	f.lose(m)
	f.updateMember(m)
}

// detectSuspension finds out whether the process slept or was stopped since
// the previous tick, so that its view may be older than its timers say.
func (f *Fleet) detectSuspension(now model.Now) {
	if !f.ticked {
		return
	}
	boot, mono := now.Boot-f.last.Boot, now.Mono-f.last.Mono
	slept := (boot - mono).Abs() > clockSkew
	stopped := boot > view.SuspensionGap && f.lastWake <= now.Boot
	if slept || stopped {
		f.resume(boot)
	}
}

// resume forgets every finding that depends on answers from before a
// suspension.
func (f *Fleet) resume(gap time.Duration) {
	f.warn("Suspended", string(f.cfg.Self), "", gap.String())
	f.wakeRound = f.round
	f.lastReply = f.now
	f.fullSync = fullSyncRounds
	f.helping = f.helping[:0]
	for _, m := range f.listed {
		m.pingRound = 0
		m.reached, m.agrees = m == f.self, false
		if m.health == healthSuspected {
			m.suspectedAt = f.now
			f.after(view.SuspicionTime, timer{kind: timerSuspicion, member: m})
		}
	}
	f.recount()
	f.fence()
	f.reacquireLeads(gap)
	for _, m := range f.randomPeers(minReaders+1, nil) {
		f.sendLight(m)
	}
}
