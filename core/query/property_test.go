package query

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// chaos draws faults for a sim.
type chaos struct {
	*sim
	*rapid.T
	ids   []model.BookingID
	calls map[model.CallID]*simNode
	last  model.CallID
}

func (c *chaos) pick(n int, label string) int { return rapid.IntRange(0, n-1).Draw(c.T, label) }

func (c *chaos) node() *simNode {
	n := c.nodes[c.pick(len(c.nodes), "node")]
	if n.down {
		return c.sim.node(n.id)
	}
	return n
}

var chaosTargets = []model.TargetID{"g00-0", "g00-1", "g01-0", "g01-1", "desk-0", "desk-1", "desk-2"}

func (c *chaos) target() model.TargetID { return chaosTargets[c.pick(len(chaosTargets), "target")] }

func (c *chaos) call(n *simNode) model.CallID {
	c.last++
	c.calls[c.last] = n
	return c.last
}

// network drops, repeats or delays messages, at random but the same each run.
func (c *chaos) network(n *simNode, m model.SendPeer) bool {
	switch c.seq % 13 {
	case 3:
		return true
	case 5:
		c.after(time.Duration(c.seq%400)*time.Millisecond, func() { c.deliver(n, m) })
	}
	return false
}

// work fails some requests, before or after they run, and delays others.
func (c *chaos) work(n *simNode, o model.SendTarget) bool {
	k, r := c.seq%17, model.TargetReply{Execution: notRun}
	if o.Snapshot != 0 && findVersion(c.targets[o.Target].reports, o.Snapshot) == nil {
		k = 8
	}
	switch k {
	case 2:
		r.Error = model.KindTargetShed
	case 4:
		r.Error, r.Reset = model.KindTargetConnection, true
	case 6:
		c.good(o)
		r.Error, r.Execution = model.KindTargetConnection, unknown
	case 8:
		r.Error = model.KindVersionGone
	case 10:
		r = c.good(o)
		r.Answer.Truncated = true
	case 12:
		r = c.good(o)
		r.Answer.Snapshot ^= 15
	case 14:
		c.after(700*time.Millisecond, func() { c.reply(n, o, c.good(o)) })
		return true
	default:
		return false
	}
	c.after(2*time.Millisecond, func() { c.reply(n, o, r) })
	return true
}

// restart replaces an instance by its next life.
func (c *chaos) restart(n *simNode) {
	n.down = true
	fresh := c.addNode(n.id, n.life+1, model.PolicyFull)
	fresh.v.leads, fresh.v.after, fresh.v.successor = n.v.leads, n.v.after, n.v.after[n.id]
	fresh.tick()
}

func (c *chaos) event() {
	n := c.node()
	switch c.pick(17, "event") {
	case 0, 1, 2:
		n.search(c.call(n), callBudget)
	case 3, 4:
		c.ids = append(c.ids, n.ids(1)...)
		fallthrough
	case 5:
		if len(c.ids) > 0 {
			n.book(c.call(n), c.ids[c.pick(len(c.ids), "id")], 300*time.Millisecond)
		}
	case 6:
		if c.last > 0 {
			call := model.CallID(c.pick(int(c.last), "call") + 1)
			c.calls[call].step(model.CancelCall{Call: call})
		}
	case 7:
		t := c.target()
		n.v.out[t] = !n.v.out[t]
		n.change(t)
	case 8:
		t := c.target()
		n.v.leads[t] = c.node().id
		n.v.inactive[t] = c.pick(4, "inactive") == 0
		n.change(t)
	case 9:
		n.step(model.PeerDown{Peer: c.node().id})
	case 10:
		n.v.ready.OK, n.v.ready.Kind = !n.v.ready.OK, model.KindUnconfirmed
		n.tick()
	case 11:
		n.paused = !n.paused
		n.tick()
	case 12:
		t := c.target()
		c.targets[t].life++
		for _, t := range chaosTargets {
			if r := c.targets[t].reports; len(r) > 0 && c.pick(6, "report") > 0 {
				next := held(r[len(r)-1].Version+1, 2+c.pick(9, "total")/8, uint32(t[2]-'0')+1)
				c.report(t, slices.Concat(r[len(r)-1:][:c.pick(2, "keep")], []model.VersionReport{next})...)
			}
		}
	case 13:
		c.restart(n)
	case 14:
		if n.v.stopping && n.report.Idle {
			c.restart(n)
			break
		}
		n.v.stopping, n.v.successor = true, c.node().id
		for _, x := range c.nodes {
			x.v.after[n.id] = n.v.successor
		}
		n.tick()
	case 15:
		set := *c.set
		set.Groups = slices.Clone(set.Groups)
		desk := &set.Groups[len(set.Groups)-1]
		desk.Targets = desk.Targets[:1+c.pick(3, "targets")]
		n.v.set, n.changes.Set = &set, true
		n.tick()
	case 16:
		n.changes.LostPeers = []model.InstanceID{c.node().id}
		n.tick()
	}
	c.run(time.Duration(c.pick(60, "ms")) * time.Millisecond)
}

// Guards, over random sequences of faults, against a booking that runs twice
// or after "not run", mixed versions, a missing or second answer, and too much
// work in flight at a target.
func TestRandomFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		c := &chaos{sim: newSim(3, 2, 2, 2, model.PolicyFull), T: rt, calls: map[model.CallID]*simNode{}}
		c.onPeer, c.onSend = c.network, c.work
		for k := range 2 * quantileRefresh {
			c.nodes[0].search(model.CallID(1<<20+k), callBudget) // for the hedge delay
			c.run(10 * time.Millisecond)
		}
		for range rapid.IntRange(10, 120).Draw(rt, "events") {
			c.event()
		}
		for _, n := range c.nodes {
			n.paused, n.v.ready = false, view.Readiness{OK: true}
			n.tick()
		}
		c.run(4 * time.Second)
		c.check()
	})
}

func (c *chaos) check() {
	for id, n := range c.ran {
		if n > 1 {
			c.Fatalf("booking %s ran %d times", id, n)
		}
	}
	for call, n := range c.calls {
		if len(c.answers[call]) > 1 || len(c.answers[call]) == 0 && !n.down {
			c.Fatalf("call %d got %d answers", call, len(c.answers[call]))
		}
		for _, o := range c.answers[call] {
			switch a := o.(type) {
			case model.BookAnswer:
				if x := execution(a); x == notRun && c.ran[a.Booking.String()] > 0 {
					c.Fatalf("booking %v ran after the answer %v", a.Booking, a.Error)
				}
			case model.SearchAnswer:
				for _, p := range a.Parts {
					if string(p.Body) != fmt.Sprint(a.Snapshot) {
						c.Fatalf("part of version %s in an answer of version %d", p.Body, a.Snapshot)
					}
				}
			}
		}
	}
	for _, n := range c.nodes {
		if n.over != "" {
			c.Fatalf("%s: %s", n.id, n.over)
		}
		if !n.down && !n.report.Idle {
			c.Fatalf("%s is not idle", n.id)
		}
	}
}
