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
type fault struct {
	name string
	run  func(*pump)
	// overlap and gap bound the sums of the times in which any target had two
	// active leads in one view, or none in any.
	overlap, gap time.Duration
}

const second = time.Second

// The bounds of the gap: a crashed or cut lead is found after a round of the
// exchange (7 x 200 ms), 300 ms + 300 ms, is suspected for 1 s, and the
// handover wait is 1 s.
const takeover = 7*200*time.Millisecond + 2600*time.Millisecond + 200*time.Millisecond

// handover is the time of a LeadRelease on its way.
const handover = 2 * step

var faults = []fault{
	{name: "nothing", run: func(p *pump) { p.run(10 * second) }},
	{name: "drop", run: func(p *pump) {
		rng := rand.New(rand.NewPCG(1, 2))
		p.cut = func(int, int) bool { return rng.IntN(10) == 0 }
		p.run(20 * second)
		p.wantReady(8)
	}},
	{name: "delay", run: func(p *pump) {
		p.delay = 80 * time.Millisecond
		p.run(20 * second)
		p.wantReady(8)
	}},
	{name: "crash", gap: takeover, run: func(p *pump) {
		p.nodes[3].up = false
		p.run(10 * second)
		p.wantReady(7)
		p.wantLost(0, 3)
	}},
	// A broken stream saves the round of the exchange and the first 300 ms.
	{name: "crash, streams break", gap: 2500 * time.Millisecond, run: func(p *pump) {
		p.nodes[3].up = false
		for i := range p.nodes {
			p.post(p.now, -1, i, model.PeerDown{Peer: instance(3)})
		}
		p.run(10 * second)
		p.wantReady(7)
	}},
	{name: "restart", gap: takeover, run: func(p *pump) {
		p.start(3)
		p.run(10 * second)
		p.wantReady(8)
		p.wantLost(0, 3)
	}},
	{name: "pause", gap: 2 * takeover, run: func(p *pump) { p.pauseAndResume(false) }},
	{name: "sleep", gap: 2 * takeover, run: func(p *pump) { p.pauseAndResume(true) }},
	{name: "one cut off", gap: takeover, overlap: 400 * time.Millisecond, run: func(p *pump) {
		p.split(1)
		p.service = func(i int) *objects.Set { return p.unless(i == 0) }
		p.run(6 * second)
		p.want(!p.nodes[0].ready, "the instance that is cut off has stopped")
		p.wantReady(7)
		p.heal()
		p.run(3 * second)
		p.wantReady(8)
	}},
	{name: "one link cut", run: func(p *pump) {
		p.cut = func(a, b int) bool { return a+b == 1 }
		p.run(10 * second)
		p.wantReady(8)
	}},
	{name: "one not heard", gap: takeover, run: func(p *pump) {
		p.cut = func(from, _ int) bool { return from == 0 }
		p.run(10 * second)
		p.heal()
		p.run(3 * second)
		p.wantReady(8)
	}},
	{name: "split, service at both", overlap: 400 * time.Millisecond, gap: takeover, run: func(p *pump) {
		p.split(4)
		p.run(10 * second)
		p.wantReady(8)
		p.heal()
		p.run(3 * second)
		p.overlapEnds()
	}},
	{name: "split, service down", overlap: 400 * time.Millisecond, gap: takeover, run: func(p *pump) {
		p.service = func(int) *objects.Set { return nil }
		p.split(3)
		p.run(6 * second)
		p.wantReady(5)
		p.want(!p.nodes[0].ready, "the minority has stopped")
		p.heal()
		p.run(3 * second)
		p.wantReady(8)
		p.overlapEnds()
	}},
	{name: "even split, service down", gap: takeover, overlap: 400 * time.Millisecond, run: func(p *pump) {
		p.service = func(int) *objects.Set { return nil }
		p.split(4)
		p.run(6 * second)
		p.wantReady(4)
		p.want(p.nodes[0].ready, "the half with the lowest id goes on")
	}},
	{name: "service down, new instance", gap: handover, run: func(p *pump) {
		p.service = func(int) *objects.Set { return nil }
		p.run(20 * second)
		p.wantReady(8)
		p.add()
		p.run(3 * second)
		p.wantReady(9)
	}},
	{name: "service down, new set at one instance", run: func(p *pump) {
		p.service = func(int) *objects.Set { return nil }
		p.run(5 * second)
		p.post(p.now, -1, 5, model.PeerConfig{From: instance(4), Raw: []byte("b"), Set: matrixSet(2, "b")})
		p.run(3 * second)
		p.wantSet("b", 8)
	}},
	{name: "service stale, new instance", gap: handover, run: func(p *pump) {
		p.publish(matrixSet(2, "b"))
		p.run(3 * second)
		p.publish(matrixSet(1, "a"))
		p.add()
		n := p.nodes[8]
		for range 5000 {
			p.run(step)
			p.want(!n.ready || n.f.set.Digest == "b", "a new instance is not ready on the old set")
		}
		p.wantSet("b", 9)
		p.wantReady(9)
	}},
	{name: "racing publications", run: func(p *pump) {
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
	{name: "publication during a split", overlap: 400 * time.Millisecond, gap: takeover, run: func(p *pump) {
		p.split(4)
		p.service = func(i int) *objects.Set { return p.unless(i < 4) }
		p.run(4 * second)
		p.service = func(i int) *objects.Set { return p.unlessSet(i < 4, matrixSet(2, "b")) }
		p.run(4 * second)
		p.heal()
		p.run(3 * second)
		p.wantSet("b", 8)
	}},
	{name: "list lags behind a death", gap: takeover, run: func(p *pump) {
		p.nodes[3].up = false
		p.run(6 * second)
		p.wantReady(7)
		p.relist(0, 1, 2, 4, 5, 6, 7)
		p.run(3 * second)
		p.wantReady(7)
	}},
	{name: "list fails or is empty", run: func(p *pump) {
		for i := range p.nodes {
			p.post(p.now, -1, i, model.InstanceList{})
			p.post(p.now, -1, i, model.InstanceList{OK: true})
		}
		p.run(5 * second)
		p.wantReady(8)
	}},
	{name: "list lags behind a start", gap: handover, run: func(p *pump) {
		p.nodes = append(p.nodes, &node{adoptedAt: map[string]time.Duration{}})
		p.list = append(p.list, 8)
		p.start(8)
		p.run(3 * second)
		p.relist(p.list...)
		p.run(3 * second)
		p.wantReady(9)
	}},
	{name: "stop", gap: handover, run: func(p *pump) {
		at := p.now
		p.post(p.now, -1, 3, model.Shutdown{})
		p.run(2 * second)
		p.want(!p.nodes[3].ready && !p.nodes[3].f.Stopping(), "a stopping instance serves during the balancer delay")
		p.run(2 * second)
		p.want(p.nodes[3].stopped && p.nodes[3].stoppedAt-at < 3100*time.Millisecond, "stopped after the balancer delay")
		p.wantReady(7)
	}},
}

// Guards against two leads, a set that goes back and a fleet that does not
// recover, for each fault on its own.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			p := newPump(t, 8, matrixSet(1, "a"))
			p.run(5 * second)
			p.wantReady(8)
			p.overlap, p.gap = 0, 0
			f.run(p)
			t.Logf("overlap %v, gap %v", p.overlap, p.gap)
			if p.overlap > f.overlap {
				t.Errorf("two active leads in one view for %v, want at most %v", p.overlap, f.overlap)
			}
			if p.gap > f.gap {
				t.Errorf("a target without lead for %v, want at most %v", p.gap, f.gap)
			}
			p.want(p.backwards == 0, "no set is followed by an earlier one")
			p.leadsTold()
		})
	}
}

