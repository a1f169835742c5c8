package fleet

import (
	"testing"
	"time"
)

// Guards against a fleet that never serves: every instance becomes ready, each
// target has exactly one active lead and its state reaches all instances.
func TestFleetBecomesReady(t *testing.T) {
	for _, n := range []int{1, 2, 8, 40} {
		p := newPump(t, n, newSet(1, "a", 20, 2))
		p.run(4 * time.Second)
		if !p.allReady() {
			t.Errorf("%d instances: not all ready after 4 s", n)
		}
		for id := range p.nodes[0].f.byTarget {
			if leads := p.activeLeads(id); len(leads) != 1 {
				t.Errorf("%d instances: target %s has active leads %v, want one", n, id, leads)
			}
			for i, node := range p.nodes {
				if info := node.f.Target(id); !info.Known || info.Level != 1 {
					t.Errorf("%d instances: i%03d knows %+v of %s", n, i, info, id)
				}
				if lead := node.f.Lead(id); lead.Instance != p.nodes[0].f.Lead(id).Instance {
					t.Errorf("%d instances: i%03d sees another lead of %s", n, i, id)
				}
			}
			g := p.nodes[0].f.byTarget[id].group
			if n > 1 && g.targets[0].lead == g.targets[1].lead {
				t.Errorf("%d instances: replicas of %s share a lead", n, g.id)
			}
		}
	}
}
