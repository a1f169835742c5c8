package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// cancelSettleTime is the time for which the slot of work that ended without the
// target's answer still counts as taken. The target learns of a cancellation
// one link delay later, up to 4.5 ms between data centres, while new work on
// another connection may overtake it.
const cancelSettleTime = 10 * time.Millisecond

// occupiedSlots is the number of slots that this lead's work may hold at the target.
func (t *target) occupiedSlots(now time.Duration) int {
	n := 0
	for n < len(t.settlingUntil) && t.settlingUntil[n] <= now {
		n++
	}
	t.settlingUntil = append(t.settlingUntil[:0], t.settlingUntil[n:]...)
	return len(t.inFlight) + len(t.settlingUntil)
}

// returnStalledQueue returns the queue of a target at which every request is
// overdue: queued work would wait at least as long, and as it has not been
// sent, another replica can run it without extra load. Work that comes back,
// because there is no other replica, waits until the target has replied.
func (e *Engine) returnStalledQueue(i int32) {
	t := &e.targets[i]
	if len(t.queue) > 0 && !t.stalled && e.now >= e.stallAt(t) {
		t.stalled = true
		e.returnQueue(i, model.KindTargetStalled)
	}
}

// stallAt is the time at which all requests in flight at a full target are
// overdue.
func (e *Engine) stallAt(t *target) time.Duration {
	if t.serviceTime == 0 || len(t.inFlight) < t.allowedInFlight() {
		return model.NoWake
	}
	var latest time.Duration
	for _, i := range t.inFlight {
		latest = max(latest, e.works.at(i).sentAt)
	}
	return latest + max(jumpFactor*t.serviceTime, jumpMinLatency)
}
