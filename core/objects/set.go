package objects

import "time"

// MaxSetBytes is the size limit of the canonical form of a set, in bytes. The
// configuration service cannot hold a larger value.
const MaxSetBytes = 1 << 20

// Set is one complete configuration. In a set that has passed the check, all
// slices but the steps of orders are sorted by name, so that the canonical form
// does not depend on the order of the source files.
type Set struct {
	// Generation is the version that the operator gave the bundle, from 1 to
	// MaxGeneration. It is 0 in a set that does not come from a bundle.
	Generation uint64
	// Digest is the SHA-256 of the canonical form without the digest itself, in
	// lower-case hexadecimal. It is empty in a set that does not come from a
	// bundle.
	Digest string

	Places []Place
	Groups []TargetGroup
	Routes []Route
	Orders []Order
	Limits Limits

	// index is nil until the set has passed the check.
	index *index
}

// Place is a data centre.
type Place struct {
	Name   string
	Region string
}

// TargetGroup is a set of replicas that hold the same partitions.
type TargetGroup struct {
	Name string
	// Service is the name of the search service that the group belongs to.
	Service string
	// ConnectTime is the time that opening a connection to a target normally
	// takes.
	ConnectTime time.Duration
	// Targets is sorted by name.
	Targets []Target
}

// Target is one back-end server. Its name is unique in the set.
type Target struct {
	Name string
	// Address is an IP address and a port; host names are refused.
	Address string
	// Place is the name of the data centre that the target runs in.
	Place string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// Drain takes the target out of service: it gets no new work.
	Drain bool
}

// RouteKind is the way in which a route uses its groups.
type RouteKind string

// The kinds of route.
const (
	// RouteSearch asks one replica of every group and merges the answers.
	RouteSearch RouteKind = "search"
	// RouteBooking asks one target of the route's only group, at most once.
	RouteBooking RouteKind = "booking"
)

// Route directs calls to target groups.
type Route struct {
	Name string
	Kind RouteKind
	// Groups is the sorted list of group names. A booking route has exactly
	// one group.
	Groups []string
}

// StepAction is what one step of an order does.
type StepAction string

// The actions of a step.
const (
	StepLeave  StepAction = "leave"
	StepReturn StepAction = "return"
)

// Step takes a place out of service or brings it back.
type Step struct {
	Action StepAction
	Place  string
}

// Order is a sequence of steps in which places leave and return to service.
type Order struct {
	Name  string
	Steps []Step
	// InForce is the number of steps in force, counted from the first step.
	InForce int
}

// IsPlaceOutOfService reports whether the place is out of service, that is whether
// its last step in force is a leave.
func (s *Set) IsPlaceOutOfService(place string) bool {
	if idx := s.ownIndex(); idx != nil {
		return idx.outOfService[place]
	}
	out := false
	for i := range s.Orders {
		order := &s.Orders[i]
		for _, step := range order.Steps[:min(max(order.InForce, 0), len(order.Steps))] {
			if step.Place == place {
				out = step.Action == StepLeave
			}
		}
	}
	return out
}

// Newer reports whether s comes after other in the total order of sets: by
// generation and, for equal generations, by digest. Every set is newer than
// nil.
func (s *Set) Newer(other *Set) bool {
	if s == nil || other == nil {
		return s != nil
	}
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Digest > other.Digest
}
