package query

import (
	"maps"
	"slices"
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

func versionReport(v model.SnapshotVersion, total int, partitions ...uint32) model.VersionReport {
	return model.VersionReport{Version: v, Total: total, Partitions: partitions}
}

// setReports makes a target serve the versions of the reports and updates all views.
func (s *sim) setReports(id model.TargetID, reports ...model.VersionReport) {
	s.targets[id].reports = reports
	for _, n := range s.nodes {
		info := n.v.info[id]
		info.Versions = reports
		n.v.info[id] = info
		n.change(id)
	}
}

func (s *sim) takeOut(ids ...model.TargetID) {
	for _, n := range s.nodes {
		for _, id := range ids {
			n.v.takenOut[id] = true
		}
		n.change(ids...)
	}
}

// editReplies calls edit with each request and the reply from a healthy target. If
// edit returns true, the target sends the reply as edit has changed it; otherwise
// the request is served as usual.
func (s *sim) editReplies(edit func(o model.SendTarget, r *model.TargetReply) bool) {
	s.onSend = func(n *simNode, o model.SendTarget) bool {
		r := s.execute(o)
		if !edit(o, &r) {
			return false
		}
		s.after(s.targets[o.Target].serviceTime, func() { s.reply(n, o, r) })
		return true
	}
}

// refuseVersion7 makes the targets refuse version 7. They still serve other versions.
func refuseVersion7(s *sim, ids ...model.TargetID) {
	s.editReplies(func(o model.SendTarget, r *model.TargetReply) bool {
		*r = model.TargetReply{Error: model.KindVersionGone, Execution: notRun}
		return slices.Contains(ids, o.Target) && o.Snapshot == 7
	})
}

// Guards against mixed versions, wrong coverage and missing retries when the index
// changes during a search or targets contradict their reports (design 3.3).
func TestSearchFaults(t *testing.T) {
	setBothVersions := func(s *sim, total int) {
		s.setReports("g00-0", versionReport(7, 2, 1), versionReport(8, total, 1))
		s.setReports("g00-1", versionReport(7, 2, 1), versionReport(8, total, 1))
		s.setReports("g01-0", versionReport(7, 2, 2), versionReport(8, total, 2, 3))
		s.setReports("g01-1", versionReport(7, 2, 2), versionReport(8, total, 2, 3))
	}
	// editAnswerOf returns a setup that edits the answers from the target, or from all
	// targets of group g00 if id is empty.
	editAnswerOf := func(id model.TargetID, edit func(*model.TargetAnswer)) func(*sim) {
		return func(s *sim) {
			s.editReplies(func(o model.SendTarget, r *model.TargetReply) bool {
				edit(&r.Answer)
				return o.Target == id || id == "" && o.Target[:3] == "g00"
			})
			if id != "" {
				s.takeOutFor("g00-1", time.Millisecond)
			}
		}
	}
	cases := []struct {
		name     string
		setup    func(s *sim)
		snapshot model.SnapshotVersion
		searched int
		total    int
		retries  int
		restarts int
		kind     model.Kind
	}{
		{"no fault", func(*sim) {}, 7, 2, 2, 0, 0, 0},
		{"newest common version", func(s *sim) { setBothVersions(s, 3) }, 8, 3, 3, 0, 0, 0},
		{"one group lacks the newest version", func(s *sim) {
			s.setReports("g00-0", versionReport(7, 2, 1), versionReport(8, 2, 1))
		}, 7, 2, 2, 0, 0, 0},
		{"reports disagree on the total", func(s *sim) {
			setBothVersions(s, 3)
			s.setReports("g01-1", versionReport(7, 2, 2), versionReport(8, 4, 2, 3))
		}, 7, 2, 2, 0, 0, 0},
		{"report of a partition above the total", func(s *sim) {
			setBothVersions(s, 3)
			s.setReports("g01-1", versionReport(7, 2, 2), versionReport(8, 3, 2, 4000000000))
		}, 7, 2, 2, 0, 0, 0},
		{"no common version", func(s *sim) {
			s.setReports("g00-0", versionReport(8, 2, 1))
			s.setReports("g00-1", versionReport(8, 2, 1))
		}, 0, 0, 0, 0, 0, model.KindNoSnapshot},
		{"all targets of a group taken out", func(s *sim) { s.takeOut("g00-0", "g00-1") }, 7, 1, 2, 0, 0, 0},
		{"all targets taken out", func(s *sim) { s.takeOut("g00-0", "g00-1", "g01-0", "g01-1") }, 0, 0, 0, 0, 0, model.KindNoTarget},
		{"two groups hold the same partition", func(s *sim) {
			s.setReports("g00-0", versionReport(7, 3, 1, 2))
			s.setReports("g00-1", versionReport(7, 3, 1, 2))
			s.setReports("g01-0", versionReport(7, 3, 2))
			s.setReports("g01-1", versionReport(7, 3, 2))
		}, 7, 2, 3, 0, 0, 0},
		{"version retired at once", func(s *sim) {
			s.setReports("g00-0", versionReport(7, 2, 1))
			s.after(time.Millisecond, func() { setBothVersions(s, 3) })
			refuseVersion7(s, "g00-0", "g00-1")
		}, 8, 3, 3, 1, 1, 0},
		{"version retired too late for a restart", func(s *sim) {
			s.after(time.Millisecond, func() { setBothVersions(s, 3) })
			for _, id := range []model.TargetID{"g00-0", "g00-1"} {
				s.targets[id].serviceTime = 40 * time.Millisecond
			}
			refuseVersion7(s, "g00-0", "g00-1")
		}, 7, 1, 2, 1, 0, 0},
		{"truncated answer", editAnswerOf("g00-0", func(a *model.TargetAnswer) { a.Truncated = true }), 7, 2, 2, 1, 0, 0},
		{"answer from another version", editAnswerOf("g00-0", func(a *model.TargetAnswer) { a.Snapshot = 6 }), 7, 2, 2, 1, 0, 0},
		{"answer with a partition of another group", editAnswerOf("g00-0", func(a *model.TargetAnswer) { a.Partitions = []uint32{1, 2} }), 7, 2, 2, 1, 0, 0},
		{"answer with a partition above the total", editAnswerOf("g00-0", func(a *model.TargetAnswer) { a.Partitions = []uint32{1, 4e9} }), 7, 2, 2, 1, 0, 0},
		{"answer without a reported partition", editAnswerOf("g00-0", func(a *model.TargetAnswer) { a.Partitions = nil }), 7, 2, 2, 1, 0, 0},
		{"all answers of a group truncated", editAnswerOf("", func(a *model.TargetAnswer) { a.Truncated = true }), 7, 1, 2, 1, 0, 0},
		{"lead dies", func(s *sim) {
			s.takeOutFor("g00-0", time.Millisecond)
			s.after(3*time.Millisecond, func() {
				s.nodes[1].down = true
				s.nodes[0].step(model.PeerDown{Peer: "b"})
			})
		}, 7, 2, 2, 1, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(2, 2, 2, 2, model.PolicyFull)
			tc.setup(s)
			s.nodes[0].search(1, callBudget)
			s.run(time.Second)
			a := searchAnswerOf(t, s, 1)
			kind := model.KindNone
			if a.Error != nil {
				kind = a.Error.Kind
			}
			if a.Snapshot != tc.snapshot || a.Searched != tc.searched || a.Total != tc.total ||
				a.Stats.Retries != tc.retries || a.Stats.Restarts != tc.restarts || kind != tc.kind {
				t.Errorf("answer %+v, error %v; want %+v", a, a.Error, tc)
			}
			if s.answeredAt[1] > callBudget {
				t.Errorf("answered after %v, want an answer within the budget of the call", s.answeredAt[1])
			}
		})
	}
}