func matrixSet(generation uint64, digest string) *objects.Set {
	return newSet(generation, digest, 8, 2)
}

// leadsTold checks that the data planes know the present leads. One that was
// not told of a lead that is active again would never send there.
func (p *pump) leadsTold() {
	p.t.Helper()
	for i, n := range p.nodes {
		for id, lead := range n.leads {
			if n.up && lead != n.f.Lead(id) {
				p.t.Errorf("i%03d: the data plane was told %+v of %s, the lead is %+v", i, lead, id, n.f.Lead(id))
			}
		}
	}
}

func (p *pump) publish(s *objects.Set) { p.service = func(int) *objects.Set { return s } }

func (p *pump) unless(down bool) *objects.Set { return p.unlessSet(down, matrixSet(1, "a")) }

func (p *pump) unlessSet(down bool, s *objects.Set) *objects.Set {
	if down {
		return nil
	}
	return s
}

func (p *pump) want(ok bool, outcome string) {
	p.t.Helper()
	if !ok {
		p.t.Errorf("at %v: not so: %s", p.now, outcome)
	}
}

func (p *pump) wantReady(want int) {
	p.t.Helper()
	got := 0
	for _, n := range p.nodes {
		if n.up && n.ready {
			got++
		}
	}
	if got != want {
		p.t.Errorf("at %v: %d instances are ready, want %d", p.now, got, want)
	}
}

func (p *pump) wantSet(digest string, want int) {
	p.t.Helper()
	got := 0
	for _, n := range p.nodes {
		if n.f.Set() != nil && n.f.Set().Digest == digest {
			got++
		}
	}
	if got != want {
		p.t.Errorf("at %v: set %s is in force at %d instances, want %d", p.now, digest, got, want)
	}
}

func (p *pump) wantLost(at, peer int) {
	p.t.Helper()
	for _, id := range p.nodes[at].lost {
		if id == instance(peer) {
			return
		}
	}
	p.t.Errorf("i%03d has not reported i%03d as lost", at, peer)
}

// overlapEnds checks that a healed fleet has one lead for each target.
func (p *pump) overlapEnds() {
	p.t.Helper()
	before := p.overlap
	p.run(2 * second)
	p.want(p.overlap == before, "one active lead for each target 3 s after healing")
}

// add starts one more instance that all lists name.
func (p *pump) add() {
	p.nodes = append(p.nodes, &node{adoptedAt: map[string]time.Duration{}})
	p.relist(append(p.list, len(p.nodes)-1)...)
	p.start(len(p.nodes) - 1)
}

func (p *pump) pauseAndResume(sleep bool) {
	n := p.nodes[3]
	p.pause(3, 6*second, sleep)
	p.service = func(i int) *objects.Set { return p.unless(i == 3) }
	p.cut = func(a, b int) bool { return a == 3 || b == 3 }
	p.run(1900 * time.Millisecond)
	p.want(!n.f.Readiness().OK, "a resumed instance sends nothing before it is confirmed")
	p.heal()
	p.run(3 * second)
	p.wantReady(8)
	p.pause(3, 3*second, sleep)
	p.run(3 * second)
	p.wantReady(8)
}
