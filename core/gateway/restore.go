package gateway

import (
	"maps"
	"time"

	"galenadyke.dev/core/model"
)

// The store may come back from a copy that is some seconds old, which its era shows. What was
// written since is lost, revisions go back, and operators and targets write again what was
// lost. Until they have, what this instance knows is newer than the copy: evacuations and
// targets that the copy lacks are kept for a while, and its entries of targets that have left
// or have reported since are ignored. The configuration in force never goes back.

// restoreState is what this instance knows from before the store came back from a copy.
type restoreState struct {
	// evacuations are the evacuations from before that have not been read since. They end
	// at evacuationsUntil.
	evacuations      map[model.PlaceID]bool
	evacuationsUntil time.Duration
}

// storeRestored notes that the store has come back from an older copy.
func (g *Gateway) storeRestored(before, after StorePosition) {
	g.emit(Event{Name: "StoreRestored", Subject: "store", Before: before.String(), After: after.String(), Warning: true})
	// As after an outage, the entries of live targets may be missing for a moment.
	g.store.returnedAt = g.now
	maps.Copy(g.restore.evacuations, g.evacuated)
	g.restore.evacuationsUntil = g.now + evacuationGrace
	g.after(evacuationGrace, g.endLostEvacuations)
}

// evacuationRead applies an evacuation that the store has, or its end.
func (g *Gateway) evacuationRead(p model.PlaceID, isEvacuated bool) {
	delete(g.restore.evacuations, p)
	g.setEvacuated(p, isEvacuated)
}

// endLostEvacuations ends the evacuations that operators have not written again.
func (g *Gateway) endLostEvacuations() {
	switch {
	case g.now < g.restore.evacuationsUntil:
	case g.store.lost && len(g.restore.evacuations) > 0:
		g.after(evacuationGrace, g.endLostEvacuations)
	default:
		for _, p := range sortedKeys(g.restore.evacuations) {
			g.evacuationRead(p, false)
		}
	}
}
