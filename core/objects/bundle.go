package objects

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// maxParseFindings is the largest number of findings from each of the two stages of
// Parse, decoding and check. An instance logs the findings, and arbitrary JSON
// could give a finding for every two bytes.
const maxParseFindings = 100

// Bundle checks the set and returns its canonical form with the given generation
// and the digest. The set is not changed. The error is a *CheckError.
func Bundle(set *Set, generation uint64) ([]byte, error) {
	sorted := set.clone()
	findings := checkDraft(&draft{set: *sorted}, 0)
	if generation < 1 || generation > MaxGeneration {
		findings = append(findings, generationFinding(strconv.FormatUint(generation, 10)))
	}
	if len(findings) > 0 {
		return nil, &CheckError{Findings: findings}
	}
	sorted.sort()
	return encodeBundle(sorted, generation), nil
}

// Parse reads a canonical bundle, as the configuration service holds it, and
// checks it completely, including generation and digest. The set is nil if there
// are findings. Unlike Load, Parse limits the number of findings; see
// maxParseFindings.
func Parse(raw []byte) (*Set, []Finding) {
	if len(raw) > MaxSetBytes {
		return nil, []Finding{{
			Code:    CodeTooLarge,
			Message: fmt.Sprintf("the bundle has %d bytes, the limit is %d", len(raw), MaxSetBytes),
			Remedy:  "publish a smaller set",
		}}
	}
	d := newDecoder()
	d.draft.fromBundle = true
	d.findings.limit = maxParseFindings
	generation, digest := d.decodeBundle(raw)
	findings := append(d.findings.list, checkDraft(d.draft, maxParseFindings)...)
	if len(findings) > 0 {
		return nil, findings
	}
	set := &d.draft.set
	set.sortAndIndex()
	set.Generation, set.Digest = generation, digest
	body := encodeBody(set, generation)
	if want := bodyDigest(body); digest != want {
		return nil, []Finding{{
			Code: CodeDigestMismatch, Field: "digest",
			Message: fmt.Sprintf("the digest is %q, that of the contents is %q", truncate(digest), want),
			Remedy:  "make the bundle with galenadyke bundle and publish it without a change",
		}}
	}
	if !bytes.Equal(raw, insertDigest(body, digest)) {
		return nil, []Finding{{
			Code:    CodeNotCanonical,
			Message: "the bundle differs from its canonical form",
			Remedy:  "make the bundle with galenadyke bundle and publish it without a change",
		}}
	}
	return set, nil
}

// decodeBundle adds the objects of a bundle to the draft, and returns the
// generation and the digest that the bundle states.
func (d *decoder) decodeBundle(raw []byte) (generation uint64, digest string) {
	tree, err := readTree(raw)
	if err != nil {
		d.draft.partial = true
		d.report(0, CodeSyntax, "", "", "the bundle is not valid JSON: "+err.Error(),
			"make the bundle with galenadyke bundle")
		return 0, ""
	}
	members, ok := tree.value.([]jsonMember)
	if !ok {
		d.draft.partial = true
		d.report(0, CodeWrongType, "", "", "a bundle is an object, found "+tree.typeName(),
			"make the bundle with galenadyke bundle")
		return 0, ""
	}
	r := newFieldReader(d, 0, members)
	r.reportRepeated()
	r.require("generation", "digest", "objects")
	if n, ok := r.lookup("generation"); ok {
		number, _ := n.value.(json.Number)
		v, err := strconv.ParseUint(number.String(), 10, 64)
		if err != nil || v < 1 || v > MaxGeneration {
			d.findings.add(generationFinding(truncate(number.String())))
		}
		generation = v
	}
	r.readString("digest", &digest)
	d.decodeObjects(r.readArray("objects"))
	r.reportUnknown()
	// Findings about a bundle have no line, because a bundle has only one line.
	for i := range d.findings.list {
		d.findings.list[i].Line = 0
	}
	for _, o := range d.draft.origins {
		o.line = 0
	}
	return generation, digest
}

func generationFinding(text string) Finding {
	return Finding{
		Code: CodeBadGeneration, Field: "generation",
		Message: fmt.Sprintf("%q is not a generation", text),
		Remedy:  fmt.Sprintf("use a whole number from 1 to %d, higher than the one in force", uint64(MaxGeneration)),
	}
}

// encodeBody returns the canonical form without the digest, which is computed
// over these bytes. The set must be sorted.
func encodeBody(set *Set, generation uint64) []byte {
	body, err := json.Marshal(bundleBody{Generation: generation, Objects: wireObjects(set)})
	if err != nil {
		// JSON cannot represent a share that is infinite or NaN, but the check
		// refuses such a share. Everything else can be encoded.
		panic("objects: encode checked set: " + err.Error())
	}
	return body
}

