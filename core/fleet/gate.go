package fleet

import (
	"slices"

	"galenadyke.dev/core/view"
)

// queueReturns queues places that a set returns to service, so that each is
// admitted only after the previously admitted place has warmed up. A single place
// is admitted at once unless other places are waiting.
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

// admitNextPlace admits the first place of the queue, whose targets may then get
// work.
func (f *Fleet) admitNextPlace() {
	p := f.returnQueue[0]
	f.returnQueue = f.returnQueue[1:]
	f.lastAdmitted, f.lastAdmittedAt = p, f.now
	f.setAwaitsAdmission(p, false)
	f.emitEvent("PlaceAdmitted", string(p.id), "waiting", "admitted")
	if len(f.returnQueue) > 0 {
		f.startTimer(view.ReturnGateTimeout, timer{kind: timerCheck})
	}
}

// admitReturnedPlaces admits the next place if the previously admitted place is
// warm, was admitted at least view.ReturnGateTimeout ago, or is out of service
// again.
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

// countWarm updates whether a target counts as warm in its place, that is, whether
// it is not drained and its warm-up level is at least half of its slots.
func (f *Fleet) countWarm(t *target) {
	warm := !t.drain && t.known && 2*t.state.Level >= t.slots
	if warm != t.warm {
		t.warm = warm
		t.place.warmCount += countDelta(!warm, warm)
	}
}
