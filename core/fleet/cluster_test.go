package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/view"
)

// node is one instance of a test fleet.
type node struct {
	f             *Fleet
	incarnation   model.Incarnation
	up            bool
	paused        bool
	ready         bool
	stopped       bool
	stoppedAt     time.Duration
	monoLag       time.Duration // by which the Mono clock is behind
	readyAt       time.Duration
	lost          []model.InstanceID
	heldTargets   map[model.TargetID]bool // reported as led, to be drained
	events        []model.Event
	reads         int
	adoptedAt     map[string]time.Duration
	reportedLeads map[model.TargetID]view.Lead // as the changes told the data plane
}

// delivery is an input on its way.
type delivery struct {
	at          time.Duration
	from        int // -1: not from an instance
	to          int
	incarnation model.Incarnation // of the receiver, 0 for any
	in          model.Input
}

// pump carries messages between several Fleet values in virtual time.
type testCluster struct {
	t           testing.TB
	now         time.Duration
	nodes       []*node
	queue       []delivery
	place       func(int) model.PlaceID
	dropLink    func(from, to int) bool // messages that are lost
	dropMessage func(to int, m model.PeerMessage) bool
	delay       time.Duration
	service     func(int) *objects.Set // nil: the read fails
	report      func(model.TargetID) (model.TargetReport, bool)
	listed      []int
	viewOf      func(int) int // which disjoint view an instance is in
	// overlap and gap are the times for which a target had more than one
	// active lead in one view, and none at all, since the last reset.
	overlap, gap   time.Duration
	onSend         func(int, model.PeerMessage) // called for each message
	setRegressions int                          // times that an instance went back to an earlier set
}

const step = time.Millisecond

func instance(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("instance-%03d", i)) }

func index(id model.InstanceID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "instance-%d", &i)
	return i
}

func newTestCluster(t testing.TB, n int, set *objects.Set) *testCluster {
	tc := &testCluster{t: t, now: time.Second, delay: step}
	tc.place = func(i int) model.PlaceID { return model.PlaceID(fmt.Sprintf("dc%d", i%2)) }
	tc.service = func(int) *objects.Set { return set }
	tc.report = func(model.TargetID) (model.TargetReport, bool) {
		return model.TargetReport{Incarnation: 1, Versions: []model.VersionReport{{Version: 1, Total: 1, Partitions: []uint32{0}}}}, true
	}
	for i := range n {
		tc.nodes = append(tc.nodes, &node{adoptedAt: map[string]time.Duration{}})
		tc.listed = append(tc.listed, i)
	}
	for i := range n {
		tc.start(i)
	}
	return tc
}

// start starts a new life of an instance.
func (tc *testCluster) start(i int) {
	n := tc.nodes[i]
	n.incarnation = max(n.incarnation, 1_790_000_000_000_000_000) + 1
	n.up, n.ready, n.stopped, n.heldTargets = true, false, false, map[model.TargetID]bool{}
	n.reportedLeads = map[model.TargetID]view.Lead{}
	n.f = New(model.CoreConfig{
		Self: instance(i), Incarnation: n.incarnation, Address: "10.0.0.1:1", Place: tc.place(i),
		Seed: uint64(i) + 100*uint64(n.incarnation%1000), Policy: model.PolicyFull,
		BalancerDelay: 3 * time.Second, StopTimeout: 20 * time.Second,
	})
	tc.enqueue(tc.now, -1, i, tc.instances())
}

func (tc *testCluster) instances() model.InstanceList {
	l := model.InstanceList{OK: true}
	for _, i := range tc.listed {
		l.Instances = append(l.Instances, model.InstanceInfo{ID: instance(i), Address: fmt.Sprint("10.0.0.1:", i), Place: tc.place(i)})
	}
	return l
}

func (tc *testCluster) setList(list ...int) {
	tc.listed = list
	for i, n := range tc.nodes {
		if n.up {
			tc.enqueue(tc.now, -1, i, tc.instances())
		}
	}
}

func (tc *testCluster) enqueue(at time.Duration, from, to int, in model.Input) {
	tc.queue = append(tc.queue, delivery{at: at, from: from, to: to, incarnation: tc.nodes[to].incarnation, in: in})
}

