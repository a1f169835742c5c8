package objects

import "time"

// MaxSetBytes is the largest canonical set that the configuration service can
// hold, in bytes.
const MaxSetBytes = 1 << 20

// Set is one complete configuration. Slices are sorted by name, so that the
// canonical form does not depend on the order of the source files.
type Set struct {
	// Generation is set by the operator's bundle and starts at 1.
	Generation uint64
	// Digest is the lower-case hexadecimal SHA-256 of the canonical form.
	Digest string

	Places []Place
	Groups []TargetGroup
	Routes []Route
	Orders []Order
	Limits Limits

	// index is built when the set passes the check.
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
	// ConnectTime is the usual time to open a connection to a target.
	ConnectTime time.Duration
	// Targets is sorted by name.
	Targets []Target
}

// Target is one back end. Its name is unique in the set.
type Target struct {
	Name string
	// Address is an IP address and a port; host names are refused.
	Address string
	// Place is the name of the data centre that the target runs in.
	Place string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// Drain takes the target out of service: it gets no new work.
	Drain bool
}

// RouteKind tells how a route uses its groups.
type RouteKind string

// The kinds of route.
const (
	// RouteSearch asks one replica of every group and merges the answers.
	RouteSearch RouteKind = "search"
	// RouteBooking asks one target of its only group, at most once.
	RouteBooking RouteKind = "booking"
)

// Route leads calls to target groups.
type Route struct {
	Name string
	Kind RouteKind
	// Groups is the sorted list of group names; a booking route has one.
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

// Order is the sequence in which places leave and return.
type Order struct {
	Name  string
	Steps []Step
	// InForce is the number of steps, from the first on, that are in force.
	InForce int
}

// PlaceOut reports whether the steps in force take the place out of service.
func (s *Set) PlaceOut(place string) bool {
	if x := s.ownIndex(); x != nil {
		return x.out[place]
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

// Newer reports whether s comes after other in the total order of sets:
// higher generation first, then higher digest. Every set is newer than nil.
func (s *Set) Newer(other *Set) bool {
	if s == nil || other == nil {
		return s != nil
	}
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Digest > other.Digest
}
