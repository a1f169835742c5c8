package query

import "galenadyke.dev/core/view"

// stopState is the progress of a graceful stop in the data plane.
type stopState struct {
	handedOver bool // the booking ids were handed over to the successor
}

// refusesCalls reports whether new calls are refused because of a graceful stop.
// View.Stopping becomes true only after the balancer delay.
func (e *Engine) refusesCalls() bool { return e.stop.handedOver || e.view.Stopping() }

// runStop hands the booking ids over once nothing is in progress.
func (e *Engine) runStop() {
	if e.view.Stopping() && !e.stop.handedOver && !e.isBusy() {
		e.stop.handedOver = true
		e.handOverBookings()
	}
}

// isBusy reports whether calls, work or bookings are in progress.
func (e *Engine) isBusy() bool {
	return e.calls.count > 0 || e.works.count > 0 || e.ledger.running > 0
}

// isIdle reports whether no work is in progress and, during a stop, the booking
// ids have been handed over.
func (e *Engine) isIdle() bool {
	return !e.isBusy() && (!e.view.Stopping() || e.stop.handedOver)
}

func newDrained(t *target) view.DrainedTarget {
	return view.DrainedTarget{Target: t.id, Incarnation: t.incarnation, Level: t.level}
}

// handleReadinessChange has all queued work returned if work may no longer be
// sent.
func (e *Engine) handleReadinessChange() {
	if e.maySend() {
		return
	}
	for i := range e.targets {
		if len(e.targets[i].queue) > 0 {
			e.markTargetDirty(int32(i))
		}
	}
}
