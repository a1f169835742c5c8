package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"galenadyke.dev/core/model"
)

// Guards against requests that are lost in a graceful stop: the instance becomes not
// ready at once, serves requests that still arrive, closes its listener once the load
// balancer has noticed, and ends when all requests are answered.
func TestStopLosesNoRequest(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	h.targets["s-0"], h.targets["s-1"] = answersAfter(350*ms), answersAfter(350*ms)
	before := h.request("/p/x", time.Second)
	h.step(Stop{})
	if h.ready.Ready {
		t.Error("got a ready instance during the stop, want not ready")
	}
	h.run(time.Second)
	after := h.request("/p/x", time.Second)
	h.run(500 * ms)
	for _, id := range []RequestID{before, after} {
		if a := h.answers[id]; a.Kind != AnswerTarget || !a.Closing {
			t.Errorf("request %d: got answer %v, closing %v; want target, closing true", id, a.Kind, a.Closing)
		}
	}
	if !h.accepting || h.stopped {
		t.Error("the listener closed or the stop completed before the load balancer could notice, want an open listener and no completed stop")
	}
	h.run(2 * time.Second)
	if h.accepting || !h.stopped {
		t.Error("the listener is open or the stop is not complete although no request is in progress, want a closed listener and a completed stop")
	}
}

// Guards against a request that is sent to a target when the process is about to end, so that
// its caller would get no answer.
func TestRequestsAtTheEndOfAStopAreRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	h.step(Stop{})
	h.run(h.g.cfg.StopTime - drainReserve - 10*ms)
	if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 1 {
		t.Error("a request that arrived before the end of the stop was not sent")
	}
	h.run(20 * ms)
	id := h.request("/p/x", time.Second)
	if a := h.answers[id]; a.Kind != AnswerRefused || !a.Closing || len(h.sentTo(id)) != 0 {
		t.Errorf("got answer %+v, want a refusal at once", a)
	}
}

// Guards against a stop that waits for a slow request, and against a refusal of that
// request although it may have run.
func TestStopEndsWithinStopTime(t *testing.T) {
	h := newHarness(t)
	r := plainRoute(false)
	r.Timeout = 0
	h.publish(1, readyTargets("s", 2), r)
	h.targets["s-0"], h.targets["s-1"] = neverAnswers, neverAnswers
	id := h.request("/p/x", time.Minute)
	start := h.now
	h.step(Stop{})
	h.run(7 * time.Second)
	if !h.stopped {
		t.Fatal("the stop did not complete within 7 s, want a completed stop")
	}
	if took := h.answeredAt[id] - start; took > 6*time.Second {
		t.Errorf("answered after %v, want within the stop time of 6 s", took)
	}
	if got := h.answers[id].Kind; got != AnswerFailed {
		t.Errorf("answered %v, want failed: the target may have run it", got)
	}
}

// bookingsInAStop stops an instance whose targets answer after targetTime, and returns how the
// requests ended that arrived every 50 ms during the stop time, by the time of their arrival.
// Before the stop, targets answer after timeBefore; if it is 0, there are no requests then.
func bookingsInAStop(t *testing.T, timeBefore, targetTime time.Duration) map[time.Duration]Answer {
	h := newHarness(t)
	route := plainRoute(false)
	route.Timeout = 0
	h.publish(1, readyTargets("s", 4), route)
	answerAfter := func(d time.Duration) {
		for _, target := range readyTargets("s", 4) {
			h.targets[target.ID] = func(SendAttempt) (time.Duration, AttemptEnded) {
				return d, AttemptEnded{Outcome: OutcomeSuccess, Status: 200} // on new connections
			}
		}
	}
	if timeBefore > 0 {
		answerAfter(timeBefore)
		for range 10 {
			h.request("/p/x", 20*time.Second)
			h.run(timeBefore)
		}
	}
	answerAfter(targetTime)
	start := h.now
	h.step(Stop{})
	arrivals := make(map[RequestID]time.Duration)
	for ; h.now-start < h.g.cfg.StopTime; h.run(50 * ms) {
		arrivals[h.request("/p/x", 20*time.Second)] = h.now - start
	}
	answers := make(map[time.Duration]Answer)
	for id, at := range arrivals {
		answers[at] = h.answers[id]
		if a := h.answers[id]; a.Kind == AnswerRefused && (len(h.sentTo(id)) > 0 || h.answeredAt[id]-start != at || !a.Closing) {
			t.Errorf("the request of %v was refused after %v with %d attempts, want at once and without", at, h.answeredAt[id]-start-at, len(h.sentTo(id)))
		}
	}
	return answers
}

