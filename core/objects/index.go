package objects

import (
	"reflect"
	"slices"
	"strings"
)

// index finds the objects of a set by name. It is built once, when the set
// passes the check, and is never changed. Its maps are never iterated over, so
// that map order cannot influence a result.
type index struct {
	// owner is the set that the index was built for. A copy of that set must
	// not use the index, because the copy may be changed.
	owner        *Set
	places       map[string]*Place
	groups       map[string]*TargetGroup
	routes       map[string]*Route
	targets      map[string]targetEntry
	outOfService map[string]bool // by name of the place
}

type targetEntry struct {
	target *Target
	group  *TargetGroup
}

// ownIndex returns the index that was built for this set. It returns nil if the
// set has not passed the check or is a copy of a set that has.
func (s *Set) ownIndex() *index {
	if s.index == nil || s.index.owner != s {
		return nil
	}
	return s.index
}

// sortAndIndex puts the lists of the set in canonical order and builds its
// index. It is called when the set has passed the check.
func (s *Set) sortAndIndex() {
	s.sort()
	idx := &index{
		owner:        s,
		places:       make(map[string]*Place, len(s.Places)),
		groups:       make(map[string]*TargetGroup, len(s.Groups)),
		routes:       make(map[string]*Route, len(s.Routes)),
		targets:      map[string]targetEntry{},
		outOfService: map[string]bool{},
	}
	s.index = nil
	for i := range s.Places {
		p := &s.Places[i]
		idx.places[p.Name] = p
		if s.IsPlaceOutOfService(p.Name) {
			idx.outOfService[p.Name] = true
		}
	}
	for i := range s.Groups {
		g := &s.Groups[i]
		idx.groups[g.Name] = g
		for j := range g.Targets {
			idx.targets[g.Targets[j].Name] = targetEntry{target: &g.Targets[j], group: g}
		}
	}
	for i := range s.Routes {
		idx.routes[s.Routes[i].Name] = &s.Routes[i]
	}
	s.index = idx
}

// sort sorts every list by name, except the steps of orders, whose sequence
// matters.
func (s *Set) sort() {
	slices.SortFunc(s.Places, func(a, b Place) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Groups, func(a, b TargetGroup) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Orders, func(a, b Order) int { return strings.Compare(a.Name, b.Name) })
	for i := range s.Groups {
		slices.SortFunc(s.Groups[i].Targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	}
	for i := range s.Routes {
		slices.Sort(s.Routes[i].Groups)
	}
}

// clone returns a deep copy without an index.
func (s *Set) clone() *Set {
	c := *s
	c.index = nil
	c.Places = slices.Clone(s.Places)
	c.Groups = slices.Clone(s.Groups)
	c.Routes = slices.Clone(s.Routes)
	c.Orders = slices.Clone(s.Orders)
	for i := range c.Groups {
		c.Groups[i].Targets = slices.Clone(c.Groups[i].Targets)
	}
	for i := range c.Routes {
		c.Routes[i].Groups = slices.Clone(c.Routes[i].Groups)
	}
	for i := range c.Orders {
		c.Orders[i].Steps = slices.Clone(c.Orders[i].Steps)
	}
	return &c
}

// Place returns the named place, or nil. The result must not be changed.
//
// Place, Group, Route and Target take constant time on a set that has passed
// the check; in any other set they scan the lists.
func (s *Set) Place(name string) *Place {
	if idx := s.ownIndex(); idx != nil {
		return idx.places[name]
	}
	for i := range s.Places {
		if s.Places[i].Name == name {
			return &s.Places[i]
		}
	}
	return nil
}

// Group returns the named target group, or nil. The result must not be changed.
func (s *Set) Group(name string) *TargetGroup {
	if idx := s.ownIndex(); idx != nil {
		return idx.groups[name]
	}
	for i := range s.Groups {
		if s.Groups[i].Name == name {
			return &s.Groups[i]
		}
	}
	return nil
}

// Route returns the named route, or nil. The result must not be changed.
func (s *Set) Route(name string) *Route {
	if idx := s.ownIndex(); idx != nil {
		return idx.routes[name]
	}
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// Target returns the named target and its group, or nil for both. The results
// must not be changed.
func (s *Set) Target(name string) (*Target, *TargetGroup) {
	if idx := s.ownIndex(); idx != nil {
		e := idx.targets[name]
		return e.target, e.group
	}
	for i := range s.Groups {
		g := &s.Groups[i]
		for j := range g.Targets {
			if g.Targets[j].Name == name {
				return &g.Targets[j], g
			}
		}
	}
	return nil, nil
}

// InService reports whether the target may get new work: it is not set to drain
// and its place is not out of service.
func (s *Set) InService(t *Target) bool { return !t.Drain && !s.IsPlaceOutOfService(t.Place) }

// Equal reports whether all exported fields of both sets are equal. Two nil
// sets are equal.
func (s *Set) Equal(other *Set) bool {
	if s == nil || other == nil {
		return s == other
	}
	a, b := *s, *other
	a.index, b.index = nil, nil
	return reflect.DeepEqual(a, b)
}
