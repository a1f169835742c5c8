package fleet

import (
	"slices"

	"galenadyke.dev/core/view"
)

// gateReturns queues places that one set brings back, so that each gets work
// only after the place before it has warmed up.
func (f *Fleet) queueReturns(places []*place) {
	wasEmpty := len(f.returnQueue) == 0
	if wasEmpty && len(places) < 2 {
		return
	}
	for _, p := range places {
		if !slices.Contains(f.returnQueue, p) {
			f.returnQueue = append(f.returnQueue, p)
			f.setAwaitsAdmission(p, true)
		}
	}
	if wasEmpty {
		f.admitNextPlace()
	}
}

// admit gives work to the first place of the queue.
func (f *Fleet) admitNextPlace() {
	p := f.returnQueue[0]
	f.returnQueue = f.returnQueue[1:]
	f.lastAdmitted, f.lastAdmittedAt = p, f.now
	f.setAwaitsAdmission(p, false)
	f.event("PlaceAdmitted", string(p.id), "waiting", "admitted")
	if len(f.returnQueue) > 0 {
		f.startTimer(view.ReturnGateTimeout, timer{kind: timerCheck})
	}
}

// openGate admits the next place if the one before it is warm, has had its
// time, or left again.
func (f *Fleet) admitReturnedPlaces() {
	for len(f.returnQueue) > 0 && f.mayAdmitNext() {
		f.admitNextPlace()
	}
	if len(f.returnQueue) == 0 {
		f.lastAdmitted = nil
	}
}

func (f *Fleet) mayAdmitNext() bool {
	p := f.lastAdmitted
	return p == nil || p.out || f.now-f.lastAdmittedAt >= view.ReturnGateTimeout || 100*p.warmCount >= minWarmPercent*p.undrainedCount
}

func (f *Fleet) setAwaitsAdmission(p *place, awaits bool) {
	if p.awaitsAdmission != awaits {
		p.awaitsAdmission = awaits
		f.markPlaceChanged(p)
	}
}

// countWarm keeps the number of targets of a place that have reached half of
// their slots.
func (f *Fleet) countWarm(t *target) {
	warm := !t.drain && t.known && 2*t.state.Level >= t.slots
	if warm != t.warm {
		t.warm = warm
		t.place.warmCount += countDelta(!warm, warm)
	}
}