// Guards against requests that must not be repeated and run although the stop cuts them off: an
// instance that stops sends a request only if the service usually answers before its end.
func TestStopRefusesBookingsThatItWouldCut(t *testing.T) {
	for name, c := range map[string]struct {
		before, during time.Duration
		served         time.Duration // requests up to this time of the stop are served
		// cutFrom and cutUntil are the times of requests that are cut, as nothing showed how long
		// the service takes.
		cutFrom, cutUntil time.Duration
	}{
		"service of 2.5 s":                   {before: 2500 * ms, during: 2500 * ms, served: 2750 * ms},
		"service of 20 ms":                   {before: 20 * ms, during: 20 * ms, served: 5200 * ms},
		"service of 4 s":                     {before: 4 * time.Second, during: 4 * time.Second, served: 1250 * ms},
		"service that has become slower":     {before: 20 * ms, during: 2500 * ms, served: 2500 * ms},
		"service of 3 s that was 4 s before": {before: 4 * time.Second, during: 3 * time.Second, served: 1250 * ms},
		"service without requests before":    {during: 2500 * ms, served: 2500 * ms},
		"slow service, no requests before":   {during: 4 * time.Second, served: 1250 * ms, cutFrom: 1300 * ms, cutUntil: 2650 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			refused := 0
			for at, a := range bookingsInAStop(t, c.before, c.during) {
				switch {
				case a.Kind == AnswerRefused && at > c.served:
					refused++
				case a.Kind == AnswerFailed && c.cutUntil > 0 && at >= c.cutFrom && at <= c.cutUntil:
				case a.Kind != AnswerTarget:
					t.Errorf("the request of %v was answered %v (%s), want served, or refused after %v", at, a.Kind, a.Reason, c.served)
				}
			}
			if refused == 0 {
				t.Error("no request was refused, so the test shows nothing")
			}
		})
	}
}

// Guards against a request that waits for a free connection during a stop and is sent when the
// service can no longer answer it.
func TestStopRefusesQueuedBookingsThatItWouldCut(t *testing.T) {
	h := newHarness(t)
	route := plainRoute(false)
	route.Timeout, route.LatencyObjective = 0, 10*time.Second // waits for up to 2.5 s
	h.publish(1, readyTargets("s", 1), route)
	h.g.service("s").limits.MaxConnections = 6 // one for this instance
	h.targets["s-0"] = answersAfter(2 * time.Second)
	h.request("/p/x", 20*time.Second)
	h.run(2 * time.Second)
	h.step(Stop{})
	h.run(1500 * ms)
	first, queued := h.request("/p/x", 20*time.Second), h.request("/p/x", 20*time.Second)
	h.run(5 * time.Second)
	if a := h.answers[first]; a.Kind != AnswerTarget {
		t.Errorf("the request that was sent at 1.5 s was answered %v, want served", a.Kind)
	}
	if a := h.answers[queued]; a.Kind != AnswerRefused || len(h.sentTo(queued)) > 0 {
		t.Errorf("the request that waited until 3.5 s was answered %v after %d attempts, want refused without one", a.Kind, len(h.sentTo(queued)))
	}
}

// Guards against reloaded settings that apply only after a restart.
func TestChangedLimitsApplyAtOnce(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 4), plainRoute(true))
	for _, target := range readyTargets("s", 4) {
		h.targets[target.ID] = endsAfter(ms, OutcomeBroken)
	}
	h.step(LimitsChanged{Limits{Budget: BudgetLimits{Window: 10 * time.Second}, StopTime: time.Second}})
	id := h.request("/p/x", time.Second)
	h.run(time.Second)
	if got := len(h.sentTo(id)); got != 1 {
		t.Errorf("got %d attempts with an empty retry budget, want 1", got)
	}
}

