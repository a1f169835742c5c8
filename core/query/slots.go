package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// cancelSettle is the time for which the slot of work that ended without the
// target's answer still counts as taken. The target learns of a cancellation
// one link delay later, up to 4.5 ms between data centres, while new work on
// another connection may overtake it.
const cancelSettle = 10 * time.Millisecond

// taken is the number of slots that this lead's work may hold at the target.
func (t *target) taken(now time.Duration) int {
	n := 0
	for n < len(t.settling) && t.settling[n] <= now {
		n++
	}
	t.settling = append(t.settling[:0], t.settling[n:]...)
	return len(t.flight) + len(t.settling)
}

// handBackStalled returns the queue of a target at which every request is
// overdue: queued work would wait at least as long, and as it has not been
// sent, another replica can run it without extra load. Work that comes back,
// because there is no other replica, waits until the target has replied.
func (e *Engine) handBackStalled(i int32) {
	t := &e.targets[i]
	if len(t.queue) > 0 && !t.stalled && e.now >= e.stallAt(t) {
		t.stalled = true
		e.handBack(i, model.KindTargetStalled)
	}
}

// stallAt is the time at which all requests in flight at a full target are
// overdue.
func (e *Engine) stallAt(t *target) time.Duration {
	if t.service == 0 || len(t.flight) < t.room() {
		return model.NoWake
	}
	var latest time.Duration
	for _, i := range t.flight {
		latest = max(latest, e.works.at(i).sent)
	}
	return latest + max(jumpFactor*t.service, jumpFloor)
}