// run advances the time.
func (tc *testCluster) run(d time.Duration) {
	for end := tc.now + d; tc.now < end; {
		tc.now += step
		tc.deliver()
		for i, n := range tc.nodes {
			if n.up && !n.paused && (len(n.f.inbox) > 0 || n.f.NextWake() <= tc.now) {
				tc.tick(i)
			}
		}
		if len(tc.nodes) <= 16 && len(tc.nodes[0].f.byTarget) <= 64 {
			tc.checkLeads()
		}
	}
}

func (tc *testCluster) deliver() {
	var rest []delivery
	for _, d := range tc.queue {
		n := tc.nodes[d.to]
		switch {
		case d.at > tc.now || n.paused:
			rest = append(rest, d)
		case n.up && d.incarnation == n.incarnation:
			n.f.Step(d.in)
		}
	}
	tc.queue = rest
}

func (tc *testCluster) tick(i int) {
	n := tc.nodes[i]
	now := model.Now{Mono: tc.now - n.monoLag, Boot: tc.now}
	before := n.f.configOrder()
	var out []model.Output
	changes := n.f.Tick(now, &out)
	n.lost = append(n.lost, changes.LostPeers...)
	n.f.Report(now, tc.dataPlane(n, changes), &out)
	if changes.Set {
		n.adoptedAt[n.f.Set().Digest] = tc.now
	}
	if laterOrder(before, n.f.configOrder()) {
		tc.setRegressions++
	}
	for _, o := range out {
		tc.handleOutput(i, o)
	}
}

// dataPlane drains a lost target in the same tick.
func (tc *testCluster) dataPlane(n *node, c view.Changes) view.Report {
	r := view.Report{Idle: true}
	for _, id := range c.Targets {
		lead := n.f.Lead(id)
		n.reportedLeads[id] = lead
		if n.heldTargets[id] && !lead.Self {
			delete(n.heldTargets, id)
			r.Drained = append(r.Drained, view.Drained{Target: id, Incarnation: 1, Level: 2})
		}
		if lead.Self {
			n.heldTargets[id] = true
		}
	}
	return r
}

func (tc *testCluster) handleOutput(i int, o model.Output) {
	n := tc.nodes[i]
	switch o := o.(type) {
	case model.SendPeer:
		tc.sendPeer(i, o)
	case model.ReadConfig:
		n.reads++
		tc.read(i, o)
	case model.ProbeTarget:
		report, ok := tc.report(o.Target)
		tc.enqueue(tc.now+step, -1, i, model.ProbeReply{Target: o.Target, OK: ok, Report: report})
	case model.Ready:
		n.ready, n.readyAt = o.Ready, tc.now
	case model.Event:
		n.events = append(n.events, o)
	case model.Stopped:
		n.stopped, n.stoppedAt = true, tc.now
	}
}

func (tc *testCluster) sendPeer(i int, o model.SendPeer) {
	to := index(o.To)
	if tc.onSend != nil {
		tc.onSend(i, o.Message)
	}
	if tc.dropLink != nil && tc.dropLink(i, to) || tc.dropMessage != nil && tc.dropMessage(to, o.Message) {
		return
	}
	var in model.Input = model.PeerInput{From: instance(i), Incarnation: tc.nodes[i].incarnation, Message: o.Message}
	if c, ok := o.Message.(model.ConfigSet); ok {
		in = model.PeerConfig{From: instance(i), Raw: c.Raw, Set: sets[string(c.Raw)]}
	}
	tc.enqueue(tc.now+tc.delay, i, to, in)
}

func (tc *testCluster) read(i int, o model.ReadConfig) {
	set := tc.service(i)
	switch {
	case set == nil:
		tc.enqueue(tc.now+step, -1, i, model.ConfigResult{})
	case o.Index == set.Generation:
		tc.enqueue(tc.now+o.Wait, -1, i, model.ConfigResult{OK: true, Index: o.Index})
	default:
		tc.enqueue(tc.now+step, -1, i, model.ConfigResult{OK: true, Index: set.Generation, Raw: []byte(set.Digest), Set: set})
	}
}

