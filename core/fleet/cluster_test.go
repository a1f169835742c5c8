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

// node is one instance of a testCluster.
type node struct {
	f             *Fleet
	incarnation   model.Incarnation
	up            bool
	paused        bool
	ready         bool
	stopped       bool
	stoppedAt     time.Duration
	monoLag       time.Duration // total time of sleep, which the Mono clock does not count
	readyAt       time.Duration
	lostPeers     []model.InstanceID
	heldTargets   map[model.TargetID]bool // led targets, to be reported as drained when the lead is lost
	events        []model.Event
	reads         int // reads of the configuration service
	adoptedAt     map[string]time.Duration
	reportedLeads map[model.TargetID]view.Lead // leads as of the last Changes that named the target
}

// delivery is an input on its way to an instance.
type delivery struct {
	at          time.Duration
	from        int // -1: not from an instance
	to          int
	incarnation model.Incarnation // of the receiver when the input was sent
	in          model.Input
}

// testCluster runs several instances in virtual time and carries their messages.
// It also simulates their data planes, the targets, the configuration service and
// the instance list.
type testCluster struct {
	t            testing.TB
	now          time.Duration
	nodes        []*node
	queue        []delivery
	placeOf      func(int) model.PlaceID
	dropLink     func(from, to int) bool                         // reports whether a message between two instances is lost
	dropMessage  func(to int, m model.PeerMessage) bool          // reports whether this message is lost
	messageDelay time.Duration                                   // of each message between instances
	readService  func(int) *objects.Set                          // set that an instance reads; nil if the read fails
	probeReport  func(model.TargetID) (model.TargetReport, bool) // answer of a target to a probe
	listed       []int                                           // instances on the instance list
	sideOf       func(int) int                                   // side of the partition that an instance is on; nil without a partition
	// overlap is the total time during which any target had more than one active
	// lead on the same side of a partition. gap is the total time during which any
	// target had no active lead at all. Tests reset both.
	overlap, gap   time.Duration
	onSend         func(int, model.PeerMessage) // called for each message
	setRegressions int                          // times that an instance replaced its set by an earlier one
}

const step = time.Millisecond

func instanceID(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("instance-%03d", i)) }

func instanceIndex(id model.InstanceID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "instance-%d", &i)
	return i
}