// takeOutFor takes a target out for time d, so that sub-requests go to other replicas
// until then.
func (s *sim) takeOutFor(id model.TargetID, d time.Duration) {
	s.takeOut(id)
	s.after(d, func() {
		for _, n := range s.nodes {
			n.v.takenOut[id] = false
			n.change(id)
		}
	})
}

// Guards against a second or a changed answer after repeated and late replies, and
// against work that is not cancelled when its search ends.
func TestLateAndRepeatedReplies(t *testing.T) {
	s := newSim(2, 2, 2, 2, model.PolicyFull)
	s.keepOutputs = true
	sends := 0
	s.onSend = func(*simNode, model.SendTarget) bool { sends++; return false }
	s.targets["g00-0"].serviceTime = 300 * time.Millisecond
	s.targets["g00-1"].serviceTime = 300 * time.Millisecond
	s.onPeer = func(n *simNode, m model.SendPeer) bool {
		s.deliver(n, m)
		return false
	}
	s.nodes[0].search(1, callBudget)
	s.run(time.Second)
	if a := searchAnswerOf(t, s, 1); a.Searched != 1 || !slices.Equal(a.Missing, []model.GroupID{"g00"}) {
		t.Errorf("answer %+v, want 1 partition and group g00 missing", a)
	}
	if answeredAt := s.answeredAt[1]; answeredAt != callBudget-7*time.Millisecond {
		t.Errorf("answered after %v, want an answer after the budget less the answer reserve of 5 %%", answeredAt)
	}
	cancels := 0
	for _, o := range s.outputs {
		if _, ok := o.(model.CancelTarget); ok {
			cancels++
		}
	}
	if cancels != 1 || sends != 2 {
		t.Errorf("%d cancellations and %d sends, want 1 and 2", cancels, sends)
	}
}

