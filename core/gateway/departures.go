package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// The store may do a write of a target seconds after it was sent, and after the target has
// left: the entry is back, although the target is about to end. The last report of a target
// that has left is therefore remembered. An entry that is not later is ignored, whatever the
// order of the store's changes.
//
// An instance that starts, or that missed changes, may find such an entry without knowing that
// the target has left. It asks other instances for the departures that they know.

// Departure is the news that a target has left. It names the last report of the target.
type Departure struct {
	Target          model.TargetID
	StartedAtMillis int64
	Report          int64
	Age             time.Duration // time since the target left
	// Leaving means that an answer of the target had stated that it was about to end.
	Leaving bool
}

// departure is a row of the table of departures.
type departure struct {
	// Target is the last report. Only its ID, StartedAtMillis and Report are set if it comes
	// from another instance.
	Target
	at time.Duration // when the target left
	// leaving means that an answer had stated that the target was about to end, so that no
	// report of the same start is later.
	leaving bool
	// ignored is the entry of the target that the store has nevertheless, since ignoredAt;
	// nil if it has none.
	ignored   *Target
	ignoredAt time.Duration
}

// entryRead applies the entry of a target, unless a later report of the target is known.
func (g *Gateway) entryRead(in Target) {
	if t := g.targets[in.ID]; t != nil && in.CompareReports(t.Target) < 0 {
		if t.era < g.store.position.Era {
			t.lapsedAt = 0 // the copy from which the store came back lists the target
		}
		return
	}
	if d := g.departures[in.ID]; d != nil && !d.supersededBy(in) {
		g.ignoreEntry(d, in)
		return
	}
	delete(g.departures, in.ID)
	g.upsertTarget(in)
}

// targetLeft removes a target whose entry was removed.
func (g *Gateway) targetLeft(t *target) {
	g.departures[t.ID] = &departure{Target: t.Target, at: g.now, leaving: t.leaving}
	g.removeTarget(t)
}

// supersededBy reports whether an entry shows that the target has registered again.
func (d *departure) supersededBy(entry Target) bool {
	if d.leaving {
		return entry.StartedAtMillis > d.StartedAtMillis
	}
	return entry.CompareReports(d.Target) > 0
}

// ignoreEntry notes that the store lists a target that has left. If the target is alive after
// all, it renews the entry, which may show no change but keeps it in the store.
func (g *Gateway) ignoreEntry(d *departure, entry Target) {
	if d.ignored == nil {
		g.emit(Event{Name: "EntryIgnored", Subject: string(d.ID), Before: fmt.Sprintf("left with report %d", d.Report),
			After: fmt.Sprintf("listed with report %d", entry.Report)})
	}
	d.ignored, d.ignoredAt = &entry, g.now
	g.after(unrenewedEntryTime, func() { g.useIgnoredEntry(d) })
}

// useIgnoredEntry uses an entry that was ignored, once it has been in the store for longer than
// an entry that is not renewed. Time in which entries may not have lapsed does not count.
func (g *Gateway) useIgnoredEntry(d *departure) {
	switch {
	case g.departures[d.ID] != d || d.ignored == nil || d.leaving || g.now < d.ignoredAt+unrenewedEntryTime:
	case g.store.lost || g.store.returnedWithin(g.now, unrenewedEntryTime):
		g.after(unrenewedEntryTime, func() { g.useIgnoredEntry(d) })
	default:
		delete(g.departures, d.ID)
		g.upsertTarget(*d.ignored)
		g.dispatchAll()
	}
}

// forgetDepartures removes the departures that are older than any late write or copy of the
// store.
func (g *Gateway) forgetDepartures() {
	for id, d := range g.departures {
		if g.now-d.at > departureMemory && (d.ignored == nil || d.leaving) {
			delete(g.departures, id)
		}
	}
}

// sendDepartures sends the departures that this instance knows, the latest first.
func (g *Gateway) sendDepartures(to string) {
	var known []*departure
	for _, id := range sortedKeys(g.departures) {
		if d := g.departures[id]; g.now-d.at <= departureMemory {
			known = append(known, d)
		}
	}
	slices.SortStableFunc(known, func(a, b *departure) int { return cmp.Compare(b.at, a.at) })
	known = known[:min(len(known), maxSentDepartures)]
	for len(known) > 0 {
		message := StateMessage{Sender: g.self()}
		bytes := 0
		for len(known) > 0 && (bytes == 0 || bytes+len(known[0].ID)+departureBytes <= maxDeparturesBytes) {
			d := known[0]
			known = known[1:]
			bytes += len(d.ID) + departureBytes
			message.Departures = append(message.Departures, Departure{Target: d.ID, StartedAtMillis: d.StartedAtMillis, Report: d.Report,
				Age: g.now - d.at, Leaving: d.leaving})
		}
		g.emit(SendState{To: to, State: message})
	}
}

// receiveDepartures learns of departures from another instance. A target that is in use by a
// report that is not later than its last one is no longer used.
func (g *Gateway) receiveDepartures(news []Departure) {
	for _, n := range news {
		if n.Target == "" || n.Age < 0 || n.Age > departureMemory {
			continue
		}
		last := Target{ID: n.Target, StartedAtMillis: n.StartedAtMillis, Report: n.Report}
		learned := &departure{Target: last, at: g.now - n.Age, leaving: n.Leaving}
		t, d := g.targets[n.Target], g.departures[n.Target]
		switch {
		case t != nil && learned.supersededBy(t.Target):
		case d == nil && t == nil && len(g.departures) >= maxDepartures:
		case d == nil:
			g.departures[learned.ID] = learned
			if t != nil {
				g.removeTarget(t)
				g.ignoreEntry(learned, t.Target)
			}
		case last.CompareReports(d.Target) > 0:
			d.Target, d.at, d.leaving = last, max(d.at, learned.at), n.Leaving
		case last.StartedAtMillis == d.StartedAtMillis:
			d.leaving = d.leaving || n.Leaving
		}
	}
}
