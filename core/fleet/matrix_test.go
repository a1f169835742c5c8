package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// faultCase is one row of the fault matrix: what fails in a fleet of 8 instances
// and 16 targets, and what is expected.
type faultCase struct {
	name string
	run  func(*testCluster)
	// overlap and gap are the upper bounds of testCluster.overlap and
	// testCluster.gap at the end of run.
	overlap, gap time.Duration
}

const second = time.Second

// maxTakeover bounds the time from the crash of a lead, or the loss of its links,
// until other instances are active leads of its targets: one exchange with each of
// the 7 peers (7 x 200 ms), the direct and indirect ping (300 ms + 300 ms), the
// suspicion (1 s), the handover timeout (1 s), and a margin of 200 ms.
const maxTakeover = 7*200*time.Millisecond + 2600*time.Millisecond + 200*time.Millisecond

// releaseTransit bounds the time from the release of a lead until the
// LeadRelease arrives.
const releaseTransit = 2 * step

var faultCases = []faultCase{
	{name: "no fault", run: func(tc *testCluster) { tc.run(10 * second) }},
	{name: "messages lost", run: func(tc *testCluster) {
		rng := rand.New(rand.NewPCG(1, 2))
		tc.dropLink = func(int, int) bool { return rng.IntN(10) == 0 }
		tc.run(20 * second)
		tc.wantReady(8)
	}},
	{name: "messages delayed", run: func(tc *testCluster) {
		tc.messageDelay = 80 * time.Millisecond
		tc.run(20 * second)
		tc.wantReady(8)
	}},
	{name: "crash", gap: maxTakeover, run: func(tc *testCluster) {
		tc.nodes[3].up = false
		tc.run(10 * second)
		tc.wantReady(7)
		tc.wantLost(0, 3)
	}},
	// A broken stream saves the exchanges with all peers and the direct ping (300 ms).
	{name: "crash, streams break", gap: 2500 * time.Millisecond, run: func(tc *testCluster) {
		tc.nodes[3].up = false
		for i := range tc.nodes {
			tc.enqueue(tc.now, -1, i, model.PeerDown{Peer: instanceID(3)})
		}
		tc.run(10 * second)
		tc.wantReady(7)
	}},
	{name: "restart", gap: maxTakeover, run: func(tc *testCluster) {
		tc.start(3)
		tc.run(10 * second)
		tc.wantReady(8)
		tc.wantLost(0, 3)
	}},
	{name: "pause", gap: 2 * maxTakeover, run: func(tc *testCluster) { tc.checkPauseAndResume(false) }},
	{name: "sleep", gap: 2 * maxTakeover, run: func(tc *testCluster) { tc.checkPauseAndResume(true) }},
	{name: "one instance cut off", gap: maxTakeover, overlap: 400 * time.Millisecond, run: func(tc *testCluster) {
		tc.partitionAt(1)
		tc.readService = func(i int) *objects.Set { return tc.firstSetUnless(i == 0) }
		tc.run(6 * second)
		tc.check(!tc.nodes[0].ready, "the instance that is cut off is not ready")
		tc.wantReady(7)
		tc.heal()
		tc.run(3 * second)
		tc.wantReady(8)
	}},
	{name: "one link cut", run: func(tc *testCluster) {
		tc.dropLink = func(a, b int) bool { return a+b == 1 }
		tc.run(10 * second)
		tc.wantReady(8)
	}},
	{name: "messages of one instance lost", gap: maxTakeover, run: func(tc *testCluster) {
		tc.dropLink = func(from, _ int) bool { return from == 0 }
		tc.run(10 * second)
		tc.heal()
		tc.run(3 * second)
		tc.wantReady(8)
	}},
	{name: "split, service at both", overlap: 400 * time.Millisecond, gap: maxTakeover, run: func(tc *testCluster) {
		tc.partitionAt(4)
		tc.run(10 * second)
		tc.wantReady(8)
		tc.heal()
		tc.run(3 * second)
		tc.checkNoOverlap()
	}},
	{name: "split, service down", overlap: 400 * time.Millisecond, gap: maxTakeover, run: func(tc *testCluster) {
		tc.readService = func(int) *objects.Set { return nil }
		tc.partitionAt(3)
		tc.run(6 * second)
		tc.wantReady(5)
		tc.check(!tc.nodes[0].ready, "the minority is not ready")
		tc.heal()
		tc.run(3 * second)
		tc.wantReady(8)
		tc.checkNoOverlap()
	}},
	{name: "even split, service down", gap: maxTakeover, overlap: 400 * time.Millisecond, run: func(tc *testCluster) {
		tc.readService = func(int) *objects.Set { return nil }
		tc.partitionAt(4)
		tc.run(6 * second)
		tc.wantReady(4)
		tc.check(tc.nodes[0].ready, "the half with the lowest id stays ready")
	}},
	{name: "service down, new instance", gap: releaseTransit, run: func(tc *testCluster) {
		tc.readService = func(int) *objects.Set { return nil }
		tc.run(20 * second)
		tc.wantReady(8)
		tc.addInstance()
		tc.run(3 * second)
		tc.wantReady(9)
	}},
	{name: "service down, new set at one instance", run: func(tc *testCluster) {
		tc.readService = func(int) *objects.Set { return nil }
		tc.run(5 * second)
		tc.enqueue(tc.now, -1, 5, model.PeerConfig{From: instanceID(4), Raw: []byte("b"), Set: matrixSet(2, "b")})
		tc.run(3 * second)
		tc.wantSet("b", 8)
	}},
	{name: "service stale, new instance", gap: releaseTransit, run: func(tc *testCluster) {
		tc.publish(matrixSet(2, "b"))
		tc.run(3 * second)
		tc.publish(matrixSet(1, "a"))
		tc.addInstance()
		n := tc.nodes[8]
		for range 5000 {
			tc.run(step)
			tc.check(!n.ready || n.f.set.Digest == "b", "a new instance is not ready on the old set")
		}
		tc.wantSet("b", 9)
		tc.wantReady(9)
	}},
	{name: "racing publications", run: func(tc *testCluster) {
		tc.readService = func(i int) *objects.Set {
			if i < 4 {
				return matrixSet(2, "b")
			}
			return matrixSet(2, "c")
		}
		tc.run(3 * second)
		tc.wantSet("c", 8)
		tc.run(5 * second)
		tc.wantSet("c", 8)
	}},
	{name: "publication during a split", overlap: 400 * time.Millisecond, gap: maxTakeover, run: func(tc *testCluster) {
		tc.partitionAt(4)
		tc.readService = func(i int) *objects.Set { return tc.firstSetUnless(i < 4) }
		tc.run(4 * second)
		tc.readService = func(i int) *objects.Set { return tc.setUnless(i < 4, matrixSet(2, "b")) }
		tc.run(4 * second)
		tc.heal()
		tc.run(3 * second)
		tc.wantSet("b", 8)
	}},
	{name: "list lags behind a death", gap: maxTakeover, run: func(tc *testCluster) {
		tc.nodes[3].up = false
		tc.run(6 * second)
		tc.wantReady(7)
		tc.setInstanceList(0, 1, 2, 4, 5, 6, 7)
		tc.run(3 * second)
		tc.wantReady(7)
	}},
	{name: "list fails or is empty", run: func(tc *testCluster) {
		for i := range tc.nodes {
			tc.enqueue(tc.now, -1, i, model.InstanceList{})
			tc.enqueue(tc.now, -1, i, model.InstanceList{OK: true})
		}
		tc.run(5 * second)
		tc.wantReady(8)
	}},
	{name: "list lags behind a start", gap: releaseTransit, run: func(tc *testCluster) {
		tc.nodes = append(tc.nodes, &node{adoptedAt: map[string]time.Duration{}})
		tc.listed = append(tc.listed, 8)
		tc.start(8)
		tc.run(3 * second)
		tc.setInstanceList(tc.listed...)
		tc.run(3 * second)
		tc.wantReady(9)
	}},
	{name: "stop", gap: releaseTransit, run: func(tc *testCluster) {
		at := tc.now
		tc.enqueue(tc.now, -1, 3, model.Shutdown{})
		tc.run(2 * second)
		tc.check(!tc.nodes[3].ready && !tc.nodes[3].f.Stopping(), "a stopping instance serves during the balancer delay")
		tc.run(2 * second)
		tc.check(tc.nodes[3].stopped && tc.nodes[3].stoppedAt-at < 3100*time.Millisecond, "stopped after the balancer delay")
		tc.wantReady(7)
	}},
}

