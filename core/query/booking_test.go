package query

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/view"
)

// bookingSim is a sim of one booking: the call enters at instance b, instance a owns
// the booking id, and instance c leads the targets.
type bookingSim struct {
	*sim
	a, b, c *simNode
	booking model.BookingID
	sends   int // number of SendTarget outputs seen by interceptFirstSend
}

func newBookingSim() *bookingSim {
	s := newSim(3, 1, 2, 2, model.PolicyFull)
	r := &bookingSim{sim: s, a: s.nodes[0], b: s.nodes[1], c: s.nodes[2]}
	for _, n := range s.nodes {
		for _, t := range bookingTargets {
			n.v.leads[t] = "c"
		}
		n.change(bookingTargets...)
	}
	r.booking = r.a.issueIDs(1)[0]
	return r
}

var bookingTargets = []model.TargetID{"desk-0", "desk-1", "desk-2"}

// holdHandover keeps the handover of the booking targets to node n from ending, so
// that n, as their lead, sends no work.
func (r *bookingSim) holdHandover(n *simNode) {
	for _, id := range bookingTargets {
		n.v.inactive[id] = true
	}
	n.change(bookingTargets...)
}

// interceptFirstSend calls f for the first SendTarget, which is then not served.
func (r *bookingSim) interceptFirstSend(f func(n *simNode, o model.SendTarget)) {
	r.onSend = func(n *simNode, o model.SendTarget) bool {
		r.sends++
		if r.sends > 1 {
			return false
		}
		f(n, o)
		return true
	}
}

// replyWith returns a function that replies to a request with an error after 1 ms.
func (r *bookingSim) replyWith(kind model.Kind, execution model.Execution, reset bool) func(*simNode, model.SendTarget) {
	return func(n *simNode, o model.SendTarget) {
		r.after(time.Millisecond, func() { r.reply(n, o, model.TargetReply{Error: kind, Execution: execution, Reset: reset}) })
	}
}

// dropFirst drops the first message for which match returns true.
func (r *bookingSim) dropFirst(match func(model.PeerMessage) bool) {
	done := false
	r.onPeer = func(_ *simNode, m model.SendPeer) bool {
		drop := !done && match(m.Message)
		done = done || drop
		return drop
	}
}

// duplicate delivers each message for which match returns true two more times: at
// once and after 300 ms.
func (r *bookingSim) duplicate(match func(model.PeerMessage) bool) {
	r.onPeer = func(n *simNode, m model.SendPeer) bool {
		if match(m.Message) {
			r.deliver(n, m)
			r.after(300*time.Millisecond, func() { r.deliver(n, m) })
		}
		return false
	}
}

func isMessage[T model.PeerMessage](m model.PeerMessage) bool { _, ok := m.(T); return ok }

// kill stops node n after d without a graceful stop and breaks its streams.
func (r *bookingSim) kill(n *simNode, d time.Duration) {
	r.after(d, func() {
		n.down = true
		for _, other := range r.nodes {
			other.step(model.PeerDown{Peer: n.id})
		}
	})
}

const (
	ran     = model.Ran
	notRun  = model.NotRun
	unknown = model.Unknown
)

