package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// fault is one row of the matrix: what fails in a fleet of 8 instances and 16
// targets, and the outcome.
type faultCase struct {
	name string
	run  func(*testCluster)
	// overlap and gap bound the sums of the times in which any target had two
	// active leads in one view, or none in any.
	overlap, gap time.Duration
}

const second = time.Second

// The bounds of the gap: a crashed or cut lead is found after a round of the
// exchange (7 x 200 ms), 300 ms + 300 ms, is suspected for 1 s, and the
// handover wait is 1 s.
const maxTakeover = 7*200*time.Millisecond + 2600*time.Millisecond + 200*time.Millisecond

// handover is the time of a LeadRelease on its way.
const releaseTransit = 2 * step

var faultCases = []faultCase{
	{name: "nothing", run: func(p *testCluster) { p.run(10 * second) }},
	{name: "drop", run: func(p *testCluster) {
		rng := rand.New(rand.NewPCG(1, 2))
		p.dropLink = func(int, int) bool { return rng.IntN(10) == 0 }
		p.run(20 * second)
		p.wantReady(8)
	}},
	{name: "delay", run: func(p *testCluster) {
		p.delay = 80 * time.Millisecond
		p.run(20 * second)
		p.wantReady(8)
	}},
	{name: "crash", gap: maxTakeover, run: func(p *testCluster) {
		p.nodes[3].up = false
		p.run(10 * second)
		p.wantReady(7)
		p.wantLost(0, 3)
	}},
	// A broken stream saves the round of the exchange and the first 300 ms.
	{name: "crash, streams break", gap: 2500 * time.Millisecond, run: func(p *testCluster) {
		p.nodes[3].up = false
		for i := range p.nodes {
			p.enqueue(p.now, -1, i, model.PeerDown{Peer: instance(3)})
		}
		p.run(10 * second)
		p.wantReady(7)
	}},
	{name: "restart", gap: maxTakeover, run: func(p *testCluster) {
		p.start(3)
		p.run(10 * second)
		p.wantReady(8)
		p.wantLost(0, 3)
	}},
	{name: "pause", gap: 2 * maxTakeover, run: func(p *testCluster) { p.checkPauseAndResume(false) }},
	{name: "sleep", gap: 2 * maxTakeover, run: func(p *testCluster) { p.checkPauseAndResume(true) }},
	{name: "one cut off", gap: maxTakeover, overlap: 400 * time.Millisecond, run: func(p *testCluster) {
		p.split(1)
		p.service = func(i int) *objects.Set { return p.firstSetUnless(i == 0) }
		p.run(6 * second)
		p.check(!p.nodes[0].ready, "the instance that is cut off has stopped")
		p.wantReady(7)
		p.heal()
		p.run(3 * second)
		p.wantReady(8)
	}},
	{name: "one link cut", run: func(p *testCluster) {
		p.dropLink = func(a, b int) bool { return a+b == 1 }
		p.run(10 * second)
		p.wantReady(8)
	}},
	{name: "one not heard", gap: maxTakeover, run: func(p *testCluster) {
		p.dropLink = func(from, _ int) bool { return from == 0 }
		p.run(10 * second)
		p.heal()
		p.run(3 * second)
		p.wantReady(8)
	}},
	{name: "split, service at both", overlap: 400 * time.Millisecond, gap: maxTakeover, run: func(p *testCluster) {
		p.split(4)
		p.run(10 * second)
		p.wantReady(8)
		p.heal()
		p.run(3 * second)
		p.checkNoOverlap()
	}},
	{name: "split, service down", overlap: 400 * time.Millisecond, gap: maxTakeover, run: func(p *testCluster) {
		p.service = func(int) *objects.Set { return nil }
		p.split(3)
		p.run(6 * second)
		p.wantReady(5)
		p.check(!p.nodes[0].ready, "the minority has stopped")
		p.heal()
		p.run(3 * second)
		p.wantReady(8)
		p.checkNoOverlap()
	}},
	{name: "even split, service down", gap: maxTakeover, overlap: 400 * time.Millisecond, run: func(p *testCluster) {
		p.service = func(int) *objects.Set { return nil }
		p.split(4)
		p.run(6 * second)
		p.wantReady(4)
		p.check(p.nodes[0].ready, "the half with the lowest id goes on")
	}},
	{name: "service down, new instance", gap: releaseTransit, run: func(p *testCluster) {
		p.service = func(int) *objects.Set { return nil }
		p.run(20 * second)
		p.wantReady(8)
		p.addInstance()
		p.run(3 * second)
		p.wantReady(9)
	}},
	{name: "service down, new set at one instance", run: func(p *testCluster) {
		p.service = func(int) *objects.Set { return nil }
		p.run(5 * second)
		p.enqueue(p.now, -1, 5, model.PeerConfig{From: instance(4), Raw: []byte("b"), Set: matrixSet(2, "b")})
		p.run(3 * second)
		p.wantSet("b", 8)
	}},
	{name: "service stale, new instance", gap: releaseTransit, run: func(p *testCluster) {
		p.publish(matrixSet(2, "b"))
		p.run(3 * second)
		p.publish(matrixSet(1, "a"))
		p.addInstance()
		n := p.nodes[8]
		for range 5000 {
			p.run(step)
			p.check(!n.ready || n.f.set.Digest == "b", "a new instance is not ready on the old set")
		}
		p.wantSet("b", 9)
		p.wantReady(9)
	}},
	{name: "racing publications", run: func(p *testCluster) {
		p.service = func(i int) *objects.Set {
			if i < 4 {
				return matrixSet(2, "b")
			}
			return matrixSet(2, "c")
		}
		p.run(3 * second)
		p.wantSet("c", 8)
		p.run(5 * second)
		p.wantSet("c", 8)
	}},
	{name: "publication during a split", overlap: 400 * time.Millisecond, gap: maxTakeover, run: func(p *testCluster) {
		p.split(4)
		p.service = func(i int) *objects.Set { return p.firstSetUnless(i < 4) }
		p.run(4 * second)
		p.service = func(i int) *objects.Set { return p.setUnless(i < 4, matrixSet(2, "b")) }
		p.run(4 * second)
		p.heal()
		p.run(3 * second)
		p.wantSet("b", 8)
	}},
	{name: "list lags behind a death", gap: maxTakeover, run: func(p *testCluster) {
		p.nodes[3].up = false
		p.run(6 * second)
		p.wantReady(7)
		p.setList(0, 1, 2, 4, 5, 6, 7)
		p.run(3 * second)
		p.wantReady(7)
	}},
	{name: "list fails or is empty", run: func(p *testCluster) {
		for i := range p.nodes {
			p.enqueue(p.now, -1, i, model.InstanceList{})
			p.enqueue(p.now, -1, i, model.InstanceList{OK: true})
		}
		p.run(5 * second)
		p.wantReady(8)
	}},
	{name: "list lags behind a start", gap: releaseTransit, run: func(p *testCluster) {
		p.nodes = append(p.nodes, &node{adoptedAt: map[string]time.Duration{}})
		p.listed = append(p.listed, 8)
		p.start(8)
		p.run(3 * second)
		p.setList(p.listed...)
		p.run(3 * second)
		p.wantReady(9)
	}},
	{name: "stop", gap: releaseTransit, run: func(p *testCluster) {
		at := p.now
		p.enqueue(p.now, -1, 3, model.Shutdown{})
		p.run(2 * second)
		p.check(!p.nodes[3].ready && !p.nodes[3].f.Stopping(), "a stopping instance serves during the balancer delay")
		p.run(2 * second)
		p.check(p.nodes[3].stopped && p.nodes[3].stoppedAt-at < 3100*time.Millisecond, "stopped after the balancer delay")
		p.wantReady(7)
	}},
}

