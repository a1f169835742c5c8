package objects

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The examples are the deployments of the design page and the test fixtures of
// other packages. Guards against a check that refuses them and against targets
// lost in the round trip.
func TestExamplesRoundTrip(t *testing.T) {
	sizes := map[string][3]int{ // targets, slots, routes
		"lagos": {115, 230, 4},
		"atlas": {112, 372, 4},
	}
	for name, want := range sizes {
		t.Run(name, func(t *testing.T) {
			source, findings := Load([]string{"../../examples/" + name})
			if len(findings) > 0 {
				t.Fatalf("example set refused:\n%v", &CheckError{findings})
			}
			raw, err := Bundle(source.Set, 1)
			if err != nil {
				t.Fatal(err)
			}
			set, findings := Parse(raw)
			if len(findings) > 0 {
				t.Fatalf("Parse refused the output of Bundle:\n%v", &CheckError{findings})
			}
			got := [3]int{0, 0, len(set.Routes)}
			for _, g := range set.Groups {
				places := map[string]bool{}
				for _, target := range g.Targets {
					got[0]++
					got[1] += target.Slots
					places[target.Place] = true
				}
				if len(places) < 2 {
					t.Errorf("group %s has all targets in one place, want at least two places", g.Name)
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("targets, slots, routes (-want +got):\n%s", diff)
			}
			again, err := Bundle(set, 1)
			if err != nil || !bytes.Equal(raw, again) {
				t.Errorf("the bundle of the parsed set is refused or differs from the first bundle, want equal bundles (error: %v)", err)
			}
			if target, group := set.Target("order-desk-01"); name == "lagos" && (target == nil || group.Name != "order-desk") {
				t.Error("Target did not return order-desk-01 and its group order-desk")
			}
		})
	}
}
