package objects

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Check checks a set made in code, except its generation and digest. If there
// is no finding, Check puts the lists in canonical order and builds the index;
// the set must not be changed from then on.
func Check(set *Set) []Finding {
	findings := checkDraft(&draft{set: *set}, 0)
	if len(findings) == 0 {
		set.finish()
	}
	return findings
}

// checker checks a set as a whole. It works on the source order of the lists,
// so that a field's path is that of the source.
type checker struct {
	draft    *draft
	set      *Set
	places   map[string]bool
	groups   map[string]*TargetGroup
	findings findingList
}

// checkDraft returns the findings about references, values and orders. Fields
// that the decoder has refused get no second finding. A limit of 0 means all
// findings.
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
	c.checkService()
	c.checkSize()
	return c.findings.list
}

// report adds a finding about a field of an object, unless the decoder has
// already refused the field or a value around it.
func (c *checker) report(at ref, field string, code Code, message, remedy string) {
	f := Finding{
		Code: code, Object: objectLabel(at.kind, c.name(at)), Field: field,
		Message: message, Remedy: remedy,
	}
	if o := c.draft.origins[at]; o != nil {
		f.File, f.Line = o.file, o.line
		for path := field; path != ""; path = parentPath(path) {
			if o.bad[path] {
				return
			}
			if line, ok := o.fields[path]; ok && f.Line == o.line {
				f.Line = line
			}
		}
	}
	c.findings.add(f)
}

// parentPath returns the path of the value that holds the field: a for a[1],
// a[1] for a[1].b and the empty path for a.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func (c *checker) name(at ref) string {
	switch at.kind {
	case KindPlace:
		return c.set.Places[at.index].Name
	case KindGroup:
		return c.set.Groups[at.index].Name
	case KindRoute:
		return c.set.Routes[at.index].Name
	case KindOrder:
		return c.set.Orders[at.index].Name
	default:
		return c.set.Limits.Name
	}
}

// where names the source of an object in messages about another one.
func (c *checker) where(at ref) string {
	if o := c.draft.origins[at]; o != nil && o.file != "" {
		return fmt.Sprintf(" in %s:%d", o.file, o.line)
	}
	return ""
}

// checkName checks the form of a name.
func (c *checker) checkName(at ref, field, name string) {
	switch {
	case name == "":
		c.report(at, field, CodeMissingField, "the "+lastField(field)+" is empty", "fill it in")
	case !validName(name):
		c.report(at, field, CodeBadName, fmt.Sprintf("%q is not a valid %s", clip(name), lastField(field)),
			fmt.Sprintf("use at most %d of a-z, 0-9, dot, hyphen and underscore, with a letter or digit at both ends",
				maxNameLength))
	}
}

func lastField(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }

// checkObjectName checks the form of an object's name and that no earlier
// object of the kind has it. It returns false for a repeated name.
func (c *checker) checkObjectName(at ref, name string, seen map[string]int) bool {
	c.checkName(at, "name", name)
	if first, ok := seen[name]; ok && name != "" {
		c.report(at, "name", CodeDuplicateName,
			fmt.Sprintf("there is already a %s %q%s", at.kind, name, c.where(ref{at.kind, first})),
			"rename or remove one of them")
		return false
	}
	seen[name] = at.index
	return true
}

func (c *checker) checkPlaces() {
	seen := map[string]int{}
	for i, p := range c.set.Places {
		at := ref{KindPlace, i}
		c.checkObjectName(at, p.Name, seen)
		c.checkName(at, "region", p.Region)
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
		at := ref{KindGroup, i}
		if c.checkObjectName(at, g.Name, seen) {
			c.groups[g.Name] = g
		}
		c.checkName(at, "service", g.Service)
		c.checkDuration(at, "connect_time", g.ConnectTime, 0, maxConnectTime)
		if len(g.Targets) == 0 {
			c.report(at, "targets", CodeRouteToNowhere, "the group has no targets", "add targets or remove the group")
		}
		for j := range g.Targets {
			targets.check(at, fmt.Sprintf("targets[%d].", j), &g.Targets[j])
		}
	}
}

