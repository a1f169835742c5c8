package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// cancelSettleTime is how long a slot still counts as occupied after its work was
// cancelled or timed out without an answer from the target. The target learns of a
// cancellation one link delay later, up to 4.5 ms between data centres, and new
// work on another connection may overtake the cancellation.
const cancelSettleTime = 10 * time.Millisecond

// occupiedSlots returns the number of slots that this lead's work may occupy at
// the target. It also removes from settlingUntil the slots that have become free.
func (t *target) occupiedSlots(now time.Duration) int {
	n := 0
	for n < len(t.settlingUntil) && t.settlingUntil[n] <= now {
		n++
	}
	t.settlingUntil = append(t.settlingUntil[:0], t.settlingUntil[n:]...)
	return len(t.inFlight) + len(t.settlingUntil)
}

// returnStalledQueue returns the queue of a stalled target, that is, a target at
// which every request in flight is overdue. Queued work would be delayed at least
// as long as these requests, and another replica can run it without extra load,
// because it has not been sent. Work that is queued here again, because there is no
// other replica, waits until the target has replied.
func (e *Engine) returnStalledQueue(i int32) {
	t := &e.targets[i]
	if len(t.queue) > 0 && !t.stalled && e.now >= e.stallAt(t) {
		t.stalled = true
		e.returnQueue(i, model.KindTargetStalled)
	}
}

// stallAt returns the time at which all requests in flight are overdue. A request
// is overdue if it takes longer than both jumpFactor times the average latency and
// jumpMinLatency. stallAt returns model.NoWake if the target has free slots or its
// latency is not known.
func (e *Engine) stallAt(t *target) time.Duration {
	if t.serviceTime == 0 || len(t.inFlight) < t.allowedInFlight() {
		return model.NoWake
	}
	var lastSentAt time.Duration
	for _, i := range t.inFlight {
		lastSentAt = max(lastSentAt, e.works.at(i).sentAt)
	}
	return lastSentAt + max(jumpFactor*t.serviceTime, jumpMinLatency)
}
