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
	calls      map[model.CallID]*simNode // entry instance of each call
	lastCall   model.CallID
}

// intn draws a number from 0 to n-1.
func (f *faultInjector) intn(n int, label string) int { return rapid.IntRange(0, n-1).Draw(f.T, label) }

// node draws a random instance and returns its running incarnation. It shadows
// sim.node, which looks up a given instance.
func (f *faultInjector) node() *simNode {
	n := f.nodes[f.intn(len(f.nodes), "node")]
	if n.down {
		return f.sim.node(n.id)
	}
	return n
}

var faultTargets = []model.TargetID{"g00-0", "g00-1", "g01-0", "g01-1", "desk-0", "desk-1", "desk-2"}

func (f *faultInjector) randomTarget() model.TargetID {
	return faultTargets[f.intn(len(faultTargets), "target")]
}

func (f *faultInjector) newCallID(n *simNode) model.CallID {
	f.lastCall++
	f.calls[f.lastCall] = n
	return f.lastCall
}

// injectPeerFault drops or repeats some messages between instances. The sequence
// number of the sim selects the fault.
func (f *faultInjector) injectPeerFault(n *simNode, m model.SendPeer) bool {
	switch f.seq % 13 {
	case 3: // the message is lost
		return true
	case 5: // the message arrives twice, the second time up to 400 ms later
		f.after(time.Duration(f.seq%400)*time.Millisecond, func() { f.deliver(n, m) })
	}
	return false
}

// injectSendFault makes some requests fail before or after they run, makes targets
// answer some of them wrongly, and delays others. The sequence number of the sim
// selects the fault.
func (f *faultInjector) injectSendFault(n *simNode, o model.SendTarget) bool {
	fault, reply := f.seq%17, model.TargetReply{Execution: notRun}
	if o.Snapshot != 0 && findVersion(f.targets[o.Target].reports, o.Snapshot) == nil {
		fault = 8 // the target no longer serves the version
	}
	switch fault {
	case 2: // the target sheds the request
		reply.Error = model.KindTargetShed
	case 4: // the connection is reset before the request runs
		reply.Error, reply.Reset = model.KindTargetConnection, true
	case 6: // the connection breaks after the request has run
		f.execute(o)
		reply.Error, reply.Execution = model.KindTargetConnection, unknown
	case 8: // the version is gone
		reply.Error = model.KindVersionGone
	case 10: // the answer is truncated
		reply = f.execute(o)
		reply.Answer.Truncated = true
	case 12: // the answer comes from another version
		reply = f.execute(o)
		reply.Answer.Snapshot ^= 15
	case 14: // the reply comes after the deadline of the call
		f.after(700*time.Millisecond, func() { f.reply(n, o, f.execute(o)) })
		return true
	default:
		return false
	}
	f.after(2*time.Millisecond, func() { f.reply(n, o, reply) })
	return true
}

// restartNode replaces an instance by its next incarnation, without a graceful stop.
func (f *faultInjector) restartNode(n *simNode) {
	n.down = true
	fresh := f.addNode(n.id, n.incarnation+1, model.PolicyFull)
	fresh.v.leads, fresh.v.successors, fresh.v.successor = n.v.leads, n.v.successors, n.v.successors[n.id]
	fresh.tick()
}

