package engine_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// fault is one row of the fault matrix. inject gets the instance that takes the step, or
// the peer of that instance, and the target of the step or, if the step has none, the
// first target. inject returns a function that ends the fault, to be called after
// duration, or nil.
type fault struct {
	name            string
	maxLeads        int // see checks.maxLeads
	duration        time.Duration
	inject          func(c *cluster, n *node, tgt *target) (heal func())
	ignoresInstance bool // inject ignores the instance, so that the fault isn't repeated at the peer
}

// linksOf returns a predicate for the links from and to the instance.
func linksOf(n *node) func(a, b *node) bool { return func(a, b *node) bool { return a == n || b == n } }

// serviceDownFor returns a value of cluster.readService with which reads by the instance
// fail, or all reads if the instance is nil.
func serviceDownFor(n *node) func(*node) string {
	return func(at *node) string {
		if at == n || n == nil {
			return ""
		}
		return at.c.currentRaw
	}
}

// pauseInstance pauses the process of an instance and returns a function that resumes it.
func pauseInstance(n *node) func() {
	n.faulted = true
	n.pause()
	return n.resume
}

// healNetwork ends cuts between instances and faults of the configuration service and the
// instance list. It does not end stalled links (see releaseStalled) or repeated messages.
func (c *cluster) healNetwork() {
	c.isCut = func(a, b *node) bool { return false }
	c.readService = func(*node) string { return c.currentRaw }
	c.listFrozen = false
	c.instanceList = func(*node) []model.InstanceInfo { return c.platformList }
}

// restartLater returns a function that starts a new incarnation of the instance.
func (c *cluster) restartLater(n *node) func() { return func() { c.start(n) } }

func killInstance(c *cluster, n *node, _ *target) func() {
	n.kill()
	return c.restartLater(n)
}

// makeNextSet returns a set of the generation after the latest one, with the same steps
// of the order in force. The target named by drained is set to drain.
func (c *cluster) makeNextSet(drained string) string {
	var latest uint64
	stepsInForce := 0
	for _, raw := range c.publishedRaws {
		if set := c.setsByRaw[raw]; set.Generation > latest {
			latest, stepsInForce = set.Generation, set.Orders[0].InForce
		}
	}
	return c.makeSet(latest+1, stepsInForce, drained)
}

// restartUnderLoad restarts a target while it has requests in flight, so that connections
// break, and then sends more searches than it sustains.
func (c *cluster) restartUnderLoad(tgt *target) {
	if len(tgt.inFlight) == 0 {
		c.after(ms, func() { c.restartUnderLoad(tgt) })
		return
	}
	c.killTarget(tgt)
	c.startTarget(tgt)
	c.after(breakDetectionTime, func() {
		for range 6 {
			if n := c.pickReadyInstance(); n != nil {
				c.search(n, 200*ms)
			}
		}
	})
}

