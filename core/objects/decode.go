package objects

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// objectRef identifies an object of a draft by its kind and its index in the
// set's slice of that kind. Names do not identify an object, because two objects
// of a draft may have the same name.
type objectRef struct {
	kind  Kind
	index int
}

// origin records where an object was read and which of its fields were refused.
type origin struct {
	file    string
	line    int
	fields  map[string]int  // line of each field, by path; nil for a bundle
	refused map[string]bool // paths of fields that the decoder has reported
}

// setLine records the line of a field. For a bundle it does nothing: a bundle
// has only one line, and the time to decode it delays the adoption of the set.
func (o *origin) setLine(path string, line int) {
	if o.fields != nil {
		o.fields[path] = line
	}
}

// draft is a set that has been decoded but not checked. Its slices are in
// source order.
type draft struct {
	set         Set
	origins     map[objectRef]*origin
	limitsCount int // number of limits objects
	// fromBundle is true if the draft comes from a bundle, whose size has
	// already been checked.
	fromBundle bool
	// partial is true if an input could not be read or is not valid JSON. A
	// reference to an object that is not in the draft is then not reported,
	// because the object may be in that input.
	partial bool
}

// decoder adds the objects of one or more files, or of one bundle, to a draft.
type decoder struct {
	file     string // file that is being decoded; empty for a bundle
	draft    *draft
	findings findingList
}

// findingList collects findings up to a limit and drops the rest.
type findingList struct {
	list  []Finding
	limit int // largest length of list; 0 means no limit
}

func (l *findingList) add(f Finding) {
	if l.limit == 0 || len(l.list) < l.limit {
		l.list = append(l.list, f)
	}
}

func newDecoder() *decoder {
	return &decoder{draft: &draft{
		set:     Set{Limits: DefaultLimits()},
		origins: map[objectRef]*origin{},
	}}
}

func (d *decoder) report(line int, code Code, object, field, message, remedy string) {
	d.findings.add(Finding{
		Code: code, File: d.file, Line: line, Object: object, Field: field,
		Message: message, Remedy: remedy,
	})
}

// decodeObjects decodes an array of published objects.
func (d *decoder) decodeObjects(items []jsonNode) {
	for _, n := range items {
		d.decodeObject(n)
	}
}

// decodeObject decodes one published object.
func (d *decoder) decodeObject(n jsonNode) {
	members, ok := n.value.([]jsonMember)
	if !ok {
		d.report(n.line, CodeWrongType, "", "", "an object is needed here, found "+n.typeName(),
			`write {"kind":...,"name":...}`)
		return
	}
	r := newFieldReader(d, n.line, members)
	var kind, name string
	r.readString("kind", &kind)
	r.object = truncate(kind)
	r.readString("name", &name)
	r.object = objectLabel(Kind(kind), name)
	r.reportRepeated()
	r.require("kind", "name")
	if kind == "" {
		return
	}
	switch Kind(kind) {
	case KindPlace:
		d.decodePlace(r, name)
	case KindGroup:
		d.decodeGroup(r, name)
	case KindRoute:
		d.decodeRoute(r, name)
	case KindOrder:
		d.decodeOrder(r, name)
	case KindLimits:
		d.decodeLimits(r, name)
	default:
		r.report("kind", CodeUnknownKind, fmt.Sprintf("there is no kind %q", truncate(kind)),
			"use place, target_group, route, order or limits")
		return
	}
	r.reportUnknown()
}

func (d *decoder) decodePlace(r *fieldReader, name string) {
	p := Place{Name: name}
	r.require("region")
	r.readString("region", &p.Region)
	d.draft.origins[objectRef{KindPlace, len(d.draft.set.Places)}] = r.origin
	d.draft.set.Places = append(d.draft.set.Places, p)
}

func (d *decoder) decodeGroup(r *fieldReader, name string) {
	g := TargetGroup{Name: name}
	r.require("service", "connect_time", "targets")
	r.readString("service", &g.Service)
	r.readDuration("connect_time", &g.ConnectTime)
	for i, n := range r.readArray("targets") {
		if sub := r.elementReader("targets", i, n); sub != nil {
			g.Targets = append(g.Targets, decodeTarget(sub))
		} else {
			// The empty target keeps the indices of the targets after it.
			g.Targets = append(g.Targets, Target{})
		}
	}
	d.draft.origins[objectRef{KindGroup, len(d.draft.set.Groups)}] = r.origin
	d.draft.set.Groups = append(d.draft.set.Groups, g)
}

func decodeTarget(r *fieldReader) Target {
	var t Target
	r.require("name", "address", "place", "slots", "connections")
	r.readString("name", &t.Name)
	r.readString("address", &t.Address)
	r.readString("place", &t.Place)
	r.readInt("slots", &t.Slots)
	r.readInt("connections", &t.Connections)
	r.readBool("drain", &t.Drain)
	r.reportUnknown()
	return t
}