// Guards against a booking that runs twice, the answer "not run" for a booking that
// ran, and a different outcome in the answer to a repeat, for each fault at each
// step (design 3.5).
func TestBookingFaults(t *testing.T) {
	cases := []struct {
		name       string
		inject     func(r *bookingSim)
		first      model.Execution // in the answer to the first call
		runs       int             // number of runs after the first call
		repeat     model.Execution // in the answer to the repeat of the call
		recordLost bool            // the owner's record of the outcome is lost
	}{
		{name: "no fault", inject: func(*bookingSim) {}, first: ran, runs: 1, repeat: ran},
		{name: "target refuses before execution", inject: func(r *bookingSim) {
			r.interceptFirstSend(r.replyWith(model.KindTargetShed, notRun, false))
		}, first: ran, runs: 1, repeat: ran},
		{name: "target connection fails before the write", inject: func(r *bookingSim) {
			r.interceptFirstSend(r.replyWith(model.KindTargetConnection, notRun, true))
		}, first: ran, runs: 1, repeat: ran},
		{name: "all targets refuse", inject: func(r *bookingSim) {
			r.onSend = func(n *simNode, o model.SendTarget) bool {
				r.replyWith(model.KindTargetShed, notRun, false)(n, o)
				return true
			}
		}, first: notRun, runs: 0, repeat: notRun},
		{name: "target dies during execution", inject: func(r *bookingSim) {
			r.interceptFirstSend(r.replyWith(model.KindTargetConnection, unknown, true))
		}, first: unknown, runs: 0, repeat: unknown},
		{name: "answer from the target lost", inject: func(r *bookingSim) {
			r.interceptFirstSend(func(n *simNode, o model.SendTarget) {
				r.execute(o)
				r.replyWith(model.KindTargetConnection, unknown, true)(n, o)
			})
		}, first: unknown, runs: 1, repeat: unknown},
		{name: "answer from the target after the deadline", inject: func(r *bookingSim) {
			r.interceptFirstSend(func(n *simNode, o model.SendTarget) {
				r.after(1200*time.Millisecond, func() { r.reply(n, o, r.execute(o)) })
			})
		}, first: unknown, runs: 1, repeat: ran},
		{name: "refusal by the target after the deadline", inject: func(r *bookingSim) {
			r.interceptFirstSend(func(n *simNode, o model.SendTarget) {
				r.after(1200*time.Millisecond, func() { r.replyWith(model.KindTargetShed, notRun, false)(n, o) })
			})
		}, first: unknown, runs: 0, repeat: notRun},
		{name: "contradictory answer from the target", inject: func(r *bookingSim) {
			r.interceptFirstSend(r.replyWith(model.KindTargetAnswer, unknown, false))
		}, first: unknown, runs: 0, repeat: unknown},
		{name: "relay lost", inject: func(r *bookingSim) { r.dropFirst(isMessage[model.RelayRequest]) },
			first: unknown, runs: 0, repeat: unknown},
		{name: "relay repeated", inject: func(r *bookingSim) { r.duplicate(isMessage[model.RelayRequest]) },
			first: ran, runs: 1, repeat: ran},
		{name: "relay outcome lost", inject: func(r *bookingSim) { r.dropFirst(isMessage[model.RelayReply]) },
			first: unknown, runs: 1, repeat: unknown},
		{name: "relay outcome repeated", inject: func(r *bookingSim) { r.duplicate(isMessage[model.RelayReply]) },
			first: ran, runs: 1, repeat: ran},
		{name: "lead dies with the booking queued", inject: func(r *bookingSim) {
			r.holdHandover(r.c)
			r.kill(r.c, 50*time.Millisecond)
		}, first: unknown, runs: 0, repeat: unknown},
		{name: "lead dies with the booking in flight", inject: func(r *bookingSim) { r.kill(r.c, 4*time.Millisecond) },
			first: unknown, runs: 1, repeat: unknown},
		{name: "lead pauses with the message unread", inject: func(r *bookingSim) {
			r.c.paused = true
			r.after(1200*time.Millisecond, func() {
				// After the pause the configuration counts as unconfirmed.
				r.c.v.readiness = view.Readiness{Kind: model.KindUnconfirmed}
				r.c.paused = false
				r.c.tick()
			})
		}, first: unknown, runs: 0, repeat: notRun},
		{name: "lead pauses with the booking queued", inject: func(r *bookingSim) {
			r.holdHandover(r.c)
			r.after(50*time.Millisecond, func() { r.c.paused = true })
			r.after(1200*time.Millisecond, func() {
				r.c.v.inactive = map[model.TargetID]bool{}
				r.c.paused = false
				r.c.change(bookingTargets...)
			})
		}, first: unknown, runs: 0, repeat: notRun},
		{name: "lead never becomes active", inject: func(r *bookingSim) { r.holdHandover(r.c) },
			first: notRun, runs: 0, repeat: notRun},
		{name: "owner is the lead and never becomes active", inject: func(r *bookingSim) {
			for _, id := range bookingTargets {
				r.a.v.leads[id] = "a"
			}
			r.holdHandover(r.a)
			r.b = r.a
		}, first: notRun, runs: 0, repeat: notRun},
		{name: "relay to an instance that is not the lead", inject: func(r *bookingSim) {
			r.c.v.leads = map[model.TargetID]model.InstanceID{"desk-0": "b", "desk-1": "b", "desk-2": "b"}
			r.c.change(bookingTargets...)
		}, first: notRun, runs: 0, repeat: notRun},
		{name: "lead changes while the booking is queued", inject: func(r *bookingSim) {
			r.holdHandover(r.c)
			r.after(50*time.Millisecond, func() {
				for _, n := range r.nodes {
					n.v.leads["desk-0"], n.v.leads["desk-1"], n.v.leads["desk-2"] = "b", "b", "b"
				}
				for _, n := range r.nodes {
					n.change(bookingTargets...)
				}
			})
		}, first: ran, runs: 1, repeat: ran},
		{name: "forward lost", inject: func(r *bookingSim) { r.dropFirst(isMessage[model.BookForward]) },
			first: unknown, runs: 0, repeat: ran},
		{name: "forward repeated", inject: func(r *bookingSim) { r.duplicate(isMessage[model.BookForward]) },
			first: ran, runs: 1, repeat: ran},
		{name: "outcome from the owner lost", inject: func(r *bookingSim) { r.dropFirst(isMessage[model.BookOutcome]) },
			first: unknown, runs: 1, repeat: ran},
		{name: "outcome from the owner repeated", inject: func(r *bookingSim) { r.duplicate(isMessage[model.BookOutcome]) },
			first: ran, runs: 1, repeat: ran},
		{name: "owner dies before the forward arrives", inject: func(r *bookingSim) { r.kill(r.a, 0) },
			first: unknown, runs: 0, repeat: unknown, recordLost: true},
		{name: "owner dies after it has relayed the booking", inject: func(r *bookingSim) { r.kill(r.a, 4*time.Millisecond) },
			first: unknown, runs: 1, repeat: unknown, recordLost: true},
		{name: "owner restarts", inject: func(r *bookingSim) {
			r.a.down = true
			r.addNode("a", 2, model.PolicyFull).tick()
		}, first: unknown, runs: 0, repeat: unknown, recordLost: true},
		{name: "partition between entry and owner", inject: func(r *bookingSim) {
			r.onPeer = func(n *simNode, m model.SendPeer) bool {
				return n.id == "b" && m.To == "a" || n.id == "a" && m.To == "b"
			}
		}, first: unknown, runs: 0, repeat: ran},
		{name: "owner not confirmed", inject: func(r *bookingSim) {
			r.a.v.readiness = view.Readiness{Kind: model.KindUnconfirmed}
		}, first: notRun, runs: 0, repeat: notRun},
		{name: "all targets taken out", inject: func(r *bookingSim) {
			for _, n := range r.nodes {
				n.v.takenOut["desk-0"], n.v.takenOut["desk-1"], n.v.takenOut["desk-2"] = true, true, true
				n.change(bookingTargets...)
			}
		}, first: notRun, runs: 0, repeat: notRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newBookingSim()
			tc.inject(r)
			r.b.book(1, r.booking, time.Second)
			r.run(2 * time.Second)
			if x := executionOf(bookAnswerOf(t, r.sim, 1)); x != tc.first || r.runsByBooking[r.booking.String()] != tc.runs {
				t.Errorf("first call: execution %v after %d runs, want %v after %d", x, r.runsByBooking[r.booking.String()], tc.first, tc.runs)
			}
			r.onPeer, r.onSend = nil, nil
			for _, n := range r.nodes {
				n.v.readiness = view.Readiness{OK: true}
				n.tick()
			}
			r.b.book(2, r.booking, time.Second)
			r.run(2 * time.Second)
			a := bookAnswerOf(t, r.sim, 2)
			if x := executionOf(a); x != tc.repeat || r.runsByBooking[r.booking.String()] > 1 {
				t.Errorf("repeat: execution %v after %d runs, want %v after at most 1", x, r.runsByBooking[r.booking.String()], tc.repeat)
			}
			if ranOnRepeat := tc.runs == 0 && tc.repeat == ran; a.Repeat == (ranOnRepeat || tc.recordLost) {
				t.Errorf("answer to the repeat has Repeat = %v, want true unless the repeat ran the booking or the owner's record is lost", a.Repeat)
			}
		})
	}
}