// targetChecker checks targets, whose names and addresses are unique in the
// set.
type targetChecker struct {
	*checker
	names     map[string]string // group of each target
	addresses map[netip.AddrPort]string
}

func (c *targetChecker) check(at ref, prefix string, t *Target) {
	c.checkName(at, prefix+"name", t.Name)
	if group, ok := c.names[t.Name]; ok && t.Name != "" {
		c.report(at, prefix+"name", CodeDuplicateName,
			fmt.Sprintf("there is already a target %q in group %q", t.Name, group), "rename one of them")
	} else {
		c.names[t.Name] = c.name(at)
	}
	c.checkAddress(at, prefix+"address", t)
	c.checkPlaceReference(at, prefix+"place", t.Place)
	slotsOK := c.checkNumber(at, prefix+"slots", t.Slots, 1, maxSlots)
	if c.checkNumber(at, prefix+"connections", t.Connections, 1, maxConnections) && slotsOK &&
		t.Connections < t.Slots {
		c.report(at, prefix+"connections", CodeOutOfRange,
			fmt.Sprintf("%d connections cannot fill %d slots", t.Connections, t.Slots),
			"allow at least one connection for each slot")
	}
}

func (c *targetChecker) checkAddress(at ref, field string, t *Target) {
	const remedy = "write an IP number and a port, for example 10.1.2.3:8080 or [fd00::1]:8080"
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		c.report(at, field, CodeBadAddress, fmt.Sprintf("%q is not an IP number and port", clip(t.Address)), remedy)
		return
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		c.report(at, field, CodeBadAddress, fmt.Sprintf("%q is not the address of one target", t.Address), remedy)
		return
	}
	address = netip.AddrPortFrom(ip.Unmap(), address.Port())
	if plain := address.String(); plain != t.Address {
		c.report(at, field, CodeBadAddress, fmt.Sprintf("%q is not in plain form", t.Address), "write "+plain)
	}
	if other, ok := c.addresses[address]; ok {
		c.report(at, field, CodeDuplicateAddress,
			fmt.Sprintf("target %q has the address %s too", other, t.Address), "correct one of them")
		return
	}
	c.addresses[address] = t.Name
}

func (c *checker) checkPlaceReference(at ref, field, place string) {
	switch {
	case place == "":
		c.report(at, field, CodeMissingField, "the place is empty", "name a place of the set")
	case !c.places[place] && !c.draft.partial:
		c.report(at, field, CodeBrokenReference, fmt.Sprintf("there is no place %q", clip(place)),
			"correct the name or add the place to the set")
	}
}

func (c *checker) checkRoutes() {
	if len(c.set.Routes) == 0 && !c.draft.partial {
		// Most likely a part of the files was left out. In force, such a set
		// would refuse every call.
		c.findings.add(Finding{
			Code: CodeNoRoutes, Message: "the set has no routes",
			Remedy: "name all files of the set, or add a route",
		})
	}
	seen := map[string]int{}
	for i := range c.set.Routes {
		r := &c.set.Routes[i]
		at := ref{KindRoute, i}
		c.checkObjectName(at, r.Name, seen)
		if r.Kind != RouteSearch && r.Kind != RouteBooking {
			c.report(at, "type", CodeBadValue, fmt.Sprintf("there is no type of route %q", clip(string(r.Kind))),
				"use search or booking")
		}
		if len(r.Groups) == 0 {
			c.report(at, "groups", CodeRouteToNowhere, "the route has no groups", "name at least one group")
		}
		if r.Kind == RouteBooking && len(r.Groups) > 1 {
			c.report(at, "groups", CodeBookingGroups,
				fmt.Sprintf("a booking route needs exactly one group, found %d", len(r.Groups)),
				"keep one group, because a booking runs at one target only")
		}
		c.checkRouteGroups(at, r)
	}
}

