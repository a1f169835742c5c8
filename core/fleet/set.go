package fleet

import (
	"slices"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/rank"
)

// loadSet replaces the tables of targets and groups. A target that stays keeps
// its lead and state.
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
	// The choice is computed again for every group: a set arrives a few
	// hundred times a day, and an unchanged group keeps its leads.
	f.markGroupDirty(g)
	return g
}

func (f *Fleet) loadTarget(t *target, p *objects.Target) {
	if t.address != p.Address && t.address != "" {
		// Another process: nothing that is known of the former one holds.
		f.unlinkPublication(t)
		t.known, t.state, t.localLevel = false, model.TargetState{}, 0
		f.markTargetChanged(t)
	}
	if t.drain != p.Drain || t.slots != p.Slots {
		f.markTargetChanged(t)
	}
	if t.drain != p.Drain {
		f.event("TargetDrainSet", string(t.id), formatBool(t.drain), formatBool(p.Drain))
	}
	t.address, t.slots, t.drain = p.Address, p.Slots, p.Drain
	if place := f.place(model.PlaceID(p.Place)); place != t.place {
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

// loadPlaces applies the orders and finds the places that return.
func (f *Fleet) loadPlaces(old *objects.Set) {
	for _, p := range f.placeList {
		out := f.set.PlaceOut(string(p.id))
		if out == p.out {
			continue
		}
		p.out = out
		f.event("PlaceOut", string(p.id), formatBool(!out), formatBool(out))
		f.markPlaceChanged(p)
	}
	if old == nil {
		// A set that is the first here says nothing about when its places
		// returned; they count as admitted.
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

// returned lists the places that a set brings back, in the order of their
// last return steps.
func (f *Fleet) returnedPlaces(old *objects.Set) []*place {
	var list []*place
	for i := range f.set.Orders {
		o := &f.set.Orders[i]
		for _, step := range o.Steps[:o.InForce] {
			if step.Action != objects.StepReturn || f.set.PlaceOut(step.Place) || !old.PlaceOut(step.Place) {
				continue
			}
			p := f.place(model.PlaceID(step.Place))
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