// Guards against nondeterminism: the same inputs and times give the same outputs.
func TestSameInputsGiveSameOutputs(t *testing.T) {
	run := func() []Output {
		g := New(Config{Self: "self", Address: "a", Place: "ikeja", Capacity: 1, Incarnation: 1, Seed: 3,
			Limits: Limits{StopTime: time.Second, Seeds: []string{"b", "c"}, Budget: BudgetLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}}})
		var all []Output
		now := time.Second
		g.Step(ConfigurationRead{&Configuration{Version: 1, Routes: []Route{gatherRoute(12, 0.5), plainRoute(true)}}})
		g.Step(StoreRead{Revision: 1, Complete: true, Targets: append(shardTargets(12), readyTargets("s", 4)...)})
		for i := range 200 {
			if i < 20 {
				g.Step(StateReceived{State: StateMessage{Sender: otherMember(i), WantsReply: true}})
			}
			g.Step(Arrived{Request: RequestID(i + 1), Host: "h.example", Path: []string{"/g/x", "/p/x"}[i%2], At: now, Remaining: time.Second})
			for _, out := range g.Tick(model.Now{Mono: now, Boot: now}) {
				// Two of three attempts end at the next tick, with all outcomes in turn.
				if s, ok := out.(SendAttempt); ok && s.Attempt%3 != 0 {
					g.Step(AttemptEnded{Attempt: s.Attempt, Outcome: Outcome(s.Attempt % 8), Reused: true})
				}
				all = append(all, out)
			}
			now += 7 * ms
		}
		return all
	}
	if diff := cmp.Diff(run(), run()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a less urgent request that is served before a more urgent one while
// no connection is free.
func TestUrgentRequestsLeaveTheQueueFirst(t *testing.T) {
	h := newHarness(t)
	urgent, other := plainRoute(true), plainRoute(true)
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/u/", 0
	other.Priority = 3
	h.publish(1, readyTargets("s", 1), urgent, other)
	h.g.service("s").limits.MaxConnections = 6 // one for this instance
	h.targets["s-0"] = answersAfter(30 * ms)
	h.request("/p/first", time.Second)
	var otherIDs, urgentIDs []RequestID
	for range 2 {
		otherIDs = append(otherIDs, h.request("/p/x", time.Second))
	}
	for range 2 {
		urgentIDs = append(urgentIDs, h.request("/u/x", time.Second))
	}
	h.run(time.Second)
	for _, urgentID := range urgentIDs {
		for _, otherID := range otherIDs {
			if h.answers[otherID].Kind == AnswerTarget && h.answeredAt[urgentID] > h.answeredAt[otherID] {
				t.Errorf("urgent request %d was answered after request %d, want no later", urgentID, otherID)
			}
		}
	}
}

// Guards against late or untrue refusals in a burst of five times the targets'
// capacity: requests that can't be served are refused within a quarter of the
// objective, none of them has run, and nearly as many requests as the targets have
// capacity for are served in time.
func TestBurstIsServedToCapacityAndRefusedEarly(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	h.g.service("s").limits.MaxConnections = 24 // two for this instance during sourceStartDelay
	busyUntil := map[model.TargetID]time.Duration{}
	behaviour := func(s SendAttempt) (time.Duration, AttemptEnded) {
		free := max(h.now, busyUntil[s.Target])
		busyUntil[s.Target] = free + 25*ms // one slot
		return free + 25*ms - h.now, AttemptEnded{Outcome: OutcomeSuccess, Status: 200, Reused: true}
	}
	h.targets["s-0"], h.targets["s-1"] = behaviour, behaviour
	arrivedAt := map[RequestID]time.Duration{}
	for range 400 { // one request per 2.5 ms; two targets serve one per 12.5 ms
		id := h.request("/p/x", time.Second)
		arrivedAt[id] = h.now
		h.run(2500 * time.Microsecond)
	}
	h.run(2 * time.Second)
	served := 0
	for id, at := range arrivedAt {
		a, took := h.answers[id], h.answeredAt[id]-at
		switch a.Kind {
		case AnswerTarget:
			if took <= 400*ms {
				served++
			}
		case AnswerRefused:
			if took > 110*ms {
				t.Errorf("request %d was refused after %v, want within 110 ms: about a quarter of its objective", id, took)
			}
			if len(h.sentTo(id)) != 0 {
				t.Errorf("request %d was refused after it was sent, want no refusal of sent requests", id)
			}
		default:
			t.Errorf("request %d: got answer %v (%s), want target or refused", id, a.Kind, a.Reason)
		}
	}
	if served < 70 { // of 400 that arrive in a second
		t.Errorf("got %d requests served in time, want at least 70; the targets can serve 80", served)
	}
	var delays []time.Duration
	for _, a := range h.answers {
		if a.Kind == AnswerRefused {
			delays = append(delays, a.RetryAfter)
		}
	}
	if slices.Max(delays)-slices.Min(delays) < 20*ms {
		t.Error("the Retry-After of refused callers is spread over less than 20 ms, want at least 20 ms")
	}
}
