package objects

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ref identifies an object of a draft by its kind and its index in the set's
// slice of that kind, because names may be repeated in a draft.
type ref struct {
	kind  Kind
	index int
}

// origin says where an object was read and which of its fields were refused.
type origin struct {
	file   string
	line   int
	fields map[string]int  // line of each field, by path; nil for a bundle
	bad    map[string]bool // paths that already have a finding
}

// setLine records the line of a field. A bundle has one line only, and its
// decoding is on the path to adopting a set, so nothing is kept for it.
func (o *origin) setLine(path string, line int) {
	if o.fields != nil {
		o.fields[path] = line
	}
}

// draft is a set that has been decoded but not checked. Its slices are in
// source order.
type draft struct {
	set     Set
	origins map[ref]*origin
	limits  int // number of limits objects
	// bundle says that the draft comes from a bundle, whose size is known.
	bundle bool
	// partial says that a file could not be read, so that a reference to an
	// object that is not in the draft proves nothing.
	partial bool
}

// decoder adds the objects of one file or bundle after the other to a draft.
type decoder struct {
	file     string
	draft    *draft
	findings findingList
}

// findingList collects findings up to a limit.
type findingList struct {
	list  []Finding
	limit int // 0: no limit
}

func (l *findingList) add(f Finding) {
	if l.limit == 0 || len(l.list) < l.limit {
		l.list = append(l.list, f)
	}
}

func newDecoder() *decoder {
	return &decoder{draft: &draft{
		set:     Set{Limits: DefaultLimits()},
		origins: map[ref]*origin{},
	}}
}

func (d *decoder) report(line int, code Code, object, field, message, remedy string) {
	d.findings.add(Finding{
		Code: code, File: d.file, Line: line, Object: object, Field: field,
		Message: message, Remedy: remedy,
	})
}

// objectList decodes an array of objects.
func (d *decoder) objectList(items []node) {
	for _, n := range items {
		d.object(n)
	}
}

// object decodes one published object.
func (d *decoder) object(n node) {
	members, ok := n.value.([]member)
	if !ok {
		d.report(n.line, CodeWrongType, "", "", "an object is needed here, found "+n.typeName(),
			`write {"kind":...,"name":...}`)
		return
	}
	r := newReader(d, n.line, members)
	var kind, name string
	r.text("kind", &kind)
	r.object = clip(kind)
	r.text("name", &name)
	r.object = objectLabel(Kind(kind), name)
	r.reportRepeated()
	r.require("kind", "name")
	if kind == "" {
		return
	}
	switch Kind(kind) {
	case KindPlace:
		d.place(r, name)
	case KindGroup:
		d.group(r, name)
	case KindRoute:
		d.route(r, name)
	case KindOrder:
		d.order(r, name)
	case KindLimits:
		d.limits(r, name)
	default:
		r.report("kind", CodeUnknownKind, fmt.Sprintf("there is no kind %q", clip(kind)),
			"use place, target_group, route, order or limits")
		return
	}
	r.reportUnknown()
}

func (d *decoder) place(r *reader, name string) {
	p := Place{Name: name}
	r.require("region")
	r.text("region", &p.Region)
	d.draft.origins[ref{KindPlace, len(d.draft.set.Places)}] = r.origin
	d.draft.set.Places = append(d.draft.set.Places, p)
}

func (d *decoder) group(r *reader, name string) {
	g := TargetGroup{Name: name}
	r.require("service", "connect_time", "targets")
	r.text("service", &g.Service)
	r.duration("connect_time", &g.ConnectTime)
	for i, n := range r.array("targets") {
		if sub := r.element("targets", i, n); sub != nil {
			g.Targets = append(g.Targets, decodeTarget(sub))
		} else {
			g.Targets = append(g.Targets, Target{})
		}
	}
	d.draft.origins[ref{KindGroup, len(d.draft.set.Groups)}] = r.origin
	d.draft.set.Groups = append(d.draft.set.Groups, g)
}

func decodeTarget(r *reader) Target {
	var t Target
	r.require("name", "address", "place", "slots", "connections")
	r.text("name", &t.Name)
	r.text("address", &t.Address)
	r.text("place", &t.Place)
	r.integer("slots", &t.Slots)
	r.integer("connections", &t.Connections)
	r.boolean("drain", &t.Drain)
	r.reportUnknown()
	return t
}

