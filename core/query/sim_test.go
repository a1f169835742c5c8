package query

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/view"
)

// sim simulates instances, the network between them and targets in virtual time.
type sim struct {
	now           time.Duration
	seq           int
	events        []event // sorted by time
	nodes         []*simNode
	targets       map[model.TargetID]*simTarget
	set           *objects.Set
	hopDelay      time.Duration // one-way delay between instances
	runsByBooking map[string]int
	answers       map[model.CallID][]model.Output
	answeredAt    map[model.CallID]time.Duration
	outputs       []model.Output // all outputs, if keepOutputs is set
	keepOutputs   bool
	onSend        func(n *simNode, s model.SendTarget) bool      // if it returns true, the request is not served
	onPeer        func(n *simNode, m model.SendPeer) (drop bool) // if it returns true, the message is not delivered
}

// simNode is one incarnation of an instance.
type simNode struct {
	s           *sim
	id          model.InstanceID
	incarnation model.Incarnation
	e           *Engine
	v           *fakeView
	changes     view.Changes         // passed to the next tick
	report      view.Report          // from the last tick
	drained     []view.DrainedTarget // from all ticks
	inFlight    map[model.TargetID]int
	openWork    map[model.WorkID]model.SendTarget // requests that no reply has ended
	limitBreach string                            // description of the last send that exceeded the level of a target
	down        bool                              // has died; its next incarnation is another simNode
	paused      bool                              // queues inputs but runs no ticks
	wakeAt      time.Duration                     // time of the scheduled wake-up, zero if none
}

// simTarget is a target that runs at most slots requests at once.
type simTarget struct {
	serviceTime time.Duration
	incarnation model.Incarnation
	reports     []model.VersionReport
	running     int
	queue       []func()
	slots       int
}

// fakeView is a view of the control plane whose state the tests set.
type fakeView struct {
	sim        *sim
	set        *objects.Set
	readiness  view.Readiness
	stopping   bool
	self       model.InstanceID
	leads      map[model.TargetID]model.InstanceID
	inactive   map[model.TargetID]bool // targets whose handover to this instance is not complete
	info       map[model.TargetID]view.TargetInfo
	takenOut   map[model.TargetID]bool   // targets that are not eligible
	lostPeers  map[model.InstanceID]bool // instances without a known address
	successor  model.InstanceID
	successors map[model.InstanceID]model.InstanceID
}

func (v *fakeView) Set() *objects.Set           { return v.set }
func (v *fakeView) Readiness() view.Readiness   { return v.readiness }
func (v *fakeView) Stopping() bool              { return v.stopping }
func (v *fakeView) Successor() model.InstanceID { return v.successor }
func (v *fakeView) Lead(t model.TargetID) view.Lead {
	l := view.Lead{Instance: v.leads[t], Address: "addr-" + string(v.leads[t]), Self: v.leads[t] == v.self}
	if n := v.sim.node(l.Instance); n != nil {
		l.Incarnation = n.incarnation
	}
	l.Active = l.Self && !v.inactive[t]
	return l
}
func (v *fakeView) Target(t model.TargetID) view.TargetInfo { return v.info[t] }
func (v *fakeView) Eligible(t model.TargetID) bool          { return !v.takenOut[t] }
func (v *fakeView) PeerAddress(i model.InstanceID) (string, bool) {
	return "addr-" + string(i), !v.lostPeers[i]
}
func (v *fakeView) SuccessorOf(i model.InstanceID) model.InstanceID { return v.successors[i] }

type event struct {
	at  time.Duration
	run func()
}