var faults = []fault{
	{name: "none", maxLeads: 1, inject: func(c *cluster, _ *node, _ *target) func() { return nil }, ignoresInstance: true},
	{name: "instance killed", maxLeads: 1, duration: 4 * second, inject: killInstance},
	{name: "paused 0.3 s", maxLeads: 1, duration: 300 * ms, inject: func(c *cluster, n *node, _ *target) func() { return pauseInstance(n) }},
	{name: "paused 3 s", maxLeads: 1, duration: 3 * second, inject: func(c *cluster, n *node, _ *target) func() { return pauseInstance(n) }},
	{name: "paused 30 s", maxLeads: 1, duration: 30 * second, inject: func(c *cluster, n *node, _ *target) func() { return pauseInstance(n) }},
	{name: "cut from peers", maxLeads: 2, duration: 5 * second, inject: func(c *cluster, n *node, _ *target) func() {
		n.faulted = true
		c.isCut = linksOf(n)
		return c.healNetwork
	}},
	{name: "asleep 3 s", maxLeads: 1, duration: 3 * second, inject: func(c *cluster, n *node, _ *target) func() {
		wake := pauseInstance(n)
		return func() { n.sleptFor += 3 * second; wake() }
	}},
	{name: "links stall", maxLeads: 2, duration: 5 * second, inject: func(c *cluster, n *node, _ *target) func() {
		n.faulted = true
		c.isStalled = linksOf(n)
		return c.releaseStalled
	}},
	{name: "target slow", maxLeads: 1, duration: 3 * second, ignoresInstance: true, inject: func(c *cluster, _ *node, tgt *target) func() {
		tgt.fixedServiceTime = 150 * ms
		return func() { tgt.fixedServiceTime = 0 }
	}},
	{name: "target contradicts", maxLeads: 1, duration: 3 * second, ignoresInstance: true, inject: func(c *cluster, _ *node, tgt *target) func() {
		tgt.contradiction = contradictionMissing
		c.after(second, func() { tgt.contradiction = contradictionTruncated })
		c.after(2*second, func() { tgt.contradiction = contradictionVersion })
		return func() { tgt.contradiction = contradictionNone }
	}},
	{name: "messages repeated", maxLeads: 1, duration: 5 * second, ignoresInstance: true, inject: func(c *cluster, _ *node, _ *target) func() {
		c.duplicateMessages = true
		return func() { c.duplicateMessages = false }
	}},
	{name: "target drains", maxLeads: 1, duration: 5 * second, ignoresInstance: true, inject: func(c *cluster, _ *node, tgt *target) func() {
		tgt.draining, tgt.withdrawnAt = true, c.now
		return func() { tgt.draining, tgt.withdrawnAt = false, 0 }
	}},
	{name: "version retired", maxLeads: 1, ignoresInstance: true, inject: func(c *cluster, _ *node, _ *target) func() {
		c.repartition()
		return nil
	}},
	{name: "cut from service", maxLeads: 1, duration: 5 * second, inject: func(c *cluster, n *node, _ *target) func() {
		c.readService = serviceDownFor(n)
		return c.healNetwork
	}},
	{name: "cut from all but targets", maxLeads: 1, duration: 5 * second, inject: func(c *cluster, n *node, _ *target) func() {
		n.faulted = true
		c.readService, c.isCut = serviceDownFor(n), linksOf(n)
		return c.healNetwork
	}},
	// The cut lies between the instances 0, 1, 4, 5, ... and 2, 3, 6, 7, ..., so that each
	// side has instances in both data centres.
	{name: "half cut", maxLeads: 2, duration: 5 * second, inject: func(c *cluster, n *node, _ *target) func() {
		half := n.index / 2 % 2
		c.isCut = func(a, b *node) bool {
			return a.index/2%2 != b.index/2%2 && (a.index/2%2 == half || b.index/2%2 == half)
		}
		return c.healNetwork
	}},
	{name: "half cut, target cold", maxLeads: 2, duration: 5 * second, ignoresInstance: true, inject: func(c *cluster, _ *node, tgt *target) func() {
		c.isCut = func(a, b *node) bool { return a.index/2%2 != b.index/2%2 }
		// After 4 s each side has its own lead for the target.
		c.after(4*second, func() { c.killTarget(tgt); c.startTarget(tgt) })
		return c.healNetwork
	}},
	{name: "half cut, service down", maxLeads: 1, duration: 5 * second, inject: func(c *cluster, n *node, _ *target) func() {
		c.isCut = func(a, b *node) bool { return a.index/2%2 != b.index/2%2 }
		c.readService, c.configServiceFaulty = serviceDownFor(nil), true
		return c.healNetwork
	}},
	// The frozen list names a killed instance and lacks a new one.
	{name: "list lags", maxLeads: 1, duration: 10 * second, inject: func(c *cluster, n *node, _ *target) func() {
		c.listFrozen = true
		n.kill()
		c.start(c.addNode(len(c.nodes)))
		return func() { c.healNetwork(); c.start(n) }
	}},
	// The lists of all other instances with an even index lack the instance.
	{name: "list wrong for some", maxLeads: 2, duration: 5 * second, inject: func(c *cluster, n *node, _ *target) func() {
		c.instanceList = func(at *node) []model.InstanceInfo {
			if at != n && at.index%2 == 0 {
				return c.completeList(n)
			}
			return c.platformList
		}
		return c.healNetwork
	}},
	{name: "target restarted cold", maxLeads: 1, ignoresInstance: true, inject: func(c *cluster, _ *node, tgt *target) func() {
		c.restartUnderLoad(tgt)
		return nil
	}},
	{name: "target killed", maxLeads: 1, duration: 4 * second, ignoresInstance: true, inject: func(c *cluster, _ *node, tgt *target) func() {
		c.killTarget(tgt)
		return func() { c.startTarget(tgt) }
	}},
	{name: "service down", maxLeads: 1, duration: 5 * second, ignoresInstance: true, inject: func(c *cluster, _ *node, _ *target) func() {
		c.readService, c.configServiceFaulty = serviceDownFor(nil), true
		return c.healNetwork
	}},
	// All reads return the first set that was published.
	{name: "service stale", maxLeads: 1, duration: 5 * second, ignoresInstance: true, inject: func(c *cluster, _ *node, _ *target) func() {
		c.configServiceFaulty = true
		c.readService = func(*node) string { return c.publishedRaws[0] }
		return c.healNetwork
	}},
	// Reads by the instance return the set before the latest one.
	{name: "service differs", maxLeads: 1, duration: 5 * second, inject: func(c *cluster, n *node, _ *target) func() {
		old := c.publishedRaws[max(0, len(c.publishedRaws)-2)]
		c.readService = func(at *node) string {
			if at == n {
				return old
			}
			return c.currentRaw
		}
		return c.healNetwork
	}},
	{name: "racing publications", maxLeads: 1, ignoresInstance: true, inject: func(c *cluster, _ *node, _ *target) func() {
		a, b := c.makeNextSet("s0-0"), c.makeNextSet("s1-0")
		if c.setsByRaw[a].Newer(c.setsByRaw[b]) {
			a, b = b, a
		}
		c.publish(a)
		c.after(15*ms, func() { c.publish(b) })
		return nil
	}},
	{name: "data centre out", maxLeads: 1, duration: 5 * second, ignoresInstance: true, inject: func(c *cluster, _ *node, _ *target) func() {
		c.publish(c.makeSet(5, 1, ""))
		return func() { c.publish(c.makeSet(6, 2, "")) }
	}},
}