func (d *decoder) route(r *reader, name string) {
	route := Route{Name: name}
	r.require("type", "groups")
	r.text("type", (*string)(&route.Kind))
	for i, n := range r.array("groups") {
		group, ok := n.value.(string)
		if !ok {
			r.wrongType(fmt.Sprintf("groups[%d]", i), n, "the name of a group in quotes")
		}
		r.origin.setLine(fmt.Sprintf("groups[%d]", i), n.line)
		route.Groups = append(route.Groups, group)
	}
	d.draft.origins[ref{KindRoute, len(d.draft.set.Routes)}] = r.origin
	d.draft.set.Routes = append(d.draft.set.Routes, route)
}

func (d *decoder) order(r *reader, name string) {
	o := Order{Name: name}
	r.require("steps", "in_force")
	for i, n := range r.array("steps") {
		var step Step
		if sub := r.element("steps", i, n); sub != nil {
			sub.require("action", "place")
			sub.text("action", (*string)(&step.Action))
			sub.text("place", &step.Place)
			sub.reportUnknown()
		}
		o.Steps = append(o.Steps, step)
	}
	r.integer("in_force", &o.InForce)
	d.draft.origins[ref{KindOrder, len(d.draft.set.Orders)}] = r.origin
	d.draft.set.Orders = append(d.draft.set.Orders, o)
}

func (d *decoder) limits(r *reader, name string) {
	l := DefaultLimits()
	l.Name = name
	r.duration("max_budget", &l.MaxBudget)
	r.integer("max_body_bytes", &l.MaxBodyBytes)
	r.integer("max_in_flight", &l.MaxInFlight)
	r.share("hedge_share", &l.HedgeShare)
	r.share("retry_share", &l.RetryShare)
	r.duration("hedge_floor", &l.HedgeFloor)
	r.share("answer_reserve", &l.AnswerReserve)
	r.duration("answer_reserve_floor", &l.AnswerReserveFloor)
	r.integer("warm_step", &l.WarmStep)
	r.duration("reservation_ttl", &l.ReservationTTL)
	d.draft.limits++
	if d.draft.limits > 1 {
		r.report("", CodeSeveralLimits, "the set has more than one limits object",
			"merge them into one object")
		return
	}
	d.draft.origins[ref{KindLimits, 0}] = r.origin
	d.draft.set.Limits = l
}

// reader reads the fields of one JSON object. Every fault is reported with
// the field's path; a fault leaves the destination unchanged.
type reader struct {
	decoder *decoder
	origin  *origin
	object  string // "kind name" for findings
	prefix  string // path of this object in the published object
	line    int
	members []member
	known   map[string]bool // fields that were asked for
}

func newReader(d *decoder, line int, members []member) *reader {
	o := &origin{file: d.file, line: line, bad: map[string]bool{}}
	if !d.draft.bundle {
		o.fields = map[string]int{}
	}
	r := &reader{decoder: d, origin: o, line: line, members: members, known: map[string]bool{}}
	for _, m := range members {
		o.setLine(m.name, m.node.line)
	}
	return r
}

// element returns a reader for element i of the array in the named field, or
// nil after a report if the element is not an object.
func (r *reader) element(name string, i int, n node) *reader {
	path := fmt.Sprintf("%s[%d]", name, i)
	r.origin.setLine(path, n.line)
	members, ok := n.value.([]member)
	if !ok {
		r.wrongType(path, n, "an object")
		return nil
	}
	sub := &reader{
		decoder: r.decoder, origin: r.origin, object: r.object, prefix: path + ".",
		line: n.line, members: members, known: map[string]bool{},
	}
	for _, m := range members {
		r.origin.setLine(sub.prefix+m.name, m.node.line)
	}
	sub.reportRepeated()
	return sub
}

// report adds a finding about the named field of this object.
func (r *reader) report(name string, code Code, message, remedy string) {
	path := r.prefix + name
	line, ok := r.origin.fields[path]
	if !ok {
		line = r.line
	}
	if name != "" {
		r.origin.bad[path] = true
	}
	r.decoder.report(line, code, r.object, clip(strings.TrimSuffix(path, ".")), message, remedy)
}