// Guards against two leads, a set that goes back and a fleet that does not
// recover, for each fault on its own.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faultCases {
		t.Run(f.name, func(t *testing.T) {
			tc := newTestCluster(t, 8, matrixSet(1, "a"))
			tc.run(5 * second)
			tc.wantReady(8)
			tc.overlap, tc.gap = 0, 0
			f.run(tc)
			t.Logf("overlap %v, gap %v", tc.overlap, tc.gap)
			if tc.overlap > f.overlap {
				t.Errorf("two active leads in one view for %v, want at most %v", tc.overlap, f.overlap)
			}
			if tc.gap > f.gap {
				t.Errorf("a target without lead for %v, want at most %v", tc.gap, f.gap)
			}
			tc.check(tc.setRegressions == 0, "no set is followed by an earlier one")
			tc.checkReportedLeads()
		})
	}
}

func matrixSet(generation uint64, digest string) *objects.Set {
	return newSet(generation, digest, 8, 2)
}

// leadsTold checks that the data planes know the present leads. One that was
// not told of a lead that is active again would never send there.
func (tc *testCluster) checkReportedLeads() {
	tc.t.Helper()
	for i, n := range tc.nodes {
		for id, reported := range n.reportedLeads {
			if n.up && reported != n.f.Lead(id) {
				tc.t.Errorf("i%03d: the data plane was told %+v of %s, the lead is %+v", i, reported, id, n.f.Lead(id))
			}
		}
	}
}