// repartition adds version 8 to one search target after another and then retires version
// 7 in the same way. Both versions have the same number of partitions, but distribute them
// differently over the groups.
func (c *cluster) repartition() {
	for i, tgt := range c.targets {
		if tgt.group == "desk" {
			continue
		}
		next := model.VersionReport{Version: 8, Total: 6, Partitions: []uint32{uint32(i/2 + 1), uint32(i/2 + 4)}}
		c.after(time.Duration(i)*100*ms, func() { tgt.versions = append(tgt.versions[:1:1], next) })
		c.after(second+time.Duration(i)*100*ms, func() { tgt.versions = tgt.versions[len(tgt.versions)-1:] })
	}
}

// scenario is one kind of work and its steps at the interfaces of the core. The first
// peerSteps steps involve two instances.
type scenario struct {
	name      string
	begin     func(c *cluster)
	peerSteps int
	steps     []string
}

var scenarios = []scenario{
	{"search", func(*cluster) {}, 2, []string{"RelayRequest", "RelayReply", "SearchCall", "SendTarget", "TargetReply", "SearchAnswer"}},
	{"booking", func(*cluster) {}, 3, []string{"BookForward", "RelayRequest booking", "BookOutcome", "BookCall",
		"SendTarget booking", "TargetReply booking", "BookAnswer"}},
	{"handover", func(c *cluster) {
		n := c.nodes[1]
		n.stopRequestedAt = c.now
		n.step(model.Shutdown{})
		c.after(5*second, func() {
			if !n.up && n.stoppedAt > 0 {
				c.start(n)
			}
		})
	}, 3, []string{"MemberStatus draining", "LeadRelease", "BookingHandover", "LeadState releasing", "LeadState waiting",
		"LeadState active", "Stopped", "MemberStatus serving"}},
	{"move", func(c *cluster) {
		c.publish(c.makeSet(2, 1, ""))
		c.after(5*second, func() { c.publish(c.makeSet(3, 2, "")) })
	}, 3, []string{"ConfigAnnounce", "ConfigFetch", "ConfigSet", "ConfigAccepted"}},
}