func newTestCluster(t testing.TB, n int, set *objects.Set) *testCluster {
	tc := &testCluster{t: t, now: time.Second, messageDelay: step}
	tc.placeOf = func(i int) model.PlaceID { return model.PlaceID(fmt.Sprintf("dc%d", i%2)) }
	tc.readService = func(int) *objects.Set { return set }
	tc.probeReport = func(model.TargetID) (model.TargetReport, bool) {
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

// start starts a new incarnation of an instance.
func (tc *testCluster) start(i int) {
	n := tc.nodes[i]
	n.incarnation = max(n.incarnation, 1_790_000_000_000_000_000) + 1
	n.up, n.ready, n.stopped, n.heldTargets = true, false, false, map[model.TargetID]bool{}
	n.reportedLeads = map[model.TargetID]view.Lead{}
	n.f = New(model.CoreConfig{
		Self: instanceID(i), Incarnation: n.incarnation, Address: "10.0.0.1:1", Place: tc.placeOf(i),
		Seed: uint64(i) + 100*uint64(n.incarnation%1000), Policy: model.PolicyFull,
		BalancerDelay: 3 * time.Second, StopTimeout: 20 * time.Second,
	})
	tc.enqueue(tc.now, -1, i, tc.instanceList())
}

func (tc *testCluster) instanceList() model.InstanceList {
	l := model.InstanceList{OK: true}
	for _, i := range tc.listed {
		l.Instances = append(l.Instances, model.InstanceInfo{ID: instanceID(i), Address: fmt.Sprint("10.0.0.1:", i), Place: tc.placeOf(i)})
	}
	return l
}

func (tc *testCluster) setInstanceList(list ...int) {
	tc.listed = list
	for i, n := range tc.nodes {
		if n.up {
			tc.enqueue(tc.now, -1, i, tc.instanceList())
		}
	}
}

func (tc *testCluster) enqueue(at time.Duration, from, to int, in model.Input) {
	tc.queue = append(tc.queue, delivery{at: at, from: from, to: to, incarnation: tc.nodes[to].incarnation, in: in})
}

// run advances the virtual time by d in steps of 1 ms.
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
	n.lostPeers = append(n.lostPeers, changes.LostPeers...)
	n.f.ApplyReport(now, tc.dataPlane(n, changes), &out)
	if changes.Set {
		n.adoptedAt[n.f.Set().Digest] = tc.now
	}
	if isLaterOrder(before, n.f.configOrder()) {
		tc.setRegressions++
	}
	for _, o := range out {
		tc.handleOutput(i, o)
	}
}

// dataPlane simulates the data plane of an instance. It reports a target as
// drained in the tick in which the instance loses the lead.
func (tc *testCluster) dataPlane(n *node, c view.Changes) view.Report {
	r := view.Report{Idle: true}
	for _, id := range c.Targets {
		lead := n.f.Lead(id)
		n.reportedLeads[id] = lead
		if n.heldTargets[id] && !lead.Self {
			delete(n.heldTargets, id)
			r.Drained = append(r.Drained, view.DrainedTarget{Target: id, Incarnation: 1, Level: 2})
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
		tc.answerRead(i, o)
	case model.ProbeTarget:
		report, ok := tc.probeReport(o.Target)
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
	to := instanceIndex(o.To)
	if tc.onSend != nil {
		tc.onSend(i, o.Message)
	}
	if tc.dropLink != nil && tc.dropLink(i, to) || tc.dropMessage != nil && tc.dropMessage(to, o.Message) {
		return
	}
	var in model.Input = model.PeerInput{From: instanceID(i), Incarnation: tc.nodes[i].incarnation, Message: o.Message}
	if c, ok := o.Message.(model.ConfigSet); ok {
		in = model.PeerConfig{From: instanceID(i), Raw: c.Raw, Set: sets[string(c.Raw)]}
	}
	tc.enqueue(tc.now+tc.messageDelay, i, to, in)
}

func (tc *testCluster) answerRead(i int, o model.ReadConfig) {
	set := tc.readService(i)
	switch {
	case set == nil:
		tc.enqueue(tc.now+step, -1, i, model.ConfigResult{})
	case o.Index == set.Generation:
		tc.enqueue(tc.now+o.Wait, -1, i, model.ConfigResult{OK: true, Index: o.Index})
	default:
		tc.enqueue(tc.now+step, -1, i, model.ConfigResult{OK: true, Index: set.Generation, Raw: []byte(set.Digest), Set: set})
	}
}

// checkLeads adds a step to overlap or gap if any target has more than one
// active lead or none.
func (tc *testCluster) checkLeads() {
	overlap, gap := false, false
	for _, g := range tc.nodes[0].f.groups {
		for _, t := range g.targets {
			leads := tc.activeLeads(t.id)
			gap = gap || len(leads) == 0
			for i := 1; i < len(leads); i++ {
				overlap = overlap || tc.side(leads[i]) == tc.side(leads[i-1])
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

func (tc *testCluster) side(i int) int {
	if tc.sideOf == nil {
		return 0
	}
	return tc.sideOf(i)
}

// partitionAt partitions the cluster into the instances below n and all others.
func (tc *testCluster) partitionAt(n int) {
	tc.sideOf = func(i int) int {
		if i < n {
			return 0
		}
		return 1
	}
	tc.dropLink = func(a, b int) bool { return tc.sideOf(a) != tc.sideOf(b) }
}

func (tc *testCluster) heal() { tc.dropLink, tc.sideOf = nil, nil }

func observationReport(id model.TargetID, level int) view.Report {
	return view.Report{Observations: []view.Observation{{Target: id, Incarnation: 1, Level: level}}}
}

// reportFirstLevel lets the data plane of an instance report the level of the
// first target that it leads.
func (tc *testCluster) reportFirstLevel(i, level int) {
	if f := tc.nodes[i].f; len(f.self.leads) > 0 {
		f.ApplyReport(model.Now{Mono: tc.now, Boot: tc.now}, observationReport(f.self.leads[0].id, level), &[]model.Output{})
	}
}

// reportLevels lets the data plane of every instance report the level of all
// targets that it leads.
func (tc *testCluster) reportLevels(level int) {
	for _, n := range tc.nodes {
		for _, t := range n.f.self.leads {
			n.f.ApplyReport(model.Now{Mono: tc.now, Boot: tc.now}, observationReport(t.id, level), &[]model.Output{})
		}
	}
}

// eligibleAtLead reports whether a target may get work from its lead.
func (tc *testCluster) eligibleAtLead(id model.TargetID) bool {
	return tc.nodes[instanceIndex(tc.nodes[0].f.Lead(id).Instance)].f.Eligible(id)
}

// leaveAndReturn returns an order that takes dc0 and dc1 out of service and then
// returns dc1 and dc0. The first inForce of its four steps are in force.
func leaveAndReturn(inForce int) []objects.Order {
	return []objects.Order{{Name: "o", InForce: inForce, Steps: []objects.Step{
		{Action: objects.StepLeave, Place: "dc0"}, {Action: objects.StepLeave, Place: "dc1"},
		{Action: objects.StepReturn, Place: "dc1"}, {Action: objects.StepReturn, Place: "dc0"},
	}}}
}

// pause stops an instance for d. If sleep is true, its Mono clock stops too.
func (tc *testCluster) pause(i int, d time.Duration, sleep bool) {
	n := tc.nodes[i]
	n.paused = true
	tc.run(d)
	n.paused = false
	if sleep {
		n.monoLag += d
	}
}

// activeLeads lists the instances that are active leads of a target.
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

// sets holds all sets by their raw form, which is the digest in these tests. It
// stands in for the decoding of a set that a peer sends.
var sets = map[string]*objects.Set{}

// newSet returns a set of groups with the given number of targets each, in two
// data centres, and registers it in sets.
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