// Guards against new work for targets that were taken out, in every way in which
// work can start: search, retry, hedge, queue, relay and booking (design 3.8).
func TestNoNewWorkForLeavingTargets(t *testing.T) {
	s := newSim(2, 2, 2, 1, model.PolicyFull)
	out := []model.TargetID{"g00-0", "g01-0", "desk-0"}
	s.onSend = func(n *simNode, o model.SendTarget) bool {
		if n.v.takenOut[o.Target] {
			t.Errorf("work was sent to %s, want none after the target was taken out", o.Target)
		}
		return false
	}
	for k := range 40 {
		s.after(time.Duration(k)*2*time.Millisecond, func() { s.nodes[k%2].search(model.CallID(k+1), callBudget) })
	}
	s.after(30*time.Millisecond, func() { s.takeOut(out...) })
	s.run(time.Second)
	for k := range 40 {
		searchAnswerOf(t, s, model.CallID(k+1))
	}
	// An entry instance that has not seen the change yet relays to a lead that has.
	s.nodes[0].v.takenOut = map[model.TargetID]bool{}
	s.nodes[0].change(out...)
	id := s.nodes[0].issueIDs(1)[0]
	s.nodes[0].search(100, callBudget)
	s.nodes[0].book(101, id, time.Second)
	s.run(time.Second)
	if a := searchAnswerOf(t, s, 100); a.Searched != 2 {
		t.Errorf("answer %+v, want 2 partitions", a)
	}
}

// Guards against work that is sent while the configuration is not confirmed.
func TestReadinessLoss(t *testing.T) {
	s := newSim(1, 1, 2, 1, model.PolicyFull)
	n := s.nodes[0]
	for k := range 6 {
		n.search(model.CallID(k+1), callBudget)
	}
	id := n.issueIDs(1)[0]
	n.v.readiness = view.Readiness{Kind: model.KindUnconfirmed}
	s.onSend = func(*simNode, model.SendTarget) bool {
		t.Error("work was sent, want none while unconfirmed")
		return false
	}
	n.tick()
	n.search(10, callBudget)
	n.book(11, id, time.Second)
	s.run(time.Second)
	for k := range 6 {
		searchAnswerOf(t, s, model.CallID(k+1))
	}
	if a := searchAnswerOf(t, s, 10); a.Error == nil || a.Error.Kind != model.KindUnconfirmed || a.Error.Execution != notRun {
		t.Errorf("search: error %v, want unconfirmed and not run", a.Error)
	}
	if a := bookAnswerOf(t, s, 11); a.Error == nil || a.Error.Kind != model.KindUnconfirmed || a.Error.Execution != notRun {
		t.Errorf("booking: error %v, want unconfirmed and not run", a.Error)
	}
}

