package gateway

import (
	"testing"
	"time"
)

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
