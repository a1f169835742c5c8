package fleet

import (
	"slices"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/rank"
)

// loadSet replaces the tables of targets and groups by those of the set in
// force. A target that was in the old set too keeps its lead and state.
func (f *Fleet) loadSet(old *objects.Set) {
	oldGroups := f.groups
	f.groups = make([]*group, 0, len(f.set.Groups))
	f.dirtyGroups = f.dirtyGroups[:0]
	for _, p := range f.placeList {
		p.targets, p.warmCount, p.undrainedCount = nil, 0, 0
	}
	kept := make(map[model.TargetID]*target, len(f.byTarget))
	for i := range f.set.Groups {
		f.groups = append(f.groups, f.loadGroup(&f.set.Groups[i], kept))
	}
	for _, g := range oldGroups {
		for _, t := range g.targets {
			if kept[t.id] != t {
				f.removeTarget(t)
			}
		}
	}
	f.byTarget = kept
	f.loadPlaces(old)
}

func (f *Fleet) loadGroup(published *objects.TargetGroup, kept map[model.TargetID]*target) *group {
	g := &group{id: model.GroupID(published.Name)}
	for i := range published.Targets {
		p := &published.Targets[i]
		t := f.byTarget[model.TargetID(p.Name)]
		if t == nil {
			t = &target{id: model.TargetID(p.Name), hash: rank.Hash(p.Name)}
			f.markTargetChanged(t)
		}
		kept[t.id] = t
		f.loadTarget(t, p)
		t.group = g
		g.targets = append(g.targets, t)
	}
	// Leads are computed again for every group, because a set arrives only a
	// few hundred times a day. An unchanged group keeps its leads.
	f.markGroupDirty(g)
	return g
}

func (f *Fleet) loadTarget(t *target, p *objects.Target) {
	if t.address != p.Address && t.address != "" {
		// Another address means another process, for which the known state does
		// not hold.
		f.unlinkPublication(t)
		t.known, t.state, t.localLevel = false, model.TargetState{}, 0
		f.markTargetChanged(t)
	}
	if t.drain != p.Drain || t.slots != p.Slots {
		f.markTargetChanged(t)
	}
	if t.drain != p.Drain {
		f.emitEvent("TargetDrainSet", string(t.id), formatBool(t.drain), formatBool(p.Drain))
	}
	t.address, t.slots, t.drain = p.Address, p.Slots, p.Drain
	if place := f.findOrAddPlace(model.PlaceID(p.Place)); place != t.place {
		t.place = place
		f.markTargetChanged(t)
	}
	t.place.targets = append(t.place.targets, t)
	t.warm = false
	if !t.drain {
		t.place.undrainedCount++
		f.countWarm(t)
	}
}

func (f *Fleet) removeTarget(t *target) {
	t.removed = true
	t.leadState = leadNone
	f.unlinkLead(t)
	f.unlinkPublication(t)
	f.setWeakLead(t, false)
	f.markTargetChanged(t)
}

// loadPlaces applies the orders of the set to the places, and queues places
// that return to service for admission.
func (f *Fleet) loadPlaces(old *objects.Set) {
	for _, p := range f.placeList {
		out := f.set.IsPlaceOutOfService(string(p.id))
		if out == p.out {
			continue
		}
		p.out = out
		f.emitEvent("PlaceOut", string(p.id), formatBool(!out), formatBool(out))
		f.markPlaceChanged(p)
	}
	if old == nil {
		// The first set does not tell when its places returned to service. All
		// places count as admitted.
		return
	}
	f.returnQueue = slices.DeleteFunc(f.returnQueue, func(p *place) bool {
		if p.out {
			f.setAwaitsAdmission(p, false)
		}
		return p.out
	})
	f.queueReturns(f.returnedPlaces(old))
}

// returnedPlaces lists the places that were out of service in the old set and
// are not in the present set, in the order of their last return steps.
func (f *Fleet) returnedPlaces(old *objects.Set) []*place {
	var list []*place
	for i := range f.set.Orders {
		o := &f.set.Orders[i]
		for _, step := range o.Steps[:o.InForce] {
			if step.Action != objects.StepReturn || f.set.IsPlaceOutOfService(step.Place) || !old.IsPlaceOutOfService(step.Place) {
				continue
			}
			p := f.findOrAddPlace(model.PlaceID(step.Place))
			list = slices.DeleteFunc(list, func(q *place) bool { return q == p })
			list = append(list, p)
		}
	}
	return list
}

func (f *Fleet) markPlaceChanged(p *place) {
	for _, t := range p.targets {
		f.markTargetChanged(t)
	}
}
