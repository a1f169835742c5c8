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

// Guards against leads that depend on the order in which members became
// eligible: after several changes the leads equal those of an instance that
// learns all members at once, and each tick reports exactly the targets whose
// lead changed.
func TestLeadsDependOnMembersOnly(t *testing.T) {
	const members = 12
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.IntRange(1, 30).Draw(t, "groups")
		replicas := rapid.SampledFrom([]int{2, 5, 14}).Draw(t, "replicas")
		serving := make([]bool, members)
		fx := newFixture(members, groups, replicas)
		for i := range serving {
			serving[i] = true
		}
		before := leadsOf(fx.f)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			i := rapid.IntRange(1, members-1).Draw(t, "member")
			serving[i] = !serving[i]
			fx.heartbeat++
			status := model.MemberDraining
			if serving[i] {
				status = model.MemberServing
			}
			fx.f.Step(fx.peerInput(1, model.Exchange{Members: []model.MemberState{fx.memberState(i, status)}}))
			changed := fx.f.Tick(model.Now{Mono: fx.now, Boot: fx.now}, &fx.out).Targets
			after := leadsOf(fx.f)
			if diff := cmp.Diff(changedLeads(before, after), changed); diff != "" {
				t.Fatalf("changed targets of the tick (-want +got):\n%s", diff)
			}
			before = after
		}
		atOnce := newFixture(members, groups, replicas)
		for i := range serving {
			if !serving[i] {
				atOnce.f.removeEligible(atOnce.f.listed[i])
			}
		}
		for _, g := range atOnce.f.groups {
			atOnce.f.markGroupDirty(g)
		}
		atOnce.tick()
		if diff := cmp.Diff(leadsOf(atOnce.f), before); diff != "" {
			t.Fatalf("leads (-all members at once +change by change):\n%s", diff)
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

func changedLeads(before, after map[model.TargetID]model.InstanceID) []model.TargetID {
	var ids []model.TargetID
	for id, lead := range after {
		if before[id] != lead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against leads in another data centre than their targets, and against
// leads that are spread unevenly over the instances.
func TestLeadsAreLocalAndBalanced(t *testing.T) {
	fx := newFixture(70, 1150, 2)
	for _, m := range fx.f.listed {
		if n := len(m.leads); n < 10 || n > 80 {
			t.Errorf("%s leads %d of 2300 targets, want about 33 (10 to 80)", m.id, n)
		}
		for _, target := range m.leads {
			if target.place != m.place {
				t.Errorf("%s in %s leads %s in %s, want targets in its own place only", m.id, m.place.id, target.id, target.place.id)
			}
		}
	}
}

// Guards against baseline policies under which instances wait for a handover:
// every instance is an active lead of every target.
func TestEveryInstanceLeadsUnderBaselinePolicies(t *testing.T) {
	for _, policy := range []model.Policy{model.PolicyNaive, model.PolicyFixedHedge, model.PolicyNoSharing} {
		tc := newTestCluster(t, 3, matrixSet(1, "a"))
		for i, n := range tc.nodes {
			cfg := n.f.cfg
			cfg.Policy = policy
			n.f = New(cfg)
			tc.enqueue(tc.now, -1, i, tc.instanceList())
		}
		tc.run(4 * second)
		for id := range tc.nodes[0].f.byTarget {
			if leads := tc.activeLeads(id); len(leads) != 3 {
				t.Errorf("%s: %s has active leads %v, want all 3 instances", policy, id, leads)
			}
		}
	}
}

// Guards against targets that get work while they drain, and against target
// states that do not reach every instance.
func TestTargetStatesReachAllInstances(t *testing.T) {
	tc := newTestCluster(t, 8, matrixSet(1, "a"))
	tc.run(4 * second)
	const id = "t0003-1"
	report := model.TargetReport{Incarnation: 1}
	ok := true
	tc.probeReport = func(t model.TargetID) (model.TargetReport, bool) { return report, ok || t != id }
	checkAll := func(step string, eligible bool, level int, incarnation model.Incarnation) {
		t.Helper()
		tc.run(3 * second)
		for _, n := range tc.nodes {
			info := n.f.Target(id)
			if n.f.Eligible(id) != eligible || info.Level != level || info.Incarnation != incarnation {
				t.Errorf("%s: %s knows %+v, eligible %t, want the eligibility, level and incarnation of this step", step, n.f.cfg.Self, info, n.f.Eligible(id))
			}
		}
	}
	lead := tc.nodes[instanceIndex(tc.nodes[0].f.Lead(id).Instance)].f
	var out []model.Output
	lead.ApplyReport(model.Now{Mono: tc.now, Boot: tc.now}, observationReport(id, 2), &out)
	checkAll("warm", true, 2, 1)
	report.Draining = true
	checkAll("draining", false, 2, 1)
	report.Draining, report.Incarnation = false, 2
	checkAll("restarted", true, 1, 2)
	ok = false
	checkAll("down", true, 0, 2)
	ok = true
	checkAll("up", true, 1, 2)
}

// Guards against a returning place that gets work while the place admitted
// before it is still cold, and against a place that is never admitted.
func TestReturnGate(t *testing.T) {
	for _, warm := range []bool{true, false} {
		bothOut := newSet(2, "out", 8, 2)
		bothOut.Orders = leaveAndReturn(2)
		back := newSet(3, "in", 8, 2)
		back.Orders = leaveAndReturn(4)
		for _, s := range []*objects.Set{bothOut, back} {
			for g := range s.Groups {
				s.Groups[g].Targets[0].Slots, s.Groups[g].Targets[1].Slots = 4, 4
			}
		}
		tc := newTestCluster(t, 3, bothOut)
		tc.run(4 * second)
		tc.check(!tc.eligibleAtLead("t0000-0") && !tc.eligibleAtLead("t0000-1"), "no place gets work")
		tc.reportLevels(0)
		tc.publish(back)
		tc.run(2 * second)
		tc.check(tc.eligibleAtLead("t0000-1") && !tc.eligibleAtLead("t0000-0"), "only dc1, the first to return, gets work")
		if warm {
			tc.reportLevels(2)
			tc.run(3 * second)
		} else {
			tc.run(27 * second)
			tc.check(!tc.eligibleAtLead("t0000-0"), "dc0 waits for 30 s")
			tc.run(4 * second)
		}
		tc.check(tc.eligibleAtLead("t0000-0"), "dc0 gets work")
	}
}

// Guards against an instance that is alone in its fleet and gives up its leads
// during the balancer delay, and against a stop that never ends.
func TestLoneInstanceStops(t *testing.T) {
	tc := newTestCluster(t, 1, matrixSet(1, "a"))
	tc.run(2 * second)
	tc.gap = 0
	tc.enqueue(tc.now, -1, 0, model.Shutdown{})
	tc.run(2900 * time.Millisecond)
	tc.check(tc.gap == 0 && !tc.nodes[0].ready && !tc.nodes[0].stopped, "still serving, not ready and not stopped during the balancer delay")
	tc.run(200 * time.Millisecond)
	tc.check(tc.nodes[0].stopped, "stopped after the balancer delay")
}