// newSim returns a sim with a search route "search" over the given number of groups
// and replicas, and a booking route "book" over one group "desk" of 3 targets.
// Target g<i>-<j> holds partition i+1 of version 7. Replica j of group i is led by
// instance (i+j) modulo the number of instances, or by every instance itself with
// PolicyNoSharing.
func newSim(instances, groups, replicas, slots int, policy model.Policy) *sim {
	s := &sim{
		targets: map[model.TargetID]*simTarget{}, runsByBooking: map[string]int{},
		answers: map[model.CallID][]model.Output{}, answeredAt: map[model.CallID]time.Duration{},
		hopDelay: time.Millisecond,
	}
	s.set = &objects.Set{Generation: 1, Limits: objects.DefaultLimits()}
	search := objects.Route{Name: "search", Kind: objects.RouteSearch}
	for i := range groups {
		g := objects.TargetGroup{Name: fmt.Sprintf("g%02d", i)}
		for j := range replicas {
			s.addTarget(&g, fmt.Sprintf("g%02d-%d", i, j), slots, uint32(i+1), groups)
		}
		search.Groups = append(search.Groups, g.Name)
		s.set.Groups = append(s.set.Groups, g)
	}
	desk := objects.TargetGroup{Name: "desk"}
	for j := range 3 {
		s.addTarget(&desk, fmt.Sprintf("desk-%d", j), slots, 0, 0)
	}
	s.set.Groups = append(s.set.Groups, desk)
	s.set.Routes = []objects.Route{{Name: "book", Kind: objects.RouteBooking, Groups: []string{"desk"}}, search}
	for k := range instances {
		s.addNode(model.InstanceID(string(rune('a'+k))), 1, policy)
	}
	for _, n := range s.nodes {
		for i, g := range s.set.Groups {
			for j, t := range g.Targets {
				n.v.leads[model.TargetID(t.Name)] = s.nodes[(i+j)%instances].id
				if policy == model.PolicyNoSharing {
					n.v.leads[model.TargetID(t.Name)] = n.id
				}
			}
		}
		n.changes.Set = true
		n.tick()
	}
	return s
}

func (s *sim) addTarget(g *objects.TargetGroup, name string, slots int, partition uint32, total int) {
	g.Targets = append(g.Targets, objects.Target{Name: name, Address: name + ":1", Slots: slots, Connections: 25})
	t := &simTarget{serviceTime: 5 * time.Millisecond, incarnation: 1, slots: slots}
	if total > 0 {
		t.reports = []model.VersionReport{{Version: 7, Total: total, Partitions: []uint32{partition}}}
	}
	s.targets[model.TargetID(name)] = t
}

func (s *sim) addNode(id model.InstanceID, incarnation model.Incarnation, policy model.Policy) *simNode {
	v := &fakeView{
		sim: s, set: s.set, readiness: view.Readiness{OK: true}, self: id,
		leads: map[model.TargetID]model.InstanceID{}, inactive: map[model.TargetID]bool{},
		info: map[model.TargetID]view.TargetInfo{}, takenOut: map[model.TargetID]bool{},
		lostPeers: map[model.InstanceID]bool{}, successors: map[model.InstanceID]model.InstanceID{},
	}
	for name, t := range s.targets {
		v.info[name] = view.TargetInfo{Known: true, Incarnation: t.incarnation, Level: t.slots, Versions: t.reports}
	}
	n := &simNode{s: s, id: id, incarnation: incarnation, v: v, inFlight: map[model.TargetID]int{}, openWork: map[model.WorkID]model.SendTarget{}}
	n.e = New(model.CoreConfig{
		Self: id, Incarnation: incarnation, Seed: 1, Policy: policy, FixedHedgeDelay: 10 * time.Millisecond,
	}, v)
	s.nodes = append(s.nodes, n)
	return n
}

// node returns the incarnation of an instance that is not down, nil if there is none.
func (s *sim) node(id model.InstanceID) *simNode {
	for _, n := range s.nodes {
		if n.id == id && !n.down {
			return n
		}
	}
	return nil
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	at := s.now + d
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > at })
	s.events = slices.Insert(s.events, i, event{at, run})
}

// run advances the virtual time by d and runs the events that fall due.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		ev := s.events[0]
		s.events = s.events[1:]
		s.now = ev.at
		ev.run()
	}
	s.now = end
}

func (n *simNode) step(in model.Input) {
	n.e.Step(in)
	n.tick()
}

// change reports the targets to the data plane as changed and runs a tick.
func (n *simNode) change(ids ...model.TargetID) {
	slices.Sort(ids)
	n.changes.Targets = ids
	n.tick()
}

func (n *simNode) tick() {
	if n.down || n.paused {
		return
	}
	var out []model.Output
	c := n.changes
	n.changes = view.Changes{}
	n.report = n.e.Tick(model.Now{Mono: n.s.now, Boot: n.s.now}, c, &out)
	n.drained = append(n.drained, n.report.Drained...)
	if n.s.keepOutputs {
		n.s.outputs = append(n.s.outputs, out...)
	}
	for _, o := range out {
		n.applyOutput(o)
	}
	if w := n.e.NextWake(); w != model.NoWake && w != n.wakeAt {
		n.wakeAt = w
		n.s.after(max(0, w-n.s.now), func() {
			if n.wakeAt == w {
				n.wakeAt = 0
				n.tick()
			}
		})
	}
}

