package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a wrong order of the queue: more urgent parts come first, then earlier
// deadlines, then parts queued earlier.
func TestQueueOrder(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 1), plainRoute(true))
	s := h.g.service("s")
	// The index of an entry is the ID of its request.
	for id, queued := range []struct {
		priority int
		deadline time.Duration
	}{{2, 9 * ms}, {1, 5 * ms}, {2, 3 * ms}, {1, 5 * ms}, {0, 9 * ms}, {2, 9 * ms}, {1, 4 * ms}} {
		r := &request{id: RequestID(id), route: &Route{Priority: queued.priority}, deadline: h.now + queued.deadline, parts: []part{{service: s}}}
		h.g.enqueue(r, 0)
	}
	var got []RequestID
	for _, waiting := range s.waiting {
		got = append(got, waiting.request.id)
	}
	if diff := cmp.Diff([]RequestID{4, 6, 1, 3, 2, 0, 5}, got); diff != "" {
		t.Error(diff)
	}
}
