package objects

import "fmt"

// checkOrders checks the steps of every order and what each step leaves in
// service.
func (c *checker) checkOrders() {
	seen := map[string]int{}
	movedBy := map[string]string{}
	for i := range c.set.Orders {
		o := &c.set.Orders[i]
		at := ref{KindOrder, i}
		c.checkObjectName(at, o.Name, seen)
		if len(o.Steps) == 0 {
			c.report(at, "steps", CodeEmptyOrder, "the order has no steps", "add steps or remove the order")
		}
		if o.InForce < 0 || o.InForce > len(o.Steps) {
			c.report(at, "in_force", CodeOutOfRange,
				fmt.Sprintf("%d steps cannot be in force, the order has %d", o.InForce, len(o.Steps)),
				fmt.Sprintf("use a number from 0 to %d", len(o.Steps)))
		}
		c.checkSteps(at, o)
		c.checkMovedOnce(at, o, movedBy)
	}
}

// checkSteps refuses steps that change nothing: they show that the order is
// not what its author believes.
func (c *checker) checkSteps(at ref, o *Order) {
	out := map[string]bool{}
	for i, step := range o.Steps {
		field := fmt.Sprintf("steps[%d]", i)
		if step.Action != StepLeave && step.Action != StepReturn {
			c.report(at, field+".action", CodeBadValue, fmt.Sprintf("there is no action %q", clip(string(step.Action))),
				"use leave or return")
			continue
		}
		c.checkPlaceReference(at, field+".place", step.Place)
		leaves := step.Action == StepLeave
		switch {
		case !c.places[step.Place]:
			continue
		case leaves && out[step.Place]:
			c.report(at, field, CodeUselessStep, fmt.Sprintf("%q is already out before this step", step.Place),
				"remove the step or add the missing return before it")
		case !leaves && !out[step.Place]:
			c.report(at, field, CodeUselessStep, fmt.Sprintf("%q is not out before this step", step.Place),
				"remove the step or add the missing leave before it")
		}
		out[step.Place] = leaves
	}
}

// checkMovedOnce refuses a place in two orders: whether it is out would depend
// on the names of the orders.
func (c *checker) checkMovedOnce(at ref, o *Order, movedBy map[string]string) {
	reported := map[string]bool{}
	for i, step := range o.Steps {
		other, ok := movedBy[step.Place]
		if ok && !reported[step.Place] && c.places[step.Place] {
			reported[step.Place] = true
			c.report(at, fmt.Sprintf("steps[%d].place", i), CodePlaceInTwoOrders,
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

// checkService refuses a set in which a route has no target in service, now or
// after any further step of one order while the other orders stay as they are.
func (c *checker) checkService() {
	if c.hasBadSteps() {
		return
	}
	now := c.outNow(-1)
	dead := map[int]bool{}
	for i := range c.set.Routes {
		if c.routeLost(&c.set.Routes[i], now) {
			dead[i] = true
			c.report(ref{KindRoute, i}, "groups", CodeNothingInService,
				"all targets of the route are set to drain or in places that are out",
				"bring a target or a place back into service")
		}
	}
	for i := range c.set.Orders {
		c.checkPrefixes(i, dead)
	}
}

// checkPrefixes reports each route once, at the first step that leaves it
// without a target. Routes that are without one already are passed over.
func (c *checker) checkPrefixes(order int, dead map[int]bool) {
	o := &c.set.Orders[order]
	out := c.outNow(order)
	lost := map[int]bool{}
	for i, step := range o.Steps {
		out[step.Place] = step.Action == StepLeave
		if step.Action != StepLeave {
			continue
		}
		for j := range c.set.Routes {
			if dead[j] || lost[j] || !c.routeLost(&c.set.Routes[j], out) {
				continue
			}
			lost[j] = true
			c.report(ref{KindOrder, order}, fmt.Sprintf("steps[%d]", i), CodeNothingInService,
				fmt.Sprintf("with this step route %q has no target in service", c.set.Routes[j].Name),
				"return another place first, or give the route targets in more places")
		}
	}
}

// hasBadSteps tells whether a simulation of the orders would be meaningless.
func (c *checker) hasBadSteps() bool {
	for i := range c.set.Orders {
		o := &c.set.Orders[i]
		if o.InForce < 0 || o.InForce > len(o.Steps) {
			return true
		}
	}
	return false
}

// outNow returns the places that the steps in force take out, without those of
// the order to be left aside, if any.
func (c *checker) outNow(aside int) map[string]bool {
	out := map[string]bool{}
	for i := range c.set.Orders {
		if i == aside {
			continue
		}
		o := &c.set.Orders[i]
		for _, step := range o.Steps[:o.InForce] {
			out[step.Place] = step.Action == StepLeave
		}
	}
	return out
}

// routeLost reports whether the route has targets but none in service. Routes
// without any target have another finding.
func (c *checker) routeLost(r *Route, out map[string]bool) bool {
	targets := 0
	for _, name := range r.Groups {
		g := c.groups[name]
		if g == nil {
			continue
		}
		for i := range g.Targets {
			if !g.Targets[i].Drain && !out[g.Targets[i].Place] {
				return false
			}
			targets++
		}
	}
	return targets > 0
}
