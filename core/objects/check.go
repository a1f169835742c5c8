package objects

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Check checks a set made in code and returns all findings. It does not check
// generation and digest. If there are no findings, Check puts the lists in
// canonical order and builds the index; the set must not be changed afterwards.
func Check(set *Set) []Finding {
	findings := checkDraft(&draft{set: *set}, 0)
	if len(findings) == 0 {
		set.sortAndIndex()
	}
	return findings
}

// checker checks a set as a whole. The lists are still in source order, so that
// the paths of fields in findings are those of the source.
type checker struct {
	draft    *draft
	set      *Set
	places   map[string]bool         // names of all places
	groups   map[string]*TargetGroup // first group of each name
	findings findingList
}

// checkDraft returns the findings about references, values, orders and size, at
// most limit of them if limit is not 0. Fields that the decoder has refused get
// no second finding.
func checkDraft(d *draft, limit int) []Finding {
	c := &checker{
		draft:  d,
		set:    &d.set,
		places: map[string]bool{},
		groups: map[string]*TargetGroup{},

		findings: findingList{limit: limit},
	}
	c.checkPlaces()
	c.checkGroups()
	c.checkRoutes()
	c.checkLimits()
	c.checkOrders()
	c.checkInService()
	c.checkSize()
	return c.findings.list
}

// report adds a finding about a field of an object, unless the decoder has
// already refused the field or a value that contains it. The finding gets the
// line of the field if that is known, else the line of the innermost value that
// contains the field and has a known line, else the line of the object.
func (c *checker) report(obj objectRef, field string, code Code, message, remedy string) {
	f := Finding{
		Code: code, Object: objectLabel(obj.kind, c.objectName(obj)), Field: field,
		Message: message, Remedy: remedy,
	}
	if o := c.draft.origins[obj]; o != nil {
		f.File, f.Line = o.file, o.line
		for path := field; path != ""; path = parentPath(path) {
			if o.refused[path] {
				return
			}
			if line, ok := o.fields[path]; ok && f.Line == o.line {
				f.Line = line
			}
		}
	}
	c.findings.add(f)
}

// parentPath returns the path of the value that contains the field: "a" for
// "a[1]", "a[1]" for "a[1].b" and the empty path for "a".
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func (c *checker) objectName(obj objectRef) string {
	switch obj.kind {
	case KindPlace:
		return c.set.Places[obj.index].Name
	case KindGroup:
		return c.set.Groups[obj.index].Name
	case KindRoute:
		return c.set.Routes[obj.index].Name
	case KindOrder:
		return c.set.Orders[obj.index].Name
	default:
		return c.set.Limits.Name
	}
}

// sourceSuffix returns " in file:line" for an object that was read from a file,
// else nothing. It is appended where a message refers to another object.
func (c *checker) sourceSuffix(obj objectRef) string {
	if o := c.draft.origins[obj]; o != nil && o.file != "" {
		return fmt.Sprintf(" in %s:%d", o.file, o.line)
	}
	return ""
}

// checkName checks that a name is present and has the permitted form.
func (c *checker) checkName(obj objectRef, field, name string) {
	switch {
	case name == "":
		c.report(obj, field, CodeMissingField, "the "+lastPathElement(field)+" is empty", "fill it in")
	case !validName(name):
		c.report(obj, field, CodeBadName, fmt.Sprintf("%q is not a valid %s", truncate(name), lastPathElement(field)),
			fmt.Sprintf("use at most %d of a-z, 0-9, dot, hyphen and underscore, with a letter or digit at both ends",
				maxNameBytes))
	}
}

// lastPathElement returns the name of the field without the path before it.
func lastPathElement(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }

// checkObjectName checks the form of an object's name and that no earlier object
// of the kind has the same name. It returns false for a duplicate. The map seen
// holds the index of the first object of the kind with each name so far.
func (c *checker) checkObjectName(obj objectRef, name string, seen map[string]int) bool {
	c.checkName(obj, "name", name)
	if first, ok := seen[name]; ok && name != "" {
		c.report(obj, "name", CodeDuplicateName,
			fmt.Sprintf("there is already a %s %q%s", obj.kind, name, c.sourceSuffix(objectRef{obj.kind, first})),
			"rename or remove one of them")
		return false
	}
	seen[name] = obj.index
	return true
}

func (c *checker) checkPlaces() {
	seen := map[string]int{}
	for i, p := range c.set.Places {
		obj := objectRef{KindPlace, i}
		c.checkObjectName(obj, p.Name, seen)
		c.checkName(obj, "region", p.Region)
		c.places[p.Name] = true
	}
}

