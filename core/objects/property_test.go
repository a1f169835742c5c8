package objects

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, unless the command line gives a
// seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// drawSet draws a set that passes the check, with its lists in random order.
func drawSet(t *rapid.T) *Set {
	s := &Set{Limits: DefaultLimits()}
	s.Limits.HedgeShare = rapid.Float64Range(0, 1).Draw(t, "hedge share")
	s.Limits.MaxBudget = time.Duration(rapid.Int64Range(int64(time.Second), int64(maxMaxBudget)).Draw(t, "budget"))
	places := rapid.IntRange(2, 5).Draw(t, "places")
	for i := range places {
		s.Places = append(s.Places, Place{Name: fmt.Sprintf("p%d", i), Region: "r"})
	}
	booking := Route{Name: "book", Kind: RouteBooking, Groups: []string{"g0"}}
	search := Route{Name: "search", Kind: RouteSearch}
	// Each group has a target in each place. Those in p0 and p1 are never set to drain,
	// so that every group keeps a target in service while one place is out.
	for i := range rapid.IntRange(1, 6).Draw(t, "groups") {
		g := TargetGroup{Name: fmt.Sprintf("g%d", i), Service: "s", ConnectTime: time.Millisecond}
		for j := range places {
			g.Targets = append(g.Targets, Target{
				Name: fmt.Sprintf("t%d-%d", i, j), Address: fmt.Sprintf("127.0.%d.%d:80", i, j+1),
				Place: fmt.Sprintf("p%d", j), Slots: rapid.IntRange(1, 9).Draw(t, "slots"), Connections: 9,
				Drain: j > 1 && rapid.Bool().Draw(t, "drain"),
			})
		}
		g.Targets = rapid.Permutation(g.Targets).Draw(t, "targets")
		s.Groups = append(s.Groups, g)
		search.Groups = append(search.Groups, g.Name)
	}
	s.Groups = rapid.Permutation(s.Groups).Draw(t, "group order")
	search.Groups = rapid.Permutation(search.Groups).Draw(t, "route groups")
	s.Routes = rapid.Permutation([]Route{booking, search}).Draw(t, "route order")
	order := Order{Name: "o"}
	for i := range rapid.IntRange(1, places).Draw(t, "moves") {
		place := fmt.Sprintf("p%d", i)
		order.Steps = append(order.Steps, Step{StepLeave, place}, Step{StepReturn, place})
	}
	order.InForce = rapid.IntRange(0, len(order.Steps)).Draw(t, "in force")
	s.Orders = []Order{order}
	return s
}

func bundleAndParse(t *rapid.T, s *Set, generation uint64) (*Set, []byte) {
	raw, err := Bundle(s, generation)
	if err != nil {
		t.Fatal(err)
	}
	parsed, findings := Parse(raw)
	if len(findings) > 0 {
		t.Fatalf("Parse refused the output of Bundle: %v", findings)
	}
	return parsed, raw
}

// Guards against a bundle that depends on the source order or loses a value: the
// same set would have different digests.
func TestBundleRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSet(t)
		generation := rapid.Uint64Range(1, MaxGeneration).Draw(t, "generation")
		before := s.clone()
		parsed, raw := bundleAndParse(t, s, generation)
		if !s.Equal(before) {
			t.Fatal("Bundle changed its argument")
		}
		if findings := Check(s); len(findings) > 0 {
			t.Fatal(findings)
		}
		s.Generation, s.Digest = generation, parsed.Digest
		if diff := cmp.Diff(s, parsed); diff != "" {
			t.Fatalf("round trip (-want +got):\n%s", diff)
		}
		if _, again := bundleAndParse(t, parsed, generation); !bytes.Equal(raw, again) {
			t.Fatal("the bundle of the parsed set differs from the first bundle")
		}
		if changes := Diff(s, parsed); len(changes) > 0 {
			t.Fatalf("Diff of equal sets: got %v, want no changes", changes)
		}
	})
}

