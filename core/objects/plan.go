package objects

// PlanStep is the effect of one step of an order on every route, while the other
// orders stay at their steps in force.
type PlanStep struct {
	Order string `json:"order"`
	// Number counts the steps of the order from 1.
	Number int        `json:"number"`
	Action StepAction `json:"action"`
	Place  string     `json:"place"`
	// InForce reports whether the step is in force in this set.
	InForce bool `json:"in_force"`
	// Routes is in the order of the set's routes.
	Routes []RouteEffect `json:"routes"`
}

// RouteEffect compares one route before and after a step.
type RouteEffect struct {
	Route  string        `json:"route"`
	Type   RouteKind     `json:"type"`
	Before RouteCapacity `json:"before"`
	After  RouteCapacity `json:"after"`
}

// RouteCapacity is the capacity that a route has in service.
type RouteCapacity struct {
	// Targets, Slots and Connections are sums over the targets in service.
	Targets     int `json:"targets"`
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Single and Lost are the names of the groups with exactly one and with no
	// target in service.
	Single []string `json:"single,omitempty"`
	Lost   []string `json:"lost,omitempty"`
	// Coverage is the share of groups with a target in service, 0 to 1. It is
	// an upper bound of the coverage of an answer if every group holds an equal
	// part of the index.
	Coverage float64 `json:"coverage"`
}

// Plan returns the effect of every step of every order, order by order as the set
// lists them. The set must have passed the check and is not changed.
func Plan(set *Set) []PlanStep {
	var steps []PlanStep
	for i := range set.Orders {
		steps = append(steps, planOrder(set, i)...)
	}
	return steps
}

// planOrder returns the effect of each step of the order with the given index.
func planOrder(set *Set, order int) []PlanStep {
	// The copy shares all lists of the set but Orders. As a copy it does not use
	// the index of the set, which holds the places out of service by the original
	// orders.
	simulated := *set
	simulated.Orders = append([]Order(nil), set.Orders...)
	o := &simulated.Orders[order]
	o.InForce = 0
	steps := make([]PlanStep, len(o.Steps))
	before := capacities(&simulated)
	for i, step := range o.Steps {
		o.InForce = i + 1
		after := capacities(&simulated)
		steps[i] = PlanStep{
			Order: o.Name, Number: i + 1, Action: step.Action, Place: step.Place,
			InForce: i < set.Orders[order].InForce,
			Routes:  make([]RouteEffect, len(set.Routes)),
		}
		for j := range set.Routes {
			steps[i].Routes[j] = RouteEffect{
				Route: set.Routes[j].Name, Type: set.Routes[j].Kind, Before: before[j], After: after[j],
			}
		}
		before = after
	}
	return steps
}

// capacities returns the capacity of each route, in the order of set.Routes.
func capacities(set *Set) []RouteCapacity {
	groups := make(map[string]*TargetGroup, len(set.Groups))
	for i := range set.Groups {
		groups[set.Groups[i].Name] = &set.Groups[i]
	}
	outOfService := make(map[string]bool, len(set.Places))
	for _, p := range set.Places {
		outOfService[p.Name] = set.IsPlaceOutOfService(p.Name)
	}
	result := make([]RouteCapacity, len(set.Routes))
	for i := range set.Routes {
		c := &result[i]
		for _, name := range set.Routes[i].Groups {
			c.addGroup(groups[name], outOfService)
		}
		total := len(set.Routes[i].Groups)
		c.Coverage = float64(total-len(c.Lost)) / float64(total)
	}
	return result
}

// addGroup adds the targets of one group that are in service.
func (c *RouteCapacity) addGroup(g *TargetGroup, outOfService map[string]bool) {
	inService := 0
	for i := range g.Targets {
		t := &g.Targets[i]
		if t.Drain || outOfService[t.Place] {
			continue
		}
		inService++
		c.Slots += t.Slots
		c.Connections += t.Connections
	}
	c.Targets += inService
	switch inService {
	case 0:
		c.Lost = append(c.Lost, g.Name)
	case 1:
		c.Single = append(c.Single, g.Name)
	}
}