func (c *checker) checkGroups() {
	seen := map[string]int{}
	targets := &targetChecker{
		checker:   c,
		names:     map[string]string{},
		addresses: map[netip.AddrPort]string{},
	}
	for i := range c.set.Groups {
		g := &c.set.Groups[i]
		obj := objectRef{KindGroup, i}
		if c.checkObjectName(obj, g.Name, seen) {
			c.groups[g.Name] = g
		}
		c.checkName(obj, "service", g.Service)
		c.checkDuration(obj, "connect_time", g.ConnectTime, 0, maxConnectTime)
		if len(g.Targets) == 0 {
			c.report(obj, "targets", CodeRouteToNowhere, "the group has no targets", "add targets or remove the group")
		}
		for j := range g.Targets {
			targets.check(obj, fmt.Sprintf("targets[%d].", j), &g.Targets[j])
		}
	}
}

// targetChecker checks targets one after the other. Their names and addresses
// must be unique in the whole set, not only in their group.
type targetChecker struct {
	*checker
	names     map[string]string         // name of the group, by name of the target
	addresses map[netip.AddrPort]string // name of the target, by address
}

// check checks a target of the group obj. prefix is the path of the target in the
// group, with a dot at the end.
func (c *targetChecker) check(obj objectRef, prefix string, t *Target) {
	c.checkName(obj, prefix+"name", t.Name)
	if group, ok := c.names[t.Name]; ok && t.Name != "" {
		c.report(obj, prefix+"name", CodeDuplicateName,
			fmt.Sprintf("there is already a target %q in group %q", t.Name, group), "rename one of them")
	} else {
		c.names[t.Name] = c.objectName(obj)
	}
	c.checkAddress(obj, prefix+"address", t)
	c.checkPlaceReference(obj, prefix+"place", t.Place)
	slotsOK := c.checkNumber(obj, prefix+"slots", t.Slots, 1, maxSlots)
	if c.checkNumber(obj, prefix+"connections", t.Connections, 1, maxConnections) && slotsOK &&
		t.Connections < t.Slots {
		c.report(obj, prefix+"connections", CodeOutOfRange,
			fmt.Sprintf("%d connections cannot fill %d slots", t.Connections, t.Slots),
			"allow at least one connection for each slot")
	}
}

func (c *targetChecker) checkAddress(obj objectRef, field string, t *Target) {
	const remedy = "write an IP number and a port, for example 10.1.2.3:8080 or [fd00::1]:8080"
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		c.report(obj, field, CodeBadAddress, fmt.Sprintf("%q is not an IP number and port", truncate(t.Address)), remedy)
		return
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		c.report(obj, field, CodeBadAddress, fmt.Sprintf("%q is not the address of one target", t.Address), remedy)
		return
	}
	address = netip.AddrPortFrom(ip.Unmap(), address.Port())
	if canonical := address.String(); canonical != t.Address {
		c.report(obj, field, CodeBadAddress, fmt.Sprintf("%q is not in plain form", t.Address), "write "+canonical)
	}
	if other, ok := c.addresses[address]; ok {
		c.report(obj, field, CodeDuplicateAddress,
			fmt.Sprintf("target %q has the address %s too", other, t.Address), "correct one of them")
		return
	}
	c.addresses[address] = t.Name
}

func (c *checker) checkPlaceReference(obj objectRef, field, place string) {
	switch {
	case place == "":
		c.report(obj, field, CodeMissingField, "the place is empty", "name a place of the set")
	case !c.places[place] && !c.draft.partial:
		c.report(obj, field, CodeBrokenReference, fmt.Sprintf("there is no place %q", truncate(place)),
			"correct the name or add the place to the set")
	}
}

func (c *checker) checkRoutes() {
	if len(c.set.Routes) == 0 && !c.draft.partial {
		// Most likely some files were not named. In force, such a set would
		// refuse every call.
		c.findings.add(Finding{
			Code: CodeNoRoutes, Message: "the set has no routes",
			Remedy: "name all files of the set, or add a route",
		})
	}
	seen := map[string]int{}
	for i := range c.set.Routes {
		r := &c.set.Routes[i]
		obj := objectRef{KindRoute, i}
		c.checkObjectName(obj, r.Name, seen)
		if r.Kind != RouteSearch && r.Kind != RouteBooking {
			c.report(obj, "type", CodeBadValue, fmt.Sprintf("there is no type of route %q", truncate(string(r.Kind))),
				"use search or booking")
		}
		if len(r.Groups) == 0 {
			c.report(obj, "groups", CodeRouteToNowhere, "the route has no groups", "name at least one group")
		}
		if r.Kind == RouteBooking && len(r.Groups) > 1 {
			c.report(obj, "groups", CodeBookingGroups,
				fmt.Sprintf("a booking route needs exactly one group, found %d", len(r.Groups)),
				"keep one group, because a booking runs at one target only")
		}
		c.checkRouteGroups(obj, r)
	}
}

