package fleet

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against a handover without a wait on the word of a member that was not
// the last lead: the last one may still have work at the target.
func TestReleaseOfAnEarlierLead(t *testing.T) {
	for _, from := range []int{1, 2} {
		tc := newTestCluster(t, 3, newSet(1, "a", 20, 2))
		tc.run(4 * time.Second)
		var release model.LeadRelease
		for _, target := range tc.nodes[1].f.self.leads {
			release.Targets = append(release.Targets, model.ReleasedTarget{Target: target.id, Incarnation: 1, Level: 2})
		}
		tc.enqueue(tc.now, from, 0, model.PeerInput{From: instance(from), Incarnation: tc.nodes[from].incarnation, Message: release})
		tc.run(10 * step)
		tc.nodes[1].up = false
		tc.setList(0, 2)
		tc.run(step)
		gained := 0
		for _, target := range release.Targets {
			if lead := tc.nodes[0].f.Lead(target.Target); lead.Self {
				gained++
				if lead.Active != (from == 1) {
					t.Errorf("%s, led by i001 and released by i%03d: active %v at once", target.Target, from, lead.Active)
				}
			}
		}
		if gained == 0 {
			t.Error("no target was gained")
		}
	}
}
