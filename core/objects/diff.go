package objects

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ChangeAction is the way in which an object differs between two sets.
type ChangeAction string

// The actions of a change.
const (
	ChangeAdded   ChangeAction = "added"
	ChangeRemoved ChangeAction = "removed"
	ChangeChanged ChangeAction = "changed"
)

// Change is one difference between two sets: an added or removed object, or a
// changed field. Targets count as objects of the kind "target" and not as fields
// of their group, so that a change shows which target it is about.
type Change struct {
	Action ChangeAction `json:"action"`
	Kind   Kind         `json:"kind"`
	Name   string       `json:"name"`
	// Field is empty for an added or removed object.
	Field string `json:"field,omitempty"`
	// Before and After are the values of the field, or all fields of an added
	// or removed object. A value that does not exist is empty.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the changes from a to b, sorted by kind and name. A nil set has no
// objects. Generation and digest are not compared.
func Diff(a, b *Set) []Change {
	before, after := flattenSet(a), flattenSet(b)
	var changes []Change
	for len(before) > 0 || len(after) > 0 {
		switch c := compareFirst(before, after); {
		case c < 0:
			changes = append(changes, before[0].asChange(ChangeRemoved))
			before = before[1:]
		case c > 0:
			changes = append(changes, after[0].asChange(ChangeAdded))
			after = after[1:]
		default:
			changes = append(changes, before[0].fieldChanges(after[0])...)
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

// flatObject is an object as a list of named values in text form.
type flatObject struct {
	kind   Kind
	name   string
	fields []flatField
}

type flatField struct{ name, value string }

func compareObjects(a, b flatObject) int {
	return cmp.Or(strings.Compare(string(a.kind), string(b.kind)), strings.Compare(a.name, b.name))
}

// compareFirst compares the first objects of two lists. An empty list compares
// as greater than a list with objects.
func compareFirst(a, b []flatObject) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return compareObjects(a[0], b[0])
	}
}

// asChange returns the change that adds or removes the whole object.
func (o flatObject) asChange(action ChangeAction) Change {
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

// fieldChanges returns the changes of fields from o to other: first those of the
// fields of o in its order, then those of the fields that only other has.
func (o flatObject) fieldChanges(other flatObject) []Change {
	var changes []Change
	add := func(field, before, after string) {
		if before != after {
			changes = append(changes, Change{
				Action: ChangeChanged, Kind: o.kind, Name: o.name, Field: field, Before: before, After: after,
			})
		}
	}
	for _, f := range o.fields {
		value, _ := other.fieldValue(f.name)
		add(f.name, f.value, value)
	}
	for _, f := range other.fields {
		if _, ok := o.fieldValue(f.name); !ok {
			add(f.name, "", f.value)
		}
	}
	return changes
}

func (o flatObject) fieldValue(field string) (string, bool) {
	for _, f := range o.fields {
		if f.name == field {
			return f.value, true
		}
	}
	return "", false
}

// flattenSet returns all objects of the set, sorted by kind and name.
func flattenSet(s *Set) []flatObject {
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
	formatShare := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	return flatObject{KindLimits, l.Name, []flatField{
		{"max_budget", l.MaxBudget.String()},
		{"max_body_bytes", strconv.Itoa(l.MaxBodyBytes)},
		{"max_in_flight", strconv.Itoa(l.MaxInFlight)},
		{"hedge_share", formatShare(l.HedgeShare)},
		{"retry_share", formatShare(l.RetryShare)},
		{"hedge_floor", l.HedgeFloor.String()},
		{"answer_reserve", formatShare(l.AnswerReserve)},
		{"answer_reserve_floor", l.AnswerReserveFloor.String()},
		{"warm_step", strconv.Itoa(l.WarmStep)},
		{"reservation_ttl", l.ReservationTTL.String()},
	}}
}
