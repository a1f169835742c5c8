package fleet

import (
	"slices"

	"galenadyke.dev/core/view"
)

// gateReturns queues places that one set brings back, so that each gets work
// only after the place before it has warmed up.
func (f *Fleet) gateReturns(places []*place) {
	fresh := len(f.gate) == 0
	if fresh && len(places) < 2 {
		return
	}
	for _, p := range places {
		if !slices.Contains(f.gate, p) {
			f.gate = append(f.gate, p)
			f.setGated(p, true)
		}
	}
	if fresh {
		f.admit()
	}
}

// admit gives work to the first place of the queue.
func (f *Fleet) admit() {
	p := f.gate[0]
	f.gate = f.gate[1:]
	f.gateFront, f.gateSince = p, f.now
	f.setGated(p, false)
	f.event("PlaceAdmitted", string(p.id), "waiting", "admitted")
	if len(f.gate) > 0 {
		f.after(view.ReturnGateTimeout, timer{kind: timerCheck})
	}
}

// openGate admits the next place if the one before it is warm, has had its
// time, or left again.
func (f *Fleet) openGate() {
	for len(f.gate) > 0 && f.gateDone() {
		f.admit()
	}
	if len(f.gate) == 0 {
		f.gateFront = nil
	}
}

func (f *Fleet) gateDone() bool {
	p := f.gateFront
	return p == nil || p.out || f.now-f.gateSince >= view.ReturnGateTimeout || 100*p.warm >= gatePart*p.total
}

func (f *Fleet) setGated(p *place, gated bool) {
	if p.gated != gated {
		p.gated = gated
		f.touchPlace(p)
	}
}

// countWarm keeps the number of targets of a place that have reached half of
// their slots.
func (f *Fleet) countWarm(t *target) {
	warm := !t.drain && t.known && 2*t.state.Level >= t.slots
	if warm != t.warm {
		t.warm = warm
		t.place.warm += change(!warm, warm)
	}
}