var (
	matrixSeed = flag.Uint64("matrix.seed", 1, "seed of the fault matrix")
	randomRuns = flag.Int("matrix.random", 12, "number of runs with several faults")
)

// TestMain makes the garbage collector run less often, because the tests allocate a lot of
// memory but retain little of it.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// runFault begins a scenario, injects one fault at the first occurrence of a step, and
// returns the cluster after checkRecovered.
func runFault(t testing.TB, sc *scenario, step string, f *fault, atPeer bool, seed uint64) *cluster {
	c := newCluster(t, 4, 2, seed)
	c.maxLeads = 1
	c.run(2 * second)
	c.generateLoad()
	c.run(2 * second)
	end := c.now + 10*second
	c.maxLeads = f.maxLeads
	c.stepHook = func(name string, n, peer *node, tgt *target) {
		if name != step || atPeer && peer == nil {
			return
		}
		c.stepHook = func(string, *node, *node, *target) {}
		if atPeer {
			n = peer
		}
		if tgt == nil {
			tgt = c.targets[0]
		}
		c.faultInjected = true
		heal := f.inject(c, n, tgt)
		if heal != nil {
			c.after(f.duration, heal)
		}
		end = max(end, c.now+f.duration+6*second)
	}
	sc.begin(c)
	for c.now < end {
		c.run(min(second, end-c.now))
	}
	c.loadStopped = true
	c.run(3 * second)
	c.checkRecovered()
	return c
}

// Guards against a violation of a statement of "What must always hold" by a single fault
// at any step of a search, a booking, a handover and a move.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		for _, sc := range scenarios {
			for i, step := range sc.steps {
				for _, atPeer := range []bool{false, true} {
					if atPeer && (f.ignoresInstance || i >= sc.peerSteps) {
						continue
					}
					name := f.name + "/" + sc.name + "/" + step
					if atPeer {
						name += "/peer"
					}
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						c := runFault(t, &sc, step, &f, atPeer, *matrixSeed)
						c.checkAtEnd()
						if !c.faultInjected {
							t.Error("no fault was injected: the step did not occur")
						}
						for _, v := range c.violations {
							t.Error(v)
						}
					})
				}
			}
		}
	}
}

// Guards against a violation of the same statements by three faults that may overlap, in
// fleets of different sizes.
func TestRandomFaults(t *testing.T) {
	for i := range *randomRuns {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			seed := *matrixSeed*1000 + uint64(i)
			rng := rand.New(rand.NewPCG(seed, 2))
			c := newCluster(t, 2+rng.IntN(7), 1+rng.IntN(4), seed)
			c.maxLeads, c.configServiceFaulty = 3, true
			c.run(2 * second)
			c.generateLoad()
			c.run(second)
			injected := "injected faults:"
			for range 3 {
				f := &faults[rng.IntN(len(faults))]
				n, tgt := c.nodes[rng.IntN(len(c.nodes))], c.targets[rng.IntN(len(c.targets))]
				n.faulted = true
				injected += fmt.Sprint(" ", c.now, " ", f.name, " ", n.id, " ", tgt.Name, ";")
				if heal := f.inject(c, n, tgt); heal != nil {
					c.after(f.duration, heal)
				}
				c.run(time.Duration(rng.IntN(2000)) * ms)
			}
			c.run(32 * second)
			c.healNetwork()
			c.run(8 * second)
			c.loadStopped = true
			c.run(3 * second)
			c.checkRecovered()
			c.checkAtEnd()
			for _, v := range c.violations {
				t.Error(injected, v)
			}
		})
	}
}