// Guards against two active leads of a target, a set that is replaced by an
// earlier one, and a fleet that does not recover, for each fault on its own.
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
				t.Errorf("a target had several active leads on one side for %v, want at most %v", tc.overlap, f.overlap)
			}
			if tc.gap > f.gap {
				t.Errorf("a target had no active lead for %v, want at most %v", tc.gap, f.gap)
			}
			tc.check(tc.setRegressions == 0, "no instance replaces its set by an earlier one")
			tc.checkReportedLeads()
		})
	}
}

func matrixSet(generation uint64, digest string) *objects.Set {
	return newSet(generation, digest, 8, 2)
}

// checkReportedLeads checks that the Changes of each instance reported the
// present leads. If a data plane is not told that a lead has become active again,
// it never sends work to the target.
func (tc *testCluster) checkReportedLeads() {
	tc.t.Helper()
	for i, n := range tc.nodes {
		for id, reported := range n.reportedLeads {
			if n.up && reported != n.f.Lead(id) {
				tc.t.Errorf("i%03d: the changes last reported lead %+v of %s, want the present lead %+v", i, reported, id, n.f.Lead(id))
			}
		}
	}
}

func (tc *testCluster) publish(s *objects.Set) { tc.readService = func(int) *objects.Set { return s } }

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
		tc.t.Errorf("at %v: expected, but false: %s", tc.now, expected)
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
	for _, id := range tc.nodes[at].lostPeers {
		if id == instanceID(peer) {
			return
		}
	}
	tc.t.Errorf("i%03d did not report i%03d as lost, want it in Changes.LostPeers", at, peer)
}

// checkNoOverlap checks that no target has two active leads in the next 2 s.
func (tc *testCluster) checkNoOverlap() {
	tc.t.Helper()
	before := tc.overlap
	tc.run(2 * second)
	tc.check(tc.overlap == before, "at most one active lead for each target from 3 s after healing")
}

// addInstance starts one more instance and puts it on the instance list.
func (tc *testCluster) addInstance() {
	tc.nodes = append(tc.nodes, &node{adoptedAt: map[string]time.Duration{}})
	tc.setInstanceList(append(tc.listed, len(tc.nodes)-1)...)
	tc.start(len(tc.nodes) - 1)
}

// checkPauseAndResume pauses an instance for 6 s and cuts it off when it resumes.
// It checks that the instance sends no new work before its set is confirmed, and
// that the fleet recovers. It then checks that the fleet also recovers from a pause
// of 3 s without other faults.
func (tc *testCluster) checkPauseAndResume(sleep bool) {
	n := tc.nodes[3]
	tc.pause(3, 6*second, sleep)
	tc.readService = func(i int) *objects.Set { return tc.firstSetUnless(i == 3) }
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