// Guards against two faults that would put the wrong places out of service: a
// changed set with an unchanged digest, and a copy of a set that uses the index
// of the original.
func TestIndexFollowsContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := bundleAndParse(t, drawSet(t), 1)
		changed := *s
		changed.Orders = []Order{s.Orders[0]}
		changed.Orders[0].InForce = rapid.IntRange(0, len(s.Orders[0].Steps)).Draw(t, "next")
		parsed, _ := bundleAndParse(t, &changed, 1)
		sameInForce := changed.Orders[0].InForce == s.Orders[0].InForce
		if (parsed.Digest == s.Digest) != sameInForce || (len(Diff(s, parsed)) == 0) != sameInForce {
			t.Fatalf("got digests equal: %v, changes: %v; want equal digests and no changes only for an equal in_force", parsed.Digest == s.Digest, Diff(s, parsed))
		}
		for _, p := range s.Places {
			if changed.IsPlaceOutOfService(p.Name) != parsed.IsPlaceOutOfService(p.Name) {
				t.Fatalf("IsPlaceOutOfService(%s) differs between the changed copy and the same set after Parse", p.Name)
			}
		}
		for i := range s.Groups {
			for j := range s.Groups[i].Targets {
				target, group := s.Target(s.Groups[i].Targets[j].Name)
				if target != &s.Groups[i].Targets[j] || group != &s.Groups[i] {
					t.Fatalf("Target(%s) did not return the published target and its group", s.Groups[i].Targets[j].Name)
				}
			}
		}
	})
}

// Newer must be a total order: otherwise two instances that see the same two sets
// could keep different sets in force.
func TestNewerIsTotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := make([]*Set, 3)
		for i := range sets {
			sets[i] = &Set{
				Generation: rapid.Uint64Range(1, 3).Draw(t, "generation"),
				Digest:     rapid.StringMatching("[0-9a-f]{2}").Draw(t, "digest"),
			}
		}
		a, b, c := sets[0], sets[1], sets[2]
		equal := a.Generation == b.Generation && a.Digest == b.Digest
		if aNewer, bNewer := a.Newer(b), b.Newer(a); aNewer && bNewer || (!aNewer && !bNewer) != equal {
			t.Fatalf("sets %v and %v: got a.Newer(b) = %v, b.Newer(a) = %v; want neither for equal sets, else exactly one", a, b, aNewer, bNewer)
		}
		if a.Newer(b) && b.Newer(c) && !a.Newer(c) {
			t.Fatal("Newer is not transitive")
		}
		if !a.Newer(nil) || (*Set)(nil).Newer(a) {
			t.Fatal("a set must be newer than nil, and nil not newer than a set")
		}
	})
}