func (d *decoder) decodeRoute(r *fieldReader, name string) {
	route := Route{Name: name}
	r.require("type", "groups")
	r.readString("type", (*string)(&route.Kind))
	for i, n := range r.readArray("groups") {
		group, ok := n.value.(string)
		if !ok {
			r.reportWrongType(fmt.Sprintf("groups[%d]", i), n, "the name of a group in quotes")
		}
		r.origin.setLine(fmt.Sprintf("groups[%d]", i), n.line)
		route.Groups = append(route.Groups, group)
	}
	d.draft.origins[objectRef{KindRoute, len(d.draft.set.Routes)}] = r.origin
	d.draft.set.Routes = append(d.draft.set.Routes, route)
}

func (d *decoder) decodeOrder(r *fieldReader, name string) {
	o := Order{Name: name}
	r.require("steps", "in_force")
	for i, n := range r.readArray("steps") {
		var step Step
		if sub := r.elementReader("steps", i, n); sub != nil {
			sub.require("action", "place")
			sub.readString("action", (*string)(&step.Action))
			sub.readString("place", &step.Place)
			sub.reportUnknown()
		}
		o.Steps = append(o.Steps, step)
	}
	r.readInt("in_force", &o.InForce)
	d.draft.origins[objectRef{KindOrder, len(d.draft.set.Orders)}] = r.origin
	d.draft.set.Orders = append(d.draft.set.Orders, o)
}

func (d *decoder) decodeLimits(r *fieldReader, name string) {
	l := DefaultLimits()
	l.Name = name
	r.readDuration("max_budget", &l.MaxBudget)
	r.readInt("max_body_bytes", &l.MaxBodyBytes)
	r.readInt("max_in_flight", &l.MaxInFlight)
	r.readShare("hedge_share", &l.HedgeShare)
	r.readShare("retry_share", &l.RetryShare)
	r.readDuration("hedge_floor", &l.HedgeFloor)
	r.readShare("answer_reserve", &l.AnswerReserve)
	r.readDuration("answer_reserve_floor", &l.AnswerReserveFloor)
	r.readInt("warm_step", &l.WarmStep)
	r.readDuration("reservation_ttl", &l.ReservationTTL)
	d.draft.limitsCount++
	if d.draft.limitsCount > 1 {
		r.report("", CodeSeveralLimits, "the set has more than one limits object",
			"merge them into one object")
		return
	}
	d.draft.origins[objectRef{KindLimits, 0}] = r.origin
	d.draft.set.Limits = l
}

// fieldReader reads the fields of one JSON object: a published object, an
// element of one of its arrays, or a bundle. Its read methods report a fault
// with the path of the field and then leave the destination unchanged. A field
// that is missing also leaves the destination unchanged, but only require
// reports it.
type fieldReader struct {
	decoder  *decoder
	origin   *origin
	object   string // label of the published object, see objectLabel
	prefix   string // path of this JSON object in the published object, ends in a dot if not empty
	line     int    // line on which this JSON object begins
	members  []jsonMember
	lookedUp map[string]bool // names of the fields that were looked up or reported as unknown
}

// newFieldReader returns a reader of a published object or of a bundle.
func newFieldReader(d *decoder, line int, members []jsonMember) *fieldReader {
	o := &origin{file: d.file, line: line, refused: map[string]bool{}}
	if !d.draft.fromBundle {
		o.fields = map[string]int{}
	}
	r := &fieldReader{decoder: d, origin: o, line: line, members: members, lookedUp: map[string]bool{}}
	for _, m := range members {
		o.setLine(m.name, m.node.line)
	}
	return r
}

// elementReader returns a reader of n, the element i of the array in the named
// field. If n is not an object, elementReader reports that and returns nil.
func (r *fieldReader) elementReader(name string, i int, n jsonNode) *fieldReader {
	path := fmt.Sprintf("%s[%d]", name, i)
	r.origin.setLine(path, n.line)
	members, ok := n.value.([]jsonMember)
	if !ok {
		r.reportWrongType(path, n, "an object")
		return nil
	}
	sub := &fieldReader{
		decoder: r.decoder, origin: r.origin, object: r.object, prefix: path + ".",
		line: n.line, members: members, lookedUp: map[string]bool{},
	}
	for _, m := range members {
		r.origin.setLine(sub.prefix+m.name, m.node.line)
	}
	sub.reportRepeated()
	return sub
}

// report adds a finding about the named field of this JSON object, or about the
// object itself if the name is empty.
func (r *fieldReader) report(name string, code Code, message, remedy string) {
	path := r.prefix + name
	line, ok := r.origin.fields[path]
	if !ok {
		line = r.line
	}
	if name != "" {
		r.origin.refused[path] = true
	}
	r.decoder.report(line, code, r.object, truncate(strings.TrimSuffix(path, ".")), message, remedy)
}

