package objects

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ChangeAction tells what happened to an object between two sets.
type ChangeAction string

// The actions of a change.
const (
	ChangeAdded   ChangeAction = "added"
	ChangeRemoved ChangeAction = "removed"
	ChangeChanged ChangeAction = "changed"
)

// Change is one difference between two sets. Targets count as objects of
// their own with the kind "target", so that a change of one target in a group
// is one change.
type Change struct {
	Action ChangeAction `json:"action"`
	Kind   Kind         `json:"kind"`
	Name   string       `json:"name"`
	// Field is empty for an added or removed object.
	Field string `json:"field,omitempty"`
	// Before and After are the values of the field, or all fields of the
	// object; the one that does not exist is empty.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the changes from a to b, sorted by kind and name. A nil set is
// empty. Generation and digest are not compared.
func Diff(a, b *Set) []Change {
	before, after := flatten(a), flatten(b)
	var changes []Change
	for len(before) > 0 || len(after) > 0 {
		switch order := compareHeads(before, after); {
		case order < 0:
			changes = append(changes, before[0].whole(ChangeRemoved))
			before = before[1:]
		case order > 0:
			changes = append(changes, after[0].whole(ChangeAdded))
			after = after[1:]
		default:
			changes = append(changes, before[0].changes(after[0])...)
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

// flatObject is an object as a list of named values.
type flatObject struct {
	kind   Kind
	name   string
	fields []flatField
}

type flatField struct{ name, value string }

func compareObjects(a, b flatObject) int {
	return cmp.Or(strings.Compare(string(a.kind), string(b.kind)), strings.Compare(a.name, b.name))
}

// compareHeads compares the first objects of two lists; the end of a list
// comes after every object.
func compareHeads(a, b []flatObject) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return compareObjects(a[0], b[0])
	}
}

func (o flatObject) whole(action ChangeAction) Change {
	texts := make([]string, len(o.fields))
	for i, f := range o.fields {
		texts[i] = f.name + "=" + f.value
	}
	c := Change{Action: action, Kind: o.kind, Name: o.name}
	if action == ChangeAdded {
		c.After = strings.Join(texts, " ")
	} else {
		c.Before = strings.Join(texts, " ")
	}
	return c
}

// changes returns the fields whose values differ: those of o in its order,
// then those that only other has.
func (o flatObject) changes(other flatObject) []Change {
	var changes []Change
	add := func(field, before, after string) {
		if before != after {
			changes = append(changes, Change{
				Action: ChangeChanged, Kind: o.kind, Name: o.name, Field: field, Before: before, After: after,
			})
		}
	}
	for _, f := range o.fields {
		value, _ := other.value(f.name)
		add(f.name, f.value, value)
	}
	for _, f := range other.fields {
		if _, ok := o.value(f.name); !ok {
			add(f.name, "", f.value)
		}
	}
	return changes
}

func (o flatObject) value(field string) (string, bool) {
	for _, f := range o.fields {
		if f.name == field {
			return f.value, true
		}
	}
	return "", false
}

// flatten returns all objects of the set, sorted by kind and name.
func flatten(s *Set) []flatObject {
	if s == nil {
		return nil
	}
	objects := []flatObject{flattenLimits(&s.Limits)}
	for _, p := range s.Places {
		objects = append(objects, flatObject{KindPlace, p.Name, []flatField{{"region", p.Region}}})
	}
	for i := range s.Groups {
		objects = append(objects, flattenGroup(&s.Groups[i])...)
	}
	for _, r := range s.Routes {
		o := flatObject{KindRoute, r.Name, []flatField{{"type", string(r.Kind)}}}
		for _, g := range r.Groups {
			o.fields = append(o.fields, flatField{"groups[" + g + "]", g})
		}
		objects = append(objects, o)
	}
	for _, order := range s.Orders {
		o := flatObject{KindOrder, order.Name, []flatField{{"in_force", strconv.Itoa(order.InForce)}}}
		for i, step := range order.Steps {
			o.fields = append(o.fields, flatField{fmt.Sprintf("steps[%d]", i), string(step.Action) + " " + step.Place})
		}
		objects = append(objects, o)
	}
	slices.SortStableFunc(objects, compareObjects)
	return objects
}

func flattenGroup(g *TargetGroup) []flatObject {
	objects := []flatObject{{KindGroup, g.Name, []flatField{
		{"service", g.Service}, {"connect_time", g.ConnectTime.String()},
	}}}
	for _, t := range g.Targets {
		objects = append(objects, flatObject{kindTarget, t.Name, []flatField{
			{"group", g.Name}, {"address", t.Address}, {"place", t.Place},
			{"slots", strconv.Itoa(t.Slots)}, {"connections", strconv.Itoa(t.Connections)},
			{"drain", strconv.FormatBool(t.Drain)},
		}})
	}
	return objects
}

func flattenLimits(l *Limits) flatObject {
	share := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	return flatObject{KindLimits, l.Name, []flatField{
		{"max_budget", l.MaxBudget.String()},
		{"max_body_bytes", strconv.Itoa(l.MaxBodyBytes)},
		{"max_in_flight", strconv.Itoa(l.MaxInFlight)},
		{"hedge_share", share(l.HedgeShare)},
		{"retry_share", share(l.RetryShare)},
		{"hedge_floor", l.HedgeFloor.String()},
		{"answer_reserve", share(l.AnswerReserve)},
		{"answer_reserve_floor", l.AnswerReserveFloor.String()},
		{"warm_step", strconv.Itoa(l.WarmStep)},
		{"reservation_ttl", l.ReservationTTL.String()},
	}}
}
