package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// cancelSettleTime is the time for which work that ended without the target's
// answer still occupies its slot. The target learns of a cancellation one link
// delay later, up to 4.5 ms between data centres, and new work on another
// connection may overtake the cancellation.
const cancelSettleTime = 10 * time.Millisecond

// occupiedSlots returns the number of slots that this lead's work may occupy at
// the target. It also drops the slots that have become free from settlingUntil.
func (t *target) occupiedSlots(now time.Duration) int {
	n := 0
	for n < len(t.settlingUntil) && t.settlingUntil[n] <= now {
		n++
	}
	t.settlingUntil = append(t.settlingUntil[:0], t.settlingUntil[n:]...)
	return len(t.inFlight) + len(t.settlingUntil)
}

// returnStalledQueue returns the queue of a target at which every request in
// flight is overdue. Queued work would wait at least as long, and another replica
// can run it without extra load, as it has not been sent. Work that is queued
// again, because there is no other replica, waits until the target has replied.
func (e *Engine) returnStalledQueue(i int32) {
	t := &e.targets[i]
	if len(t.queue) > 0 && !t.stalled && e.now >= e.stallAt(t) {
		t.stalled = true
		e.returnQueue(i, model.KindTargetStalled)
	}
}

// stallAt returns the time at which all requests in flight are overdue,
// model.NoWake if the target has free slots or its latency is not known.
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
