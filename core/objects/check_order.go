package objects

import "fmt"

// checkOrders checks every order by itself, and that no place has steps in two
// orders.
func (c *checker) checkOrders() {
	seen := map[string]int{}
	movedBy := map[string]string{}
	for i := range c.set.Orders {
		o := &c.set.Orders[i]
		obj := objectRef{KindOrder, i}
		c.checkObjectName(obj, o.Name, seen)
		if len(o.Steps) == 0 {
			c.report(obj, "steps", CodeEmptyOrder, "the order has no steps", "add steps or remove the order")
		}
		if o.InForce < 0 || o.InForce > len(o.Steps) {
			c.report(obj, "in_force", CodeOutOfRange,
				fmt.Sprintf("%d steps cannot be in force, the order has %d", o.InForce, len(o.Steps)),
				fmt.Sprintf("use a number from 0 to %d", len(o.Steps)))
		}
		c.checkSteps(obj, o)
		c.checkPlaceInOneOrder(obj, o, movedBy)
	}
}

// checkSteps checks the action and the place of each step. It also refuses a
// step that changes nothing, because it shows a mistake of the order's author.
func (c *checker) checkSteps(obj objectRef, o *Order) {
	outOfService := map[string]bool{}
	for i, step := range o.Steps {
		field := fmt.Sprintf("steps[%d]", i)
		if step.Action != StepLeave && step.Action != StepReturn {
			c.report(obj, field+".action", CodeBadValue, fmt.Sprintf("there is no action %q", truncate(string(step.Action))),
				"use leave or return")
			continue
		}
		c.checkPlaceReference(obj, field+".place", step.Place)
		leaves := step.Action == StepLeave
		switch {
		case !c.places[step.Place]:
			continue
		case leaves && outOfService[step.Place]:
			c.report(obj, field, CodeUselessStep, fmt.Sprintf("%q is already out before this step", step.Place),
				"remove the step or add the missing return before it")
		case !leaves && !outOfService[step.Place]:
			c.report(obj, field, CodeUselessStep, fmt.Sprintf("%q is not out before this step", step.Place),
				"remove the step or add the missing leave before it")
		}
		outOfService[step.Place] = leaves
	}
}

// checkPlaceInOneOrder refuses a place that has steps in o and in an earlier
// order: whether it is in service would depend on the names of the orders. The
// map movedBy holds the name of the first order with steps of a place.
func (c *checker) checkPlaceInOneOrder(obj objectRef, o *Order, movedBy map[string]string) {
	reported := map[string]bool{}
	for i, step := range o.Steps {
		other, ok := movedBy[step.Place]
		if ok && !reported[step.Place] && c.places[step.Place] {
			reported[step.Place] = true
			c.report(obj, fmt.Sprintf("steps[%d].place", i), CodePlaceInTwoOrders,
				fmt.Sprintf("order %q moves %q too", other, step.Place),
				"remove the finished order or put all steps of the place in one order")
		}
	}
	for _, step := range o.Steps {
		if _, ok := movedBy[step.Place]; !ok {
			movedBy[step.Place] = o.Name
		}
	}
}

// checkInService refuses a set in which a route has no target in service, either
// with the steps in force or after any step of one order while the other orders
// stay at their steps in force.
func (c *checker) checkInService() {
	if c.hasInvalidInForce() {
		return
	}
	outOfService := c.placesOutOfService(-1)
	unserved := map[int]bool{}
	for i := range c.set.Routes {
		if c.hasNoTargetInService(&c.set.Routes[i], outOfService) {
			unserved[i] = true
			c.report(objectRef{KindRoute, i}, "groups", CodeNothingInService,
				"all targets of the route are set to drain or in places that are out",
				"bring a target or a place back into service")
		}
	}
	for i := range c.set.Orders {
		c.checkInServiceAfterSteps(i, unserved)
	}
}

// checkInServiceAfterSteps applies the steps of one order one by one, from the
// first, and reports each route at the first step after which it has no target
// in service. It skips the routes in unserved, by index, which have no target in
// service with the steps in force.
func (c *checker) checkInServiceAfterSteps(order int, unserved map[int]bool) {
	o := &c.set.Orders[order]
	outOfService := c.placesOutOfService(order)
	reported := map[int]bool{}
	for i, step := range o.Steps {
		outOfService[step.Place] = step.Action == StepLeave
		if step.Action != StepLeave {
			continue
		}
		for j := range c.set.Routes {
			if unserved[j] || reported[j] || !c.hasNoTargetInService(&c.set.Routes[j], outOfService) {
				continue
			}
			reported[j] = true
			c.report(objectRef{KindOrder, order}, fmt.Sprintf("steps[%d]", i), CodeNothingInService,
				fmt.Sprintf("with this step route %q has no target in service", c.set.Routes[j].Name),
				"return another place first, or give the route targets in more places")
		}
	}
}

// hasInvalidInForce reports whether the number of steps in force of any order is out
// of range. The places out of service are then not known.
func (c *checker) hasInvalidInForce() bool {
	for i := range c.set.Orders {
		o := &c.set.Orders[i]
		if o.InForce < 0 || o.InForce > len(o.Steps) {
			return true
		}
	}
	return false
}

// placesOutOfService returns the places that the steps in force take out of
// service. It ignores the order with the index skippedOrder, or none for -1.
func (c *checker) placesOutOfService(skippedOrder int) map[string]bool {
	outOfService := map[string]bool{}
	for i := range c.set.Orders {
		if i == skippedOrder {
			continue
		}
		o := &c.set.Orders[i]
		for _, step := range o.Steps[:o.InForce] {
			outOfService[step.Place] = step.Action == StepLeave
		}
	}
	return outOfService
}

// hasNoTargetInService reports whether the route has targets but none of them is
// in service. A route without any target is reported as route-to-nowhere.
func (c *checker) hasNoTargetInService(r *Route, outOfService map[string]bool) bool {
	targets := 0
	for _, name := range r.Groups {
		g := c.groups[name]
		if g == nil {
			continue
		}
		for i := range g.Targets {
			if !g.Targets[i].Drain && !outOfService[g.Targets[i].Place] {
				return false
			}
			targets++
		}
	}
	return targets > 0
}