func (tc *testCluster) publish(s *objects.Set) { tc.service = func(int) *objects.Set { return s } }

func (tc *testCluster) firstSetUnless(down bool) *objects.Set {
	return tc.setUnless(down, matrixSet(1, "a"))
}

func (tc *testCluster) setUnless(down bool, set *objects.Set) *objects.Set {
	if down {
		return nil
	}
	return set
}

func (tc *testCluster) check(ok bool, expected string) {
	tc.t.Helper()
	if !ok {
		tc.t.Errorf("at %v: not so: %s", tc.now, expected)
	}
}

func (tc *testCluster) wantReady(want int) {
	tc.t.Helper()
	got := 0
	for _, n := range tc.nodes {
		if n.up && n.ready {
			got++
		}
	}
	if got != want {
		tc.t.Errorf("at %v: %d instances are ready, want %d", tc.now, got, want)
	}
}

func (tc *testCluster) wantSet(digest string, want int) {
	tc.t.Helper()
	got := 0
	for _, n := range tc.nodes {
		if n.f.Set() != nil && n.f.Set().Digest == digest {
			got++
		}
	}
	if got != want {
		tc.t.Errorf("at %v: set %s is in force at %d instances, want %d", tc.now, digest, got, want)
	}
}

func (tc *testCluster) wantLost(at, peer int) {
	tc.t.Helper()
	for _, id := range tc.nodes[at].lost {
		if id == instance(peer) {
			return
		}
	}
	tc.t.Errorf("i%03d has not reported i%03d as lost", at, peer)
}

// overlapEnds checks that a healed fleet has one lead for each target.
func (tc *testCluster) checkNoOverlap() {
	tc.t.Helper()
	before := tc.overlap
	tc.run(2 * second)
	tc.check(tc.overlap == before, "one active lead for each target 3 s after healing")
}

// add starts one more instance that all lists name.
func (tc *testCluster) addInstance() {
	tc.nodes = append(tc.nodes, &node{adoptedAt: map[string]time.Duration{}})
	tc.setList(append(tc.listed, len(tc.nodes)-1)...)
	tc.start(len(tc.nodes) - 1)
}

func (tc *testCluster) checkPauseAndResume(sleep bool) {
	n := tc.nodes[3]
	tc.pause(3, 6*second, sleep)
	tc.service = func(i int) *objects.Set { return tc.firstSetUnless(i == 3) }
	tc.dropLink = func(a, b int) bool { return a == 3 || b == 3 }
	tc.run(1900 * time.Millisecond)
	tc.check(!n.f.Readiness().OK, "a resumed instance sends nothing before it is confirmed")
	tc.heal()
	tc.run(3 * second)
	tc.wantReady(8)
	tc.pause(3, 3*second, sleep)
	tc.run(3 * second)
	tc.wantReady(8)
}