// bodyDigest returns the SHA-256 of an encoded body in lower-case hexadecimal.
func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// insertDigest returns the canonical form: the body with the digest between the
// generation and the objects.
func insertDigest(body []byte, digest string) []byte {
	generation, objects, _ := bytes.Cut(body, []byte(","))
	raw := make([]byte, 0, len(body)+len(`"digest":"",`)+len(digest))
	raw = append(raw, generation...)
	raw = append(raw, `,"digest":"`+digest+`",`...)
	return append(raw, objects...)
}

// encodeBundle returns the canonical form of a sorted set with its digest.
func encodeBundle(set *Set, generation uint64) []byte {
	body := encodeBody(set, generation)
	return insertDigest(body, bodyDigest(body))
}

// bundleBody is the canonical form without the digest. The order of the fields in
// bundleBody and the wire types is part of the canonical form.
type bundleBody struct {
	Generation uint64 `json:"generation"`
	Objects    []any  `json:"objects"`
}

type wirePlace struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Region string `json:"region"`
}

type wireGroup struct {
	Kind        Kind         `json:"kind"`
	Name        string       `json:"name"`
	Service     string       `json:"service"`
	ConnectTime wireDuration `json:"connect_time"`
	Targets     []wireTarget `json:"targets"`
}

type wireTarget struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Place       string `json:"place"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Drain       bool   `json:"drain,omitempty"`
}

type wireRoute struct {
	Kind   Kind      `json:"kind"`
	Name   string    `json:"name"`
	Type   RouteKind `json:"type"`
	Groups []string  `json:"groups"`
}

type wireOrder struct {
	Kind    Kind       `json:"kind"`
	Name    string     `json:"name"`
	Steps   []wireStep `json:"steps"`
	InForce int        `json:"in_force"`
}

type wireStep struct {
	Action StepAction `json:"action"`
	Place  string     `json:"place"`
}

// wireLimits always holds every limit, so that an instance whose version has
// different defaults reads the same values.
type wireLimits struct {
	Kind               Kind         `json:"kind"`
	Name               string       `json:"name"`
	MaxBudget          wireDuration `json:"max_budget"`
	MaxBodyBytes       int          `json:"max_body_bytes"`
	MaxInFlight        int          `json:"max_in_flight"`
	HedgeShare         float64      `json:"hedge_share"`
	RetryShare         float64      `json:"retry_share"`
	HedgeFloor         wireDuration `json:"hedge_floor"`
	AnswerReserve      float64      `json:"answer_reserve"`
	AnswerReserveFloor wireDuration `json:"answer_reserve_floor"`
	WarmStep           int          `json:"warm_step"`
	ReservationTTL     wireDuration `json:"reservation_ttl"`
}

// wireDuration is a duration that is encoded as a string with a unit.
type wireDuration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d wireDuration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// wireObjects returns the objects of a sorted set, sorted by kind and name. The
// kinds are appended in alphabetical order.
func wireObjects(set *Set) []any {
	objects := make([]any, 0, 1+len(set.Orders)+len(set.Places)+len(set.Routes)+len(set.Groups))
	objects = append(objects, newWireLimits(&set.Limits))
	for i := range set.Orders {
		objects = append(objects, newWireOrder(&set.Orders[i]))
	}
	for _, p := range set.Places {
		objects = append(objects, wirePlace{Kind: KindPlace, Name: p.Name, Region: p.Region})
	}
	for _, r := range set.Routes {
		objects = append(objects, wireRoute{Kind: KindRoute, Name: r.Name, Type: r.Kind, Groups: r.Groups})
	}
	for i := range set.Groups {
		objects = append(objects, newWireGroup(&set.Groups[i]))
	}
	return objects
}

func newWireLimits(l *Limits) wireLimits {
	return wireLimits{
		Kind: KindLimits, Name: l.Name,
		MaxBudget: wireDuration(l.MaxBudget), MaxBodyBytes: l.MaxBodyBytes, MaxInFlight: l.MaxInFlight,
		HedgeShare: l.HedgeShare, RetryShare: l.RetryShare, HedgeFloor: wireDuration(l.HedgeFloor),
		AnswerReserve: l.AnswerReserve, AnswerReserveFloor: wireDuration(l.AnswerReserveFloor),
		WarmStep: l.WarmStep, ReservationTTL: wireDuration(l.ReservationTTL),
	}
}

func newWireOrder(o *Order) wireOrder {
	w := wireOrder{Kind: KindOrder, Name: o.Name, Steps: make([]wireStep, len(o.Steps)), InForce: o.InForce}
	for i, step := range o.Steps {
		w.Steps[i] = wireStep(step)
	}
	return w
}

func newWireGroup(g *TargetGroup) wireGroup {
	w := wireGroup{
		Kind: KindGroup, Name: g.Name, Service: g.Service,
		ConnectTime: wireDuration(g.ConnectTime), Targets: make([]wireTarget, len(g.Targets)),
	}
	for i, t := range g.Targets {
		w.Targets[i] = wireTarget(t)
	}
	return w
}