// checkLeads measures overlaps and gaps in the leads.
func (tc *testCluster) checkLeads() {
	overlap, gap := false, false
	for _, g := range tc.nodes[0].f.groups {
		for _, t := range g.targets {
			leads := tc.activeLeads(t.id)
			gap = gap || len(leads) == 0
			for i := 1; i < len(leads); i++ {
				overlap = overlap || tc.viewSide(leads[i]) == tc.viewSide(leads[i-1])
			}
		}
	}
	if overlap {
		tc.overlap += step
	}
	if gap {
		tc.gap += step
	}
}

func (tc *testCluster) viewSide(i int) int {
	if tc.viewOf == nil {
		return 0
	}
	return tc.viewOf(i)
}

// split cuts the instances below n from the others.
func (tc *testCluster) split(n int) {
	tc.viewOf = func(i int) int {
		if i < n {
			return 0
		}
		return 1
	}
	tc.dropLink = func(a, b int) bool { return tc.viewOf(a) != tc.viewOf(b) }
}

func (tc *testCluster) heal() { tc.dropLink, tc.viewOf = nil, nil }

func observationReport(id model.TargetID, level int) view.Report {
	return view.Report{Observations: []view.Observation{{Target: id, Incarnation: 1, Level: level}}}
}

// level lets the data plane of an instance report the level of its first
// target.
func (tc *testCluster) reportFirstLevel(i, level int) {
	if f := tc.nodes[i].f; len(f.self.leads) > 0 {
		f.Report(model.Now{Mono: tc.now, Boot: tc.now}, observationReport(f.self.leads[0].id, level), &[]model.Output{})
	}
}

// levels reports the level of all targets.
func (tc *testCluster) reportLevels(level int) {
	for _, n := range tc.nodes {
		for _, t := range n.f.self.leads {
			n.f.Report(model.Now{Mono: tc.now, Boot: tc.now}, observationReport(t.id, level), &[]model.Output{})
		}
	}
}

// eligible reports whether a target may get work from its lead.
func (tc *testCluster) eligibleAtLead(id model.TargetID) bool {
	return tc.nodes[index(tc.nodes[0].f.Lead(id).Instance)].f.Eligible(id)
}

// leaveAndReturn takes dc0 and dc1 out and brings them back in reverse order.
func leaveAndReturn(inForce int) []objects.Order {
	return []objects.Order{{Name: "o", InForce: inForce, Steps: []objects.Step{
		{Action: objects.StepLeave, Place: "dc0"}, {Action: objects.StepLeave, Place: "dc1"},
		{Action: objects.StepReturn, Place: "dc1"}, {Action: objects.StepReturn, Place: "dc0"},
	}}}
}

func (tc *testCluster) pause(i int, d time.Duration, sleep bool) {
	n := tc.nodes[i]
	n.paused = true
	tc.run(d)
	n.paused = false
	if sleep {
		n.monoLag += d
	}
}

// activeLeads lists the instances that may send to a target.
func (tc *testCluster) activeLeads(id model.TargetID) []int {
	var leads []int
	for i, n := range tc.nodes {
		if n.up && !n.paused && n.f.Lead(id).Active {
			leads = append(leads, i)
		}
	}
	return leads
}

func (tc *testCluster) allReady() bool {
	return !slices.ContainsFunc(tc.nodes, func(n *node) bool { return n.up && !n.ready })
}

// sets finds a set by its raw form, as a driver's check would.
var sets = map[string]*objects.Set{}

// newSet returns a set of groups with two replicas in two data centres.
func newSet(generation uint64, digest string, groups, targets int) *objects.Set {
	s := &objects.Set{Generation: generation, Digest: digest, Limits: objects.DefaultLimits()}
	s.Places = []objects.Place{{Name: "dc0"}, {Name: "dc1"}}
	for g := range groups {
		tg := objects.TargetGroup{Name: fmt.Sprintf("g%04d", g)}
		for r := range targets {
			tg.Targets = append(tg.Targets, objects.Target{
				Name: fmt.Sprintf("t%04d-%d", g, r), Address: "10.1.0.1:80",
				Place: fmt.Sprintf("dc%d", (g+r)%2), Slots: 2, Connections: 25,
			})
		}
		s.Groups = append(s.Groups, tg)
	}
	sets[digest] = s
	return s
}
