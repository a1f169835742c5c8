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

// faultInjector draws random events and faults for a sim.
type faultInjector struct {
	*sim
	*rapid.T
	bookingIDs []model.BookingID
	calls      map[model.CallID]*simNode
	lastCall   model.CallID
}

func (c *faultInjector) intn(n int, label string) int { return rapid.IntRange(0, n-1).Draw(c.T, label) }

func (c *faultInjector) node() *simNode {
	n := c.nodes[c.intn(len(c.nodes), "node")]
	if n.down {
		return c.sim.node(n.id)
	}
	return n
}

var faultTargets = []model.TargetID{"g00-0", "g00-1", "g01-0", "g01-1", "desk-0", "desk-1", "desk-2"}

func (c *faultInjector) randomTarget() model.TargetID {
	return faultTargets[c.intn(len(faultTargets), "target")]
}

func (c *faultInjector) newCallID(n *simNode) model.CallID {
	c.lastCall++
	c.calls[c.lastCall] = n
	return c.lastCall
}

// onPeerFault drops or repeats messages, chosen by the sequence number of the sim.
func (c *faultInjector) onPeerFault(n *simNode, m model.SendPeer) bool {
	switch c.seq % 13 {
	case 3:
		return true
	case 5:
		c.after(time.Duration(c.seq%400)*time.Millisecond, func() { c.deliver(n, m) })
	}
	return false
}

// onSendFault makes some requests fail, before or after they run, and delays others.
func (c *faultInjector) onSendFault(n *simNode, o model.SendTarget) bool {
	fault, reply := c.seq%17, model.TargetReply{Execution: notRun}
	if o.Snapshot != 0 && findVersion(c.targets[o.Target].reports, o.Snapshot) == nil {
		fault = 8
	}
	switch fault {
	case 2:
		reply.Error = model.KindTargetShed
	case 4:
		reply.Error, reply.Reset = model.KindTargetConnection, true
	case 6:
		c.execute(o)
		reply.Error, reply.Execution = model.KindTargetConnection, unknown
	case 8:
		reply.Error = model.KindVersionGone
	case 10:
		reply = c.execute(o)
		reply.Answer.Truncated = true
	case 12:
		reply = c.execute(o)
		reply.Answer.Snapshot ^= 15
	case 14:
		c.after(700*time.Millisecond, func() { c.reply(n, o, c.execute(o)) })
		return true
	default:
		return false
	}
	c.after(2*time.Millisecond, func() { c.reply(n, o, reply) })
	return true
}

// restartNode replaces an instance by its next incarnation.
func (c *faultInjector) restartNode(n *simNode) {
	n.down = true
	fresh := c.addNode(n.id, n.incarnation+1, model.PolicyFull)
	fresh.v.leads, fresh.v.successors, fresh.v.successor = n.v.leads, n.v.successors, n.v.successors[n.id]
	fresh.tick()
}