func (c *checker) checkRouteGroups(at ref, r *Route) {
	named := map[string]bool{}
	var first *TargetGroup
	for i, name := range r.Groups {
		field := fmt.Sprintf("groups[%d]", i)
		g := c.groups[name]
		switch {
		case g == nil && c.draft.partial:
			continue
		case g == nil:
			c.report(at, field, CodeBrokenReference, fmt.Sprintf("there is no target group %q", clip(name)),
				"correct the name or add the group to the set")
			continue
		case named[name]:
			c.report(at, field, CodeDuplicateEntry, fmt.Sprintf("the group %q is named twice", name),
				"remove one of them")
			continue
		}
		named[name] = true
		if first == nil {
			first = g
		}
		if r.Kind == RouteSearch && g.Service != first.Service {
			c.report(at, field, CodeMixedServices,
				fmt.Sprintf("group %q serves %q, but group %q serves %q", name, g.Service, first.Name, first.Service),
				"use one route for each service, because one answer comes from one index")
		}
	}
}

func (c *checker) checkLimits() {
	at, l := ref{KindLimits, 0}, &c.set.Limits
	c.checkName(at, "name", l.Name)
	budgetOK := c.checkDuration(at, "max_budget", l.MaxBudget, minMaxBudget, maxMaxBudget)
	c.checkNumber(at, "max_body_bytes", l.MaxBodyBytes, 1, maxMaxBodyBytes)
	c.checkNumber(at, "max_in_flight", l.MaxInFlight, 1, maxMaxInFlight)
	c.checkShare(at, "hedge_share", l.HedgeShare, 1)
	c.checkShare(at, "retry_share", l.RetryShare, 1)
	c.checkShare(at, "answer_reserve", l.AnswerReserve, maxAnswerReserve)
	c.checkNumber(at, "warm_step", l.WarmStep, 1, maxWarmStep)
	ttlOK := c.checkDuration(at, "reservation_ttl", l.ReservationTTL, minReservationTTL, maxReservationTTL)
	if !budgetOK {
		return
	}
	// A hedge or an answer after the longest budget would never be used.
	c.checkDuration(at, "hedge_floor", l.HedgeFloor, 0, l.MaxBudget)
	c.checkDuration(at, "answer_reserve_floor", l.AnswerReserveFloor, 0, l.MaxBudget/2)
	if ttlOK && l.ReservationTTL < l.MaxBudget {
		c.report(at, "reservation_ttl", CodeOutOfRange,
			fmt.Sprintf("a booking id would expire after %s, before a call of %s ends", l.ReservationTTL, l.MaxBudget),
			"make it at least max_budget")
	}
}

func (c *checker) checkNumber(at ref, field string, v, low, high int) bool {
	if v >= low && v <= high {
		return true
	}
	c.report(at, field, CodeOutOfRange, fmt.Sprintf("%d is out of range", v),
		fmt.Sprintf("use a number from %d to %d", low, high))
	return false
}

// checkShare also refuses NaN, which no comparison accepts.
func (c *checker) checkShare(at ref, field string, v, high float64) {
	if v >= 0 && v <= high {
		return
	}
	c.report(at, field, CodeOutOfRange, fmt.Sprintf("%v is out of range", v),
		fmt.Sprintf("use a share from 0 to %v", high))
}

func (c *checker) checkDuration(at ref, field string, v, low, high time.Duration) bool {
	if v >= low && v <= high {
		return true
	}
	c.report(at, field, CodeOutOfRange, fmt.Sprintf("%s is out of range", v),
		fmt.Sprintf("use a duration from %s to %s", low, high))
	return false
}

// checkSize checks the size of the canonical form of an otherwise good set.
func (c *checker) checkSize() {
	if len(c.findings.list) > 0 || c.draft.bundle {
		return
	}
	sorted := c.set.clone()
	sorted.sort()
	size := len(seal(sorted, MaxGeneration))
	if size > MaxSetBytes {
		c.findings.add(Finding{
			Code:    CodeTooLarge,
			Message: fmt.Sprintf("the canonical form has %d bytes, the limit is %d", size, MaxSetBytes),
			Remedy:  "shorten names or remove unused objects",
		})
	}
}
