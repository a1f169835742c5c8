package fleet

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against a lead that becomes active at once after a release by a member
// that was not the last lead: the last lead may still have work at the target.
func TestReleaseByEarlierLead(t *testing.T) {
	for _, from := range []int{1, 2} {
		tc := newTestCluster(t, 3, newSet(1, "a", 20, 2))
		tc.run(4 * time.Second)
		var release model.LeadRelease
		for _, target := range tc.nodes[1].f.self.leads {
			release.Targets = append(release.Targets, model.ReleasedTarget{Target: target.id, Incarnation: 1, Level: 2})
		}
		tc.enqueue(tc.now, from, 0, model.PeerInput{From: instanceID(from), Incarnation: tc.nodes[from].incarnation, Message: release})
		tc.run(10 * step)
		tc.nodes[1].up = false
		tc.setInstanceList(0, 2)
		tc.run(step)
		gained := 0
		for _, target := range release.Targets {
			if lead := tc.nodes[0].f.Lead(target.Target); lead.Self {
				gained++
				if lead.Active != (from == 1) {
					t.Errorf("%s, led by i001 and released by i%03d: i000 active as its lead at once: %v, want true only if i001 released it", target.Target, from, lead.Active)
				}
			}
		}
		if gained == 0 {
			t.Error("i000 became lead of none of the targets of i001, want at least one")
		}
	}
}