func exampleBundle(t *testing.T) []byte {
	source, findings := Load([]string{"../../examples/lagos"})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	raw, err := Bundle(source.Set, 7)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Bundles that were damaged or edited by hand must not come into force.
func TestParseRefuses(t *testing.T) {
	good := string(exampleBundle(t))
	edit := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	manyPlaces := &Set{Limits: DefaultLimits()}
	for i := range 20_000 {
		manyPlaces.Places = append(manyPlaces.Places, Place{Name: fmt.Sprintf("place-%d", i), Region: "lagos"})
	}
	manyPlaces.Groups = []TargetGroup{{Name: "g", Service: "s", Targets: []Target{
		{Name: "t", Address: "127.0.0.1:80", Place: "place-0", Slots: 1, Connections: 1},
	}}}
	manyPlaces.Routes = []Route{{Name: "r", Kind: RouteSearch, Groups: []string{"g"}}}
	if findings := Check(manyPlaces); len(findings) != 1 || findings[0].Code != CodeTooLarge {
		t.Errorf("set over the size limit: got %v, want one finding too-large", findings)
	}
	cases := map[string]struct {
		raw  string
		want Code
	}{
		"empty":              {"", CodeSyntax},
		"cut off":            {good[:len(good)-2], CodeSyntax},
		"text after the end": {good + "x", CodeSyntax},
		"nested too deep":    {strings.Repeat("[", 10_000), CodeSyntax},
		"no object":          {"[]", CodeWrongType},
		"over 1 MB":          {good + strings.Repeat(" ", MaxSetBytes), CodeTooLarge},
		"white space":        {edit(",", ", "), CodeNotCanonical},
		"explicit default":   {edit(`"connections":25}`, `"connections":25,"drain":false}`), CodeNotCanonical},
		"changed value":      {edit(`"slots":2`, `"slots":3`), CodeDigestMismatch},
		"changed generation": {edit(`"generation":7`, `"generation":8`), CodeDigestMismatch},
		"no generation":      {edit(`"generation":7,`, ``), CodeMissingField},
		"generation zero":    {edit(`"generation":7`, `"generation":0`), CodeBadGeneration},
		"generation text":    {edit(`"generation":7`, `"generation":"7"`), CodeBadGeneration},
		"repeated field":     {edit(`{"generation":7`, `{"generation":7,"generation":8`), CodeRepeatedField},
		"unknown field":      {edit(`{"generation":7`, `{"generation":7,"version":8`), CodeUnknownField},
		"broken reference":   {edit(`"kind":"place","name":"yaba"`, `"kind":"place","name":"aba"`), CodeBrokenReference},
	}
	for name, c := range cases {
		set, findings := Parse([]byte(c.raw))
		found := slices.ContainsFunc(findings, func(f Finding) bool {
			return f.Code == c.want && f.Message != "" && f.Remedy != ""
		})
		if set != nil || !found || len(findings) > 2*maxParseFindings {
			t.Errorf("%s: want a refusal with %s, got %d findings, the first: %v", name, c.want, len(findings), findings[:min(1, len(findings))])
		}
	}
}

// The decoder must never panic, and a set that it accepts must have exactly one
// canonical form; otherwise instances would disagree on the digest in force. The
// input is also read as an object file, because mutations of a bundle invalidate
// its digest, so that Parse refuses them.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallBundle))
	for _, file := range []string{"order-place-twice", "types", "unit", "limits-range", "address"} {
		raw, err := os.ReadFile("testdata/broken/" + file + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte(smallSet))
	f.Fuzz(func(t *testing.T, raw []byte) {
		set, findings := Parse(raw)
		if (set == nil) != (len(findings) > 0) {
			t.Fatalf("got set %v with findings %v, want either a set or findings", set, findings)
		}
		if set != nil {
			requireSameBundle(t, set, raw)
		}
		d := newDecoder()
		tree, err := readTree(raw)
		items, ok := tree.value.([]jsonNode)
		if err != nil || !ok {
			return
		}
		d.decodeObjects(items)
		if len(d.findings.list)+len(checkDraft(d.draft, 0)) > 0 {
			return
		}
		first, err := Bundle(&d.draft.set, 1)
		if err != nil {
			t.Fatalf("Bundle refused a set that passed the check: %v", err)
		}
		if set, findings = Parse(first); len(findings) > 0 {
			t.Fatalf("Parse refused the output of Bundle: %v\n%s", findings, first)
		}
		requireSameBundle(t, set, first)
	})
}

func requireSameBundle(t *testing.T, set *Set, raw []byte) {
	again, err := Bundle(set, set.Generation)
	if err != nil || !bytes.Equal(raw, again) {
		t.Fatalf("Parse accepted %q, but Bundle returned %q (error: %v)", raw, again, err)
	}
}

const smallSet = `[{"kind":"place","name":"a","region":"r"},{"kind":"place","name":"b","region":"r"},
{"kind":"target_group","name":"g","service":"s","connect_time":"1ms","targets":[
{"name":"t","address":"127.0.0.1:80","place":"a","slots":1,"connections":1},
{"name":"u","address":"[::1]:80","place":"b","slots":1,"connections":1,"drain":false}]},
{"kind":"route","name":"r","type":"booking","groups":["g"]},
{"kind":"order","name":"o","steps":[{"action":"leave","place":"a"}],"in_force":1},
{"kind":"limits","name":"l","hedge_share":0.5,"max_budget":"1.5s"}]`

// smallBundle is the canonical form of smallSet.
const smallBundle = `{"generation":1,"digest":"5c800fcdffbfbd21636c58dd920b509cf338945e8f6f9cc149fe1e395750a128","objects":[{"kind":"limits","name":"l","max_budget":"1.5s","max_body_bytes":65536,"max_in_flight":512,"hedge_share":0.5,"retry_share":0.1,"hedge_floor":"2ms","answer_reserve":0.05,"answer_reserve_floor":"5ms","warm_step":8,"reservation_ttl":"10m0s"},` +
	`{"kind":"order","name":"o","steps":[{"action":"leave","place":"a"}],"in_force":1},` +
	`{"kind":"place","name":"a","region":"r"},` +
	`{"kind":"place","name":"b","region":"r"},` +
	`{"kind":"route","name":"r","type":"booking","groups":["g"]},` +
	`{"kind":"target_group","name":"g","service":"s","connect_time":"1ms","targets":[` +
	`{"name":"t","address":"127.0.0.1:80","place":"a","slots":1,"connections":1},{"name":"u","address":"[::1]:80","place":"b","slots":1,"connections":1}]}]}`