// Guards against an entry instance that refuses searches for ever because it still
// counts relayed requests that were lost as queued at the leads.
func TestRecoveryFromLostRelays(t *testing.T) {
	s := newSim(3, 2, 2, 1, model.PolicyFull)
	linkCut := false
	s.onPeer = func(*simNode, model.SendPeer) bool { return linkCut }
	for k := range 400 {
		s.after(time.Duration(k)*10*time.Millisecond, func() { s.nodes[0].search(model.CallID(k), callBudget) })
	}
	s.after(time.Second, func() { linkCut = true })
	s.after(2*time.Second, func() { linkCut = false })
	s.run(5 * time.Second)
	for k := 250; k < 400; k++ {
		if a := searchAnswerOf(t, s, model.CallID(k)); a.Searched != 2 {
			t.Fatalf("search %v after the start: error %v, answer %+v; want 2 partitions", time.Duration(k)*10*time.Millisecond, a.Error, a)
		}
	}
}

// Guards against searches that wait for a lead in handover while another replica
// can answer.
func TestLeadInHandover(t *testing.T) {
	for _, lead := range []model.InstanceID{"a", "c"} {
		s := newSim(3, 1, 2, 2, model.PolicyFull)
		s.node(lead).v.inactive["g00-1"] = true
		for _, n := range s.nodes {
			n.v.leads["g00-1"] = lead
			n.changes.LostPeers = []model.InstanceID{"b"}
			n.change("g00-1")
		}
		for k := range 20 {
			s.nodes[0].search(model.CallID(k), callBudget)
			s.run(40 * time.Millisecond)
		}
		s.run(time.Second)
		for k := range 20 {
			if a := searchAnswerOf(t, s, model.CallID(k)); a.Searched != 1 {
				t.Errorf("lead %s, search %d: answer %+v, want 1 partition", lead, k, a)
			}
		}
	}
}

// Guards against searches that miss groups, and bookings with an unknown outcome,
// because an entry instance continues to send to a lead whose stream has broken
// until the control plane replaces the lead.
func TestLeadLoss(t *testing.T) {
	const groups = 20
	s := newSim(3, groups, 2, 2, model.PolicyFull)
	a := s.nodes[0]
	for _, id := range slices.Sorted(maps.Keys(a.v.leads)) {
		for _, n := range s.nodes {
			if id[len(id)-1] == '0' {
				n.v.leads[id] = "c"
			} else if n.v.leads[id] == "c" {
				n.v.leads[id] = "b"
			}
			n.change(id)
		}
	}
	s.node("c").down = true
	relays := 0
	s.onPeer = func(n *simNode, m model.SendPeer) bool {
		if m.To != "c" {
			return false
		}
		relays++
		s.after(time.Millisecond, func() { n.step(model.PeerDown{Peer: "c"}) })
		return true
	}
	const calls = 100 // spread over 3 s, the time that the control plane takes to replace a lead
	ids := a.issueIDs(calls)
	for k := range calls {
		a.search(model.CallID(2*k+1), callBudget)
		a.book(model.CallID(2*k+2), ids[k], callBudget)
		s.run(30 * time.Millisecond)
	}
	s.run(time.Second)
	unknownBookings := 0
	for k := range calls {
		if r := searchAnswerOf(t, s, model.CallID(2*k+1)); r.Searched != groups {
			t.Errorf("search %d covered %d groups, want %d", k, r.Searched, groups)
		}
		if r := s.answers[model.CallID(2*k+2)][0].(model.BookAnswer); r.Error != nil && r.Error.Execution == unknown {
			unknownBookings++
		}
	}
	// One booking may be lost each time the lost lead is tried again.
	if limit := 3*int(time.Second/lostPeerAvoidTime) + 1; unknownBookings > limit {
		t.Errorf("%d bookings have an unknown outcome, want at most %d", unknownBookings, limit)
	}
}