func (c *checker) checkRouteGroups(obj objectRef, r *Route) {
	seen := map[string]bool{}
	var first *TargetGroup
	for i, name := range r.Groups {
		field := fmt.Sprintf("groups[%d]", i)
		g := c.groups[name]
		switch {
		case g == nil && c.draft.partial:
			continue
		case g == nil:
			c.report(obj, field, CodeBrokenReference, fmt.Sprintf("there is no target group %q", truncate(name)),
				"correct the name or add the group to the set")
			continue
		case seen[name]:
			c.report(obj, field, CodeDuplicateEntry, fmt.Sprintf("the group %q is named twice", name),
				"remove one of them")
			continue
		}
		seen[name] = true
		if first == nil {
			first = g
		}
		if r.Kind == RouteSearch && g.Service != first.Service {
			c.report(obj, field, CodeMixedServices,
				fmt.Sprintf("group %q serves %q, but group %q serves %q", name, g.Service, first.Name, first.Service),
				"use one route for each service, because one answer comes from one index")
		}
	}
}

func (c *checker) checkLimits() {
	obj, l := objectRef{KindLimits, 0}, &c.set.Limits
	c.checkName(obj, "name", l.Name)
	budgetOK := c.checkDuration(obj, "max_budget", l.MaxBudget, minMaxBudget, maxMaxBudget)
	c.checkNumber(obj, "max_body_bytes", l.MaxBodyBytes, 1, maxMaxBodyBytes)
	c.checkNumber(obj, "max_in_flight", l.MaxInFlight, 1, maxMaxInFlight)
	c.checkShare(obj, "hedge_share", l.HedgeShare, 1)
	c.checkShare(obj, "retry_share", l.RetryShare, 1)
	c.checkShare(obj, "answer_reserve", l.AnswerReserve, maxAnswerReserve)
	c.checkNumber(obj, "warm_step", l.WarmStep, 1, maxWarmStep)
	ttlOK := c.checkDuration(obj, "reservation_ttl", l.ReservationTTL, minReservationTTL, maxReservationTTL)
	if !budgetOK {
		return
	}
	// A hedge or an answer after the longest budget would be useless. At most
	// half of a budget is reserved for returning the answer.
	c.checkDuration(obj, "hedge_floor", l.HedgeFloor, 0, l.MaxBudget)
	c.checkDuration(obj, "answer_reserve_floor", l.AnswerReserveFloor, 0, l.MaxBudget/2)
	if ttlOK && l.ReservationTTL < l.MaxBudget {
		c.report(obj, "reservation_ttl", CodeOutOfRange,
			fmt.Sprintf("a booking id would expire after %s, before a call of %s ends", l.ReservationTTL, l.MaxBudget),
			"make it at least max_budget")
	}
}

// checkNumber reports whether a number is from low to high, and adds a finding if it
// is not.
func (c *checker) checkNumber(obj objectRef, field string, v, low, high int) bool {
	if v >= low && v <= high {
		return true
	}
	c.report(obj, field, CodeOutOfRange, fmt.Sprintf("%d is out of range", v),
		fmt.Sprintf("use a number from %d to %d", low, high))
	return false
}

// checkShare checks that a share is from 0 to high. It also refuses NaN, for
// which every comparison is false.
func (c *checker) checkShare(obj objectRef, field string, v, high float64) {
	if v >= 0 && v <= high {
		return
	}
	c.report(obj, field, CodeOutOfRange, fmt.Sprintf("%v is out of range", v),
		fmt.Sprintf("use a share from 0 to %v", high))
}

// checkDuration reports whether a duration is from low to high, and adds a finding
// if it is not.
func (c *checker) checkDuration(obj objectRef, field string, v, low, high time.Duration) bool {
	if v >= low && v <= high {
		return true
	}
	c.report(obj, field, CodeOutOfRange, fmt.Sprintf("%s is out of range", v),
		fmt.Sprintf("use a duration from %s to %s", low, high))
	return false
}

// checkSize checks the size of the canonical form, if there are no other
// findings. For a bundle, Parse has checked the size.
func (c *checker) checkSize() {
	if len(c.findings.list) > 0 || c.draft.fromBundle {
		return
	}
	sorted := c.set.clone()
	sorted.sort()
	size := len(encodeBundle(sorted, MaxGeneration))
	if size > MaxSetBytes {
		c.findings.add(Finding{
			Code:    CodeTooLarge,
			Message: fmt.Sprintf("the canonical form has %d bytes, the limit is %d", size, MaxSetBytes),
			Remedy:  "shorten names or remove unused objects",
		})
	}
}
