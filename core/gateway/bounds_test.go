package gateway

import (
	"fmt"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against a table of members that grows with forged messages, and against members that
// are kept out of it by members that nobody has heard of directly.
func TestMemberTableIsBounded(t *testing.T) {
	h := newHarness(t)
	state := func(i int) MemberState {
		return MemberState{Name: model.InstanceID(fmt.Sprintf("x%d", i)), Address: "127.0.0.1:1", Incarnation: 1, Heartbeat: 1}
	}
	for i := range 100 {
		message := StateMessage{Sender: state(0)}
		for j := range 30 {
			message.Members = append(message.Members, state(1+30*i+j))
		}
		h.step(StateReceived{State: message})
	}
	h.tick()
	if n := len(h.g.members.byName); n != maxMembers {
		t.Errorf("got %d members, want %d", n, maxMembers)
	}
	direct := state(100_000)
	h.step(StateReceived{State: StateMessage{Sender: direct}})
	h.tick()
	if h.g.members.byName[direct.Name] == nil {
		t.Error("a member that sent a message is not in the table, want it in place of one that is only known from others")
	}
	if n := len(h.g.members.byName); n != maxMembers {
		t.Errorf("got %d members, want %d", n, maxMembers)
	}
	h.run(memberForgetAfter + 2*time.Second)
	if n := len(h.g.members.byName); n != 0 {
		t.Errorf("got %d members without news for long, want 0", n)
	}
}

// Guards against a crash of the instance when the sender of a message, of whom there was no later
// news, makes room for a member that the message names.
func TestSenderIsKeptDuringItsMessage(t *testing.T) {
	h := newHarness(t)
	sender := MemberState{Name: "sender", Address: "127.0.0.1:1", Incarnation: 1, Heartbeat: 1, Era: 1, Revision: 100}
	h.step(StateReceived{State: StateMessage{Sender: sender}})
	h.run(memberLostAfter + time.Second)
	message := StateMessage{Sender: sender}
	for i := range maxMembers + 1 {
		message.Members = append(message.Members, MemberState{Name: model.InstanceID(fmt.Sprintf("x%d", i)), Address: "127.0.0.1:1", Incarnation: 1, Heartbeat: 1})
	}
	h.step(StateReceived{State: message})
	if h.g.members.byName[sender.Name] == nil || len(h.g.members.byName) != maxMembers {
		t.Errorf("got sender known %v, %d members, want the sender among %d", h.g.members.byName[sender.Name] != nil, len(h.g.members.byName), maxMembers)
	}
}

// Guards against a table of departures that grows with forged messages.
func TestLearnedDeparturesAreBounded(t *testing.T) {
	h := newHarness(t)
	for i := range 200 {
		message := StateMessage{Sender: otherMember(0)}
		for j := range 50 {
			message.Departures = append(message.Departures, Departure{Target: model.TargetID(fmt.Sprintf("t%d", 50*i+j)), StartedAtMillis: 1, Report: 1})
		}
		h.step(StateReceived{State: message})
	}
	h.tick()
	if n := len(h.g.departures); n != maxDepartures {
		t.Errorf("got %d departures, want %d", n, maxDepartures)
	}
}

// Guards against requests that are kept until their deadline after they have been answered.
func TestAnsweredRequestsAreNotKept(t *testing.T) {
	h := newHarness(t)
	route := Route{Name: "r", Host: "h.example", Prefix: "/r/", Idempotent: true, Timeout: time.Minute, LatencyObjective: 50 * time.Second,
		MaxAttempts: 2, Backends: []WeightedService{{Service: "a", Weight: 1}}}
	h.publish(1, []Target{{ID: "a-0", Service: "a", Address: "10.0.0.2:80", Place: "ikeja", Slots: 2}}, route)
	for range 2000 {
		id := h.request("/r/x", time.Minute)
		h.run(15 * ms)
		if h.answers[id].Kind != AnswerTarget {
			t.Fatalf("got answer %+v, want that of the target", h.answers[id])
		}
	}
	if n, bound := len(h.g.timers), 2*minCancelledTimers; n > bound {
		t.Errorf("got %d timers without a request in progress, want at most %d", n, bound)
	}
	for _, timer := range h.g.timers {
		if timer.task.fire == nil {
			h.g.cancelledTimers--
		}
	}
	if h.g.cancelledTimers != 0 {
		t.Errorf("the number of cancelled timers is off by %d", -h.g.cancelledTimers)
	}
}