// injectEvent starts one random call or injects one random change or fault, and then
// runs the sim for up to 60 ms.
func (f *faultInjector) injectEvent() {
	n := f.node()
	switch f.intn(17, "event") {
	case 0, 1, 2: // search
		n.search(f.newCallID(n), callBudget)
	case 3, 4: // new booking id, then a booking
		f.bookingIDs = append(f.bookingIDs, n.issueIDs(1)...)
		fallthrough
	case 5: // booking with a random id that was issued before
		if len(f.bookingIDs) > 0 {
			n.book(f.newCallID(n), f.bookingIDs[f.intn(len(f.bookingIDs), "id")], 300*time.Millisecond)
		}
	case 6: // the caller cancels a random call
		if f.lastCall > 0 {
			call := model.CallID(f.intn(int(f.lastCall), "call") + 1)
			f.calls[call].step(model.CancelCall{Call: call})
		}
	case 7: // one instance sees a target taken out or put back
		t := f.randomTarget()
		n.v.takenOut[t] = !n.v.takenOut[t]
		n.change(t)
	case 8: // one instance sees a new lead of a target, at times in handover
		t := f.randomTarget()
		n.v.leads[t] = f.node().id
		n.v.inactive[t] = f.intn(4, "inactive") == 0
		n.change(t)
	case 9: // the stream to a peer breaks
		n.step(model.PeerDown{Peer: f.node().id})
	case 10: // the configuration becomes unconfirmed or confirmed again
		n.v.readiness.OK, n.v.readiness.Kind = !n.v.readiness.OK, model.KindUnconfirmed
		n.tick()
	case 11: // the instance pauses or continues
		n.paused = !n.paused
		n.tick()
	case 12: // a target restarts, and most targets report the next version
		t := f.randomTarget()
		f.targets[t].incarnation++
		for _, t := range faultTargets {
			if r := f.targets[t].reports; len(r) > 0 && f.intn(6, "report") > 0 {
				next := versionReport(r[len(r)-1].Version+1, 2+f.intn(9, "total")/8, uint32(t[2]-'0')+1)
				f.setReports(t, slices.Concat(r[len(r)-1:][:f.intn(2, "keep")], []model.VersionReport{next})...)
			}
		}
	case 13: // restart without a graceful stop
		f.restartNode(n)
	case 14: // graceful stop; once the instance is idle, a restart
		if n.v.stopping && n.report.Idle {
			f.restartNode(n)
			break
		}
		n.v.stopping, n.v.successor = true, f.node().id
		for _, x := range f.nodes {
			x.v.successors[n.id] = n.v.successor
		}
		n.tick()
	case 15: // one instance gets a configuration with 1 to 3 booking targets
		set := *f.set
		set.Groups = slices.Clone(set.Groups)
		desk := &set.Groups[len(set.Groups)-1]
		desk.Targets = desk.Targets[:1+f.intn(3, "targets")]
		n.v.set, n.changes.Set = &set, true
		n.tick()
	case 16: // the control plane reports a peer as lost
		n.changes.LostPeers = []model.InstanceID{f.node().id}
		n.tick()
	}
	f.run(time.Duration(f.intn(60, "ms")) * time.Millisecond)
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
		f := &faultInjector{sim: newSim(3, 2, 2, 2, model.PolicyFull), T: rt, calls: map[model.CallID]*simNode{}}
		f.onPeer, f.onSend = f.injectPeerFault, f.injectSendFault
		for k := range 2 * quantileRefreshSamples {
			f.nodes[0].search(model.CallID(1<<20+k), callBudget) // provides the samples for the hedge delay
			f.run(10 * time.Millisecond)
		}
		for range rapid.IntRange(10, 120).Draw(rt, "events") {
			f.injectEvent()
		}
		for _, n := range f.nodes {
			n.paused, n.v.readiness = false, view.Readiness{OK: true}
			n.tick()
		}
		f.run(4 * time.Second)
		f.checkInvariants()
	})
}

// checkInvariants fails the test if one of the failures listed at TestRandomFaults
// has occurred or an instance is still busy.
func (f *faultInjector) checkInvariants() {
	for id, n := range f.runsByBooking {
		if n > 1 {
			f.Fatalf("booking %s ran %d times, want at most 1", id, n)
		}
	}
	for call, n := range f.calls {
		if len(f.answers[call]) > 1 || len(f.answers[call]) == 0 && !n.down {
			f.Fatalf("call %d got %d answers, want 1", call, len(f.answers[call]))
		}
		for _, o := range f.answers[call] {
			switch a := o.(type) {
			case model.BookAnswer:
				if x := executionOf(a); x == notRun && f.runsByBooking[a.Booking.String()] > 0 {
					f.Fatalf("booking %v ran although its answer was %v", a.Booking, a.Error)
				}
			case model.SearchAnswer:
				for _, p := range a.Parts {
					if string(p.Body) != fmt.Sprint(a.Snapshot) {
						f.Fatalf("part of version %s in an answer of version %d, want one version", p.Body, a.Snapshot)
					}
				}
			}
		}
	}
	for _, n := range f.nodes {
		if n.limitBreach != "" {
			f.Fatalf("instance %s: %s", n.id, n.limitBreach)
		}
		if !n.down && !n.report.Idle {
			f.Fatalf("instance %s is busy after all calls have ended, want idle", n.id)
		}
	}
}