// reportRepeated reports the fields that occur more than once.
func (r *fieldReader) reportRepeated() {
	seen := map[string]bool{}
	for _, m := range r.members {
		if seen[m.name] {
			r.report(m.name, CodeRepeatedField, fmt.Sprintf("the field %q is given twice", truncate(m.name)),
				"keep one of them")
		}
		seen[m.name] = true
	}
}

// reportUnknown reports the fields that were not looked up. It must be called
// after all reads.
func (r *fieldReader) reportUnknown() {
	for _, m := range r.members {
		if !r.lookedUp[m.name] {
			r.lookedUp[m.name] = true
			r.report(m.name, CodeUnknownField, fmt.Sprintf("there is no field %q here", truncate(m.name)),
				"remove it or correct its spelling")
		}
	}
}

// require reports the named fields that are missing.
func (r *fieldReader) require(names ...string) {
	for _, name := range names {
		if _, ok := r.lookup(name); !ok {
			r.report(name, CodeMissingField, fmt.Sprintf("the field %q is missing", name), "add it")
		}
	}
}

// lookup returns the value of the named field and whether the field is present.
func (r *fieldReader) lookup(name string) (jsonNode, bool) {
	r.lookedUp[name] = true
	for _, m := range r.members {
		if m.name == name {
			return m.node, true
		}
	}
	return jsonNode{}, false
}

func (r *fieldReader) reportWrongType(name string, n jsonNode, want string) {
	r.report(name, CodeWrongType, fmt.Sprintf("%s is needed here, found %s", want, n.typeName()),
		"correct the value")
}

func (r *fieldReader) readString(name string, dst *string) {
	n, ok := r.lookup(name)
	if !ok {
		return
	}
	s, ok := n.value.(string)
	if !ok {
		r.reportWrongType(name, n, "a string")
		return
	}
	*dst = s
}

func (r *fieldReader) readBool(name string, dst *bool) {
	n, ok := r.lookup(name)
	if !ok {
		return
	}
	b, ok := n.value.(bool)
	if !ok {
		r.reportWrongType(name, n, "true or false")
		return
	}
	*dst = b
}

func (r *fieldReader) readInt(name string, dst *int) {
	n, ok := r.lookup(name)
	if !ok {
		return
	}
	number, ok := n.value.(json.Number)
	if !ok {
		r.reportWrongType(name, n, "a whole number")
		return
	}
	v, err := strconv.ParseInt(number.String(), 10, 32)
	if err != nil {
		r.report(name, CodeOutOfRange, fmt.Sprintf("%s is not a whole number in range", truncate(number.String())),
			"write a whole number without a fraction or an exponent")
		return
	}
	*dst = int(v)
}

// readShare reads a share of a whole. The range from 0 to 1 is checked with the
// whole set.
func (r *fieldReader) readShare(name string, dst *float64) {
	n, ok := r.lookup(name)
	if !ok {
		return
	}
	number, ok := n.value.(json.Number)
	if !ok {
		r.reportWrongType(name, n, "a number from 0 to 1")
		return
	}
	v, err := strconv.ParseFloat(number.String(), 64)
	if err != nil {
		r.report(name, CodeOutOfRange, truncate(number.String())+" is out of range", "write a number from 0 to 1")
		return
	}
	*dst = v
}

// readDuration reads a string in the form of time.ParseDuration, but refuses a zero
// without a unit.
func (r *fieldReader) readDuration(name string, dst *time.Duration) {
	n, ok := r.lookup(name)
	if !ok {
		return
	}
	const remedy = `write a string with a unit, for example "6ms", "2s" or "10m"`
	if number, ok := n.value.(json.Number); ok {
		r.report(name, CodeBadUnit, fmt.Sprintf("the duration %s has no unit", truncate(number.String())), remedy)
		return
	}
	s, ok := n.value.(string)
	if !ok {
		r.reportWrongType(name, n, "a duration")
		return
	}
	// time.ParseDuration accepts "0" without a unit.
	if s == "" || strings.Trim(s, "+-0123456789.") == "" {
		r.report(name, CodeBadUnit, fmt.Sprintf("the duration %q has no unit", truncate(s)), remedy)
		return
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		r.report(name, CodeBadUnit, fmt.Sprintf("%q is not a duration", truncate(s)), remedy)
		return
	}
	*dst = v
}

// readArray returns the elements of an array, or nil if the field is missing or not an
// array.
func (r *fieldReader) readArray(name string) []jsonNode {
	n, ok := r.lookup(name)
	if !ok {
		return nil
	}
	items, ok := n.value.([]jsonNode)
	if !ok {
		r.reportWrongType(name, n, "an array")
		return nil
	}
	return items
}

// objectLabel returns the kind and name of an object, shortened, for findings.
func objectLabel(kind Kind, name string) string {
	return strings.TrimSpace(truncate(string(kind)) + " " + truncate(name))
}

// truncate shortens a value for a message to 80 bytes and an ellipsis.
func truncate(s string) string {
	const limit = 80
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "..."
}
