package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// Guards against leads that depend on the order in which members came and
// went: after each change the leads equal those of a fleet that learns all of
// its members at once, and exactly the targets with another lead are reported.
func TestLeadsDependOnMembersOnly(t *testing.T) {
	const members = 12
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.IntRange(1, 30).Draw(t, "groups")
		replicas := rapid.SampledFrom([]int{2, 5, 14}).Draw(t, "replicas")
		serving := make([]bool, members)
		b := newBench(members, groups, replicas)
		for i := range serving {
			serving[i] = true
		}
		before := leadsOf(b.f)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			i := rapid.IntRange(1, members-1).Draw(t, "member")
			serving[i] = !serving[i]
			b.hb++
			status := model.MemberDraining
			if serving[i] {
				status = model.MemberServing
			}
			b.f.Step(b.from(1, model.Exchange{Members: []model.MemberState{b.state(i, status)}}))
			changed := b.f.Tick(model.Now{Mono: b.now, Boot: b.now}, &b.out).Targets
			after := leadsOf(b.f)
			if diff := cmp.Diff(changes(before, after), changed); diff != "" {
				t.Fatalf("reported targets (-want +got):\n%s", diff)
			}
			before = after
		}
		whole := newBench(members, groups, replicas)
		for i := range serving {
			if !serving[i] {
				whole.f.removeEligible(whole.f.listed[i])
			}
		}
		for _, g := range whole.f.groups {
			whole.f.markGroup(g)
		}
		whole.tick()
		if diff := cmp.Diff(leadsOf(whole.f), before); diff != "" {
			t.Fatalf("leads (-at once +step by step):\n%s", diff)
		}
	})
}

func leadsOf(f *Fleet) map[model.TargetID]model.InstanceID {
	leads := map[model.TargetID]model.InstanceID{}
	for id, t := range f.byTarget {
		leads[id] = t.lead.id
	}
	return leads
}

func changes(before, after map[model.TargetID]model.InstanceID) []model.TargetID {
	var ids []model.TargetID
	for id, lead := range after {
		if before[id] != lead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against leads far from their targets and against instances with most
// of the leads.
func TestLeadsAreNearAndBalanced(t *testing.T) {
	b := newBench(70, 1150, 2)
	for _, m := range b.f.listed {
		if n := len(m.leads); n < 10 || n > 80 {
			t.Errorf("%s leads %d of 2300 targets, want about 33", m.id, n)
		}
		for _, target := range m.leads {
			if target.place != m.place {
				t.Errorf("%s in %s leads %s in %s", m.id, m.place.id, target.id, target.place.id)
			}
		}
	}
}

// Guards against baselines that wait for each other.
func TestBaselinesLeadEverything(t *testing.T) {
	for _, policy := range []model.Policy{model.PolicyNaive, model.PolicyFixedHedge, model.PolicyNoSharing} {
		p := newPump(t, 3, matrixSet(1, "a"))
		for i, n := range p.nodes {
			cfg := n.f.cfg
			cfg.Policy = policy
			n.f = New(cfg)
			p.post(p.now, -1, i, p.instances())
		}
		p.run(4 * second)
		for id := range p.nodes[0].f.byTarget {
			if leads := p.activeLeads(id); len(leads) != 3 {
				t.Errorf("%s: %s has active leads %v, want all", policy, id, leads)
			}
		}
	}
}

// Guards against targets that get work while they drain, and against states
// that do not reach the fleet.
func TestTargetStates(t *testing.T) {
	p := newPump(t, 8, matrixSet(1, "a"))
	p.run(4 * second)
	const id = "t0003-1"
	report := model.TargetReport{Incarnation: 1}
	ok := true
	p.report = func(t model.TargetID) (model.TargetReport, bool) { return report, ok || t != id }
	want := func(step string, eligible bool, level int, life model.Incarnation) {
		t.Helper()
		p.run(3 * second)
		for _, n := range p.nodes {
			info := n.f.Target(id)
			if n.f.Eligible(id) != eligible || info.Level != level || info.Incarnation != life {
				t.Errorf("%s: %s knows %+v, eligible %t", step, n.f.cfg.Self, info, n.f.Eligible(id))
			}
		}
	}
	lead := p.nodes[index(p.nodes[0].f.Lead(id).Instance)].f
	var out []model.Output
	lead.Report(model.Now{Mono: p.now, Boot: p.now}, observed(id, 2), &out)
	want("warm", true, 2, 1)
	report.Draining = true
	want("draining", false, 2, 1)
	report.Draining, report.Incarnation = false, 2
	want("restarted", true, 1, 2)
	ok = false
	want("down", true, 0, 2)
	ok = true
	want("up", true, 1, 2)
}

// Guards against a returning place that gets work while the place before it
// is cold, and against one that never gets any.
func TestReturnGate(t *testing.T) {
	for _, warm := range []bool{true, false} {
		out := newSet(2, "out", 8, 2)
		out.Orders = leaveAndReturn(2)
		in := newSet(3, "in", 8, 2)
		in.Orders = leaveAndReturn(4)
		for _, s := range []*objects.Set{out, in} {
			for g := range s.Groups {
				s.Groups[g].Targets[0].Slots, s.Groups[g].Targets[1].Slots = 4, 4
			}
		}
		p := newPump(t, 3, out)
		p.run(4 * second)
		p.want(!p.eligible("t0000-0") && !p.eligible("t0000-1"), "no place gets work")
		p.levels(0)
		p.publish(in)
		p.run(2 * second)
		p.want(p.eligible("t0000-1") && !p.eligible("t0000-0"), "only dc1, the first to return, gets work")
		if warm {
			p.levels(2)
			p.run(3 * second)
		} else {
			p.run(27 * second)
			p.want(!p.eligible("t0000-0"), "dc0 waits for 30 s")
			p.run(4 * second)
		}
		p.want(p.eligible("t0000-0"), "dc0 gets work")
	}
}

// Guards against a lone instance that drops its targets during the balancer
// delay, and against a stop that never ends.
func TestLoneInstanceStops(t *testing.T) {
	p := newPump(t, 1, matrixSet(1, "a"))
	p.run(2 * second)
	p.gap = 0
	p.post(p.now, -1, 0, model.Shutdown{})
	p.run(2900 * time.Millisecond)
	p.want(p.gap == 0 && !p.nodes[0].ready && !p.nodes[0].stopped, "serving without being ready")
	p.run(200 * time.Millisecond)
	p.want(p.nodes[0].stopped, "stopped")
}
