package settings

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// gatewayFile returns valid settings with one part replaced.
func gatewayFile(old, with string) []byte {
	return []byte(strings.Replace(`{"instance":"front-1","place":"ikeja","caller_listen":"10.0.0.1:80","ready_listen":"10.0.0.1:81",
"control_listen":"10.0.0.1:82","peer_listen":"10.0.0.1:83","seeds":["10.0.0.2:82"],"store":"10.0.0.9:84","retry_window":"10s"}`, old, with, 1))
}

// Guards against faulty settings that are found one at a time, or at run time.
func TestGatewayFindings(t *testing.T) {
	if _, findings := ParseGateway(gatewayFile("", "")); len(findings) != 0 {
		t.Fatalf("valid settings: %v", findings)
	}
	for _, tc := range []struct{ old, with, field string }{
		{`"front-1"`, `""`, "instance"},
		{`10.0.0.1:80`, `host:80`, "caller_listen"},
		{`10.0.0.1:83`, `10.0.0.1:80`, "peer_listen"},
		{`10.0.0.2:82`, `seed.example:82`, "seeds"},
		{`10.0.0.9:84`, ``, "store"},
		{`"10s"`, `"10"`, "retry_window"},
		{`"seeds"`, `"sseeds"`, "sseeds"},
		{`"retry_window":"10s"`, `"retry_ratio":-1`, "retry_ratio"},
	} {
		_, findings := ParseGateway(gatewayFile(tc.old, tc.with))
		if !slices.ContainsFunc(findings, func(f Finding) bool { return f.Field == tc.field && f.Remedy != "" }) {
			t.Errorf("%s -> %s: findings %v, want one of %s", tc.old, tc.with, findings, tc.field)
		}
	}
}

// Guards against printed defaults that the check refuses for their form: only what
// the platform chooses is missing.
func TestGatewayDefaultsLackOnlyWhatThePlatformChooses(t *testing.T) {
	_, findings := ParseGateway(GatewayDefaults().JSON())
	var fields []string
	for _, f := range findings {
		if !slices.Contains(fields, f.Field) {
			fields = append(fields, f.Field)
		}
	}
	if diff := cmp.Diff([]string{"instance", "place", "caller_listen", "ready_listen", "control_listen", "peer_listen", "store"}, fields); diff != "" {
		t.Error(diff)
	}
}

// Guards against seeds that are asked at the wrong port, and against a reload
// that hides what needs a restart.
func TestGatewaySeedsAndFixedChanges(t *testing.T) {
	s, _ := ParseGateway(gatewayFile("", ""))
	seeds, err := s.PeerSeeds()
	if diff := cmp.Diff([]string{"10.0.0.2:83"}, seeds); diff != "" || err != nil {
		t.Error(diff, err)
	}
	next, _ := ParseGateway(gatewayFile(`"ikeja"`, `"lekki"`))
	next.RetrySlack++
	if diff := cmp.Diff([]string{"place"}, s.FixedChanges(next)); diff != "" {
		t.Error(diff)
	}
}
