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
		p := newPump(t, 3, newSet(1, "a", 20, 2))
		p.run(4 * time.Second)
		var release model.LeadRelease
		for _, x := range p.nodes[1].f.self.leads {
			release.Targets = append(release.Targets, model.ReleasedTarget{Target: x.id, Incarnation: 1, Level: 2})
		}
		p.post(p.now, from, 0, model.PeerInput{From: instance(from), Incarnation: p.nodes[from].life, Message: release})
		p.run(10 * step)
		p.nodes[1].up = false
		p.relist(0, 2)
		p.run(step)
		gained := 0
		for _, x := range release.Targets {
			if lead := p.nodes[0].f.Lead(x.Target); lead.Self {
				gained++
				if lead.Active != (from == 1) {
					t.Errorf("%s, led by i001 and released by i%03d: active %v at once", x.Target, from, lead.Active)
				}
			}
		}
		if gained == 0 {
			t.Error("no target was gained")
		}
	}
}