func (c *faultInjector) injectEvent() {
	n := c.node()
	switch c.intn(17, "event") {
	case 0, 1, 2:
		n.search(c.newCallID(n), callBudget)
	case 3, 4:
		c.bookingIDs = append(c.bookingIDs, n.ids(1)...)
		fallthrough
	case 5:
		if len(c.bookingIDs) > 0 {
			n.book(c.newCallID(n), c.bookingIDs[c.intn(len(c.bookingIDs), "id")], 300*time.Millisecond)
		}
	case 6:
		if c.lastCall > 0 {
			call := model.CallID(c.intn(int(c.lastCall), "call") + 1)
			c.calls[call].step(model.CancelCall{Call: call})
		}
	case 7:
		t := c.randomTarget()
		n.v.takenOut[t] = !n.v.takenOut[t]
		n.change(t)
	case 8:
		t := c.randomTarget()
		n.v.leads[t] = c.node().id
		n.v.inactive[t] = c.intn(4, "inactive") == 0
		n.change(t)
	case 9:
		n.step(model.PeerDown{Peer: c.node().id})
	case 10:
		n.v.readiness.OK, n.v.readiness.Kind = !n.v.readiness.OK, model.KindUnconfirmed
		n.tick()
	case 11:
		n.paused = !n.paused
		n.tick()
	case 12:
		t := c.randomTarget()
		c.targets[t].incarnation++
		for _, t := range faultTargets {
			if r := c.targets[t].reports; len(r) > 0 && c.intn(6, "report") > 0 {
				next := versionReport(r[len(r)-1].Version+1, 2+c.intn(9, "total")/8, uint32(t[2]-'0')+1)
				c.setReports(t, slices.Concat(r[len(r)-1:][:c.intn(2, "keep")], []model.VersionReport{next})...)
			}
		}
	case 13:
		c.restartNode(n)
	case 14:
		if n.v.stopping && n.report.Idle {
			c.restartNode(n)
			break
		}
		n.v.stopping, n.v.successor = true, c.node().id
		for _, x := range c.nodes {
			x.v.successors[n.id] = n.v.successor
		}
		n.tick()
	case 15:
		set := *c.set
		set.Groups = slices.Clone(set.Groups)
		desk := &set.Groups[len(set.Groups)-1]
		desk.Targets = desk.Targets[:1+c.intn(3, "targets")]
		n.v.set, n.changes.Set = &set, true
		n.tick()
	case 16:
		n.changes.LostPeers = []model.InstanceID{c.node().id}
		n.tick()
	}
	c.run(time.Duration(c.intn(60, "ms")) * time.Millisecond)
}

// Guards against these failures after random sequences of faults: a booking that
// runs twice or after the answer "not run", an answer that mixes versions, a call
// without an answer or with two, and more work in flight at a target than its
// level.
func TestRandomFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		c := &faultInjector{sim: newSim(3, 2, 2, 2, model.PolicyFull), T: rt, calls: map[model.CallID]*simNode{}}
		c.onPeer, c.onSend = c.onPeerFault, c.onSendFault
		for k := range 2 * quantileRefreshSamples {
			c.nodes[0].search(model.CallID(1<<20+k), callBudget) // provides the samples for the hedge delay
			c.run(10 * time.Millisecond)
		}
		for range rapid.IntRange(10, 120).Draw(rt, "events") {
			c.injectEvent()
		}
		for _, n := range c.nodes {
			n.paused, n.v.readiness = false, view.Readiness{OK: true}
			n.tick()
		}
		c.run(4 * time.Second)
		c.checkInvariants()
	})
}

func (c *faultInjector) checkInvariants() {
	for id, n := range c.runsByBooking {
		if n > 1 {
			c.Fatalf("booking %s ran %d times, want at most 1", id, n)
		}
	}
	for call, n := range c.calls {
		if len(c.answers[call]) > 1 || len(c.answers[call]) == 0 && !n.down {
			c.Fatalf("call %d got %d answers, want 1", call, len(c.answers[call]))
		}
		for _, o := range c.answers[call] {
			switch a := o.(type) {
			case model.BookAnswer:
				if x := executionOf(a); x == notRun && c.runsByBooking[a.Booking.String()] > 0 {
					c.Fatalf("booking %v ran although its answer was %v", a.Booking, a.Error)
				}
			case model.SearchAnswer:
				for _, p := range a.Parts {
					if string(p.Body) != fmt.Sprint(a.Snapshot) {
						c.Fatalf("part of version %s in an answer of version %d, want one version", p.Body, a.Snapshot)
					}
				}
			}
		}
	}
	for _, n := range c.nodes {
		if n.limitBreach != "" {
			c.Fatalf("instance %s: %s", n.id, n.limitBreach)
		}
		if !n.down && !n.report.Idle {
			c.Fatalf("instance %s is not idle after all calls have ended", n.id)
		}
	}
}
