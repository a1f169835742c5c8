package fleet

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
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

// Guards against a state of a target without index versions that replaces one
// with them: searches then leave the target's group out. It came from a lead
// that published before its first probe and lost the target at once.
func TestLateStateOfFormerLead(t *testing.T) {
	p := newPump(t, 2, newSet(1, "a", 4, 2))
	p.run(4 * time.Second)
	lead, other := p.nodes[0], p.nodes[1]
	id := lead.f.self.leads[0].id
	p.post(p.now, 1, 0, model.PeerInput{From: instance(1), Incarnation: other.life, Message: model.Exchange{
		Targets: []model.TargetState{{
			Target: id, Origin: instance(1), OriginLife: other.life, Number: 1 << 20, Level: 1,
		}},
	}})
	for range 400 {
		p.run(step)
		if len(lead.f.Target(id).Versions) == 0 || len(other.f.Target(id).Versions) == 0 {
			t.Fatalf("versions of %s are lost", id)
		}
	}
	if own := &lead.f.byTarget[id].state; own.Number <= 1<<20 {
		t.Errorf("number %d of the lead's state is not above the late one", own.Number)
	}
}

// Guards against publishing a target before its first probe.
func TestNoStateBeforeProbe(t *testing.T) {
	p := newPump(t, 2, newSet(1, "a", 4, 2))
	p.report = func(model.TargetID) (model.TargetReport, bool) { return model.TargetReport{}, false }
	p.run(4 * time.Second)
	f := p.nodes[0].f
	id := f.self.leads[0].id
	var out []model.Output
	f.Report(model.Now{Mono: p.now, Boot: p.now},
		view.Report{Observations: []view.Observation{{Target: id, Level: 1}}}, &out)
	if info := f.Target(id); info.Known && info.Level > 0 {
		t.Errorf("target %s published as %+v without a probe", id, info)
	}
}