func (r *reader) reportRepeated() {
	seen := map[string]bool{}
	for _, m := range r.members {
		if seen[m.name] {
			r.report(m.name, CodeRepeatedField, fmt.Sprintf("the field %q is given twice", clip(m.name)),
				"keep one of them")
		}
		seen[m.name] = true
	}
}

// reportUnknown reports the fields that no call has asked for.
func (r *reader) reportUnknown() {
	for _, m := range r.members {
		if !r.known[m.name] {
			r.known[m.name] = true
			r.report(m.name, CodeUnknownField, fmt.Sprintf("there is no field %q here", clip(m.name)),
				"remove it or correct its spelling")
		}
	}
}

func (r *reader) require(names ...string) {
	for _, name := range names {
		if _, ok := r.field(name); !ok {
			r.report(name, CodeMissingField, fmt.Sprintf("the field %q is missing", name), "add it")
		}
	}
}

func (r *reader) field(name string) (node, bool) {
	r.known[name] = true
	for _, m := range r.members {
		if m.name == name {
			return m.node, true
		}
	}
	return node{}, false
}

func (r *reader) wrongType(name string, n node, want string) {
	r.report(name, CodeWrongType, fmt.Sprintf("%s is needed here, found %s", want, n.typeName()),
		"correct the value")
}

func (r *reader) text(name string, dst *string) {
	n, ok := r.field(name)
	if !ok {
		return
	}
	s, ok := n.value.(string)
	if !ok {
		r.wrongType(name, n, "a string")
		return
	}
	*dst = s
}

func (r *reader) boolean(name string, dst *bool) {
	n, ok := r.field(name)
	if !ok {
		return
	}
	b, ok := n.value.(bool)
	if !ok {
		r.wrongType(name, n, "true or false")
		return
	}
	*dst = b
}

func (r *reader) integer(name string, dst *int) {
	n, ok := r.field(name)
	if !ok {
		return
	}
	number, ok := n.value.(json.Number)
	if !ok {
		r.wrongType(name, n, "a whole number")
		return
	}
	v, err := strconv.ParseInt(number.String(), 10, 32)
	if err != nil {
		r.report(name, CodeOutOfRange, fmt.Sprintf("%s is not a whole number in range", clip(number.String())),
			"write a whole number without a fraction or an exponent")
		return
	}
	*dst = int(v)
}

func (r *reader) share(name string, dst *float64) {
	n, ok := r.field(name)
	if !ok {
		return
	}
	number, ok := n.value.(json.Number)
	if !ok {
		r.wrongType(name, n, "a number from 0 to 1")
		return
	}
	v, err := strconv.ParseFloat(number.String(), 64)
	if err != nil {
		r.report(name, CodeOutOfRange, clip(number.String())+" is out of range", "write a number from 0 to 1")
		return
	}
	*dst = v
}

func (r *reader) duration(name string, dst *time.Duration) {
	n, ok := r.field(name)
	if !ok {
		return
	}
	const remedy = `write a string with a unit, for example "6ms", "2s" or "10m"`
	if number, ok := n.value.(json.Number); ok {
		r.report(name, CodeBadUnit, fmt.Sprintf("the duration %s has no unit", clip(number.String())), remedy)
		return
	}
	s, ok := n.value.(string)
	if !ok {
		r.wrongType(name, n, "a duration")
		return
	}
	// time.ParseDuration accepts "0" without a unit.
	if s == "" || strings.Trim(s, "+-0123456789.") == "" {
		r.report(name, CodeBadUnit, fmt.Sprintf("the duration %q has no unit", clip(s)), remedy)
		return
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		r.report(name, CodeBadUnit, fmt.Sprintf("%q is not a duration", clip(s)), remedy)
		return
	}
	*dst = v
}

func (r *reader) array(name string) []node {
	n, ok := r.field(name)
	if !ok {
		return nil
	}
	items, ok := n.value.([]node)
	if !ok {
		r.wrongType(name, n, "an array")
		return nil
	}
	return items
}

// objectLabel names an object in findings.
func objectLabel(kind Kind, name string) string {
	return strings.TrimSpace(clip(string(kind)) + " " + clip(name))
}

// clip shortens a value for a message.
func clip(s string) string {
	const limit = 80
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "..."
}