func (n *simNode) applyOutput(o model.Output) {
	s := n.s
	switch o := o.(type) {
	case model.SendTarget:
		n.inFlight[o.Target]++
		n.openWork[o.Work] = o
		if t := &n.e.targets[n.e.targetIndex[o.Target]]; n.inFlight[o.Target] > t.level && !n.e.bypassesLeads() {
			n.limitBreach = fmt.Sprintf("%s got %d in flight, want at most level %d", o.Target, n.inFlight[o.Target], t.level)
		}
		if s.onSend == nil || !s.onSend(n, o) {
			s.serve(n, o)
		}
	case model.CancelTarget:
		if w, ok := n.openWork[o.Work]; ok {
			s.after(0, func() { s.reply(n, w, model.TargetReply{Error: model.KindCancelled}) })
		}
	case model.SendPeer:
		if s.onPeer == nil || !s.onPeer(n, o) {
			s.deliver(n, o)
		}
	case model.SearchAnswer:
		s.answers[o.Call], s.answeredAt[o.Call] = append(s.answers[o.Call], o), s.now
	case model.BookAnswer:
		s.answers[o.Call], s.answeredAt[o.Call] = append(s.answers[o.Call], o), s.now
	case model.BookingIDs:
		s.answers[o.Call] = append(s.answers[o.Call], o)
	}
}

// deliver delivers a message from node n after the hop delay.
func (s *sim) deliver(n *simNode, o model.SendPeer) {
	s.after(s.hopDelay, func() {
		if to := s.node(o.To); to != nil {
			to.step(model.PeerInput{From: n.id, Incarnation: n.incarnation, Message: o.Message})
		}
	})
}

// serve runs the work at its target, or queues it there while all slots are in use.
func (s *sim) serve(n *simNode, o model.SendTarget) {
	t := s.targets[o.Target]
	t.queue = append(t.queue, func() {
		s.after(t.serviceTime, func() {
			t.running--
			t.startQueued()
			s.reply(n, o, s.execute(o))
		})
	})
	t.startQueued()
}

func (t *simTarget) startQueued() {
	for t.running < t.slots && len(t.queue) > 0 {
		t.running++
		q := t.queue[0]
		t.queue = t.queue[1:]
		q()
	}
}

// execute counts a run of the work and returns the reply of a healthy target.
func (s *sim) execute(o model.SendTarget) model.TargetReply {
	t := s.targets[o.Target]
	if o.BookingID != "" {
		s.runsByBooking[o.BookingID]++
	}
	r := model.TargetReply{
		Work: o.Work, Execution: model.Ran, Latency: t.serviceTime,
		Answer: model.TargetAnswer{Snapshot: o.Snapshot, Incarnation: t.incarnation, Body: fmt.Append(nil, o.Snapshot)},
	}
	if v := findVersion(t.reports, o.Snapshot); v != nil {
		r.Answer.Partitions = v.Partitions
	}
	return r
}

// reply passes a target's reply to node n, which sent the work. Only the first reply
// to the work is passed.
func (s *sim) reply(n *simNode, o model.SendTarget, r model.TargetReply) {
	if _, ok := n.openWork[o.Work]; !ok {
		return // an earlier reply has ended the work
	}
	delete(n.openWork, o.Work)
	n.inFlight[o.Target]--
	r.Work = o.Work
	n.step(r)
}

func (n *simNode) search(c model.CallID, budget time.Duration) {
	n.step(model.SearchCall{Call: c, RequestID: "r", Route: "search", Budget: budget, Body: []byte("q")})
}

// issueIDs issues booking ids at node n and returns them, or nil if n is not running.
func (n *simNode) issueIDs(count int) []model.BookingID {
	n.step(model.IssueBookingIDs{Call: 1 << 40, Count: count})
	a := n.s.answers[1<<40]
	if len(a) == 0 {
		return nil // the node is paused or down
	}
	return a[len(a)-1].(model.BookingIDs).IDs
}

func (n *simNode) book(c model.CallID, id model.BookingID, budget time.Duration) {
	n.step(model.BookCall{Call: c, Booking: id, Route: "book", Budget: budget, Body: []byte("b")})
}
