package query

import "galenadyke.dev/core/view"

// stop is the progress of a graceful stop on the side of the data plane.
type stop struct {
	handed bool // the booking ids
}

// refusing reports whether new calls are refused because of a stop. The
// control plane has let the balancer delay pass before.
func (e *Engine) refusing() bool { return e.stop.handed || e.view.Stopping() }

// runStop hands the booking ids over once nothing is in progress.
func (e *Engine) runStop() {
	if e.view.Stopping() && !e.stop.handed && !e.busy() {
		e.stop.handed = true
		e.handOver()
	}
}

func (e *Engine) busy() bool {
	return e.calls.count > 0 || e.works.count > 0 || e.bookings.running > 0
}

// idle reports whether nothing is in progress and, when stopping, the booking
// ids have been handed over.
func (e *Engine) idle() bool {
	return !e.busy() && (!e.view.Stopping() || e.stop.handed)
}

func viewDrained(t *target) view.Drained {
	return view.Drained{Target: t.id, Incarnation: t.incarnation, Level: t.level}
}

// readinessChanged gives queued work back when nothing may be sent any more.
func (e *Engine) readinessChanged() {
	if e.maySend() {
		return
	}
	for i := range e.targets {
		if len(e.targets[i].queue) > 0 {
			e.markTarget(int32(i))
		}
	}
}