func executionOf(a model.BookAnswer) model.Execution {
	if a.Error != nil {
		return a.Error.Execution
	}
	return model.Ran
}

// Guards against a second run or a different outcome when a booking call is
// repeated: at once, at the owner, at a third instance, after the first call was
// cancelled, with another body, and after the id has expired.
func TestBookingRepeats(t *testing.T) {
	r := newBookingSim()
	unusedID := r.a.issueIDs(1)[0]
	r.b.book(1, r.booking, time.Second)
	r.b.book(2, r.booking, time.Second)
	r.a.book(3, r.booking, time.Second)
	r.c.book(4, r.booking, time.Second)
	r.b.step(model.CancelCall{Call: 1})
	r.run(time.Second)
	r.c.step(model.BookCall{Call: 5, Booking: r.booking, Route: "book", Budget: time.Second, Body: []byte("other")})
	r.run(objects.DefaultLimits().ReservationTTL)
	r.b.book(6, r.booking, time.Second)
	r.b.book(7, unusedID, time.Second)
	r.b.book(8, model.BookingID{Owner: "a", Incarnation: 1, Counter: 99}, time.Second)
	r.run(time.Second)
	want := map[model.CallID]struct {
		kind      model.Kind
		execution model.Execution
	}{
		1: {model.KindCancelled, unknown}, 2: {0, ran}, 3: {0, ran}, 4: {0, ran},
		5: {model.KindBookingConflict, notRun}, 6: {model.KindBookingExpired, unknown},
		7: {model.KindBookingExpired, notRun}, 8: {model.KindBadBookingID, notRun},
	}
	for c := model.CallID(1); c <= 8; c++ {
		a := bookAnswerOf(t, r.sim, c)
		kind := model.KindNone
		if a.Error != nil {
			kind = a.Error.Kind
		}
		if kind != want[c].kind || executionOf(a) != want[c].execution {
			t.Errorf("call %d: error kind %v, execution %v; want %v, %v", c, kind, executionOf(a), want[c].kind, want[c].execution)
		}
	}
	if n := r.runsByBooking[r.booking.String()]; n != 1 {
		t.Errorf("booking ran %d times, want 1", n)
	}
}
