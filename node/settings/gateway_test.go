package settings

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// gatewayFile returns valid settings with the first occurrence of old replaced.
func gatewayFile(old, replacement string) []byte {
	return []byte(strings.Replace(`{"instance":"front-1","place":"ikeja","caller_listen":"10.0.0.1:80","ready_listen":"10.0.0.1:81",
"control_listen":"10.0.0.1:82","peer_listen":"10.0.0.1:83","seeds":["10.0.0.2:82"],"store":"10.0.0.9:84","retry_window":"10s"}`, old, replacement, 1))
}

// Guards against faulty settings that are accepted, and against findings without
// a field or a remedy.
func TestGatewayFindings(t *testing.T) {
	if _, findings := ParseGateway(gatewayFile("", "")); len(findings) != 0 {
		t.Fatalf("valid settings: got findings %v, want none", findings)
	}
	for _, tc := range []struct{ old, replacement, field string }{
		{`"front-1"`, `""`, "instance"},
		{`10.0.0.1:80`, `host:80`, "caller_listen"},
		{`10.0.0.1:83`, `10.0.0.1:80`, "peer_listen"},
		{`10.0.0.2:82`, `seed.example:82`, "seeds"},
		{`10.0.0.9:84`, ``, "store"},
		{`"10s"`, `"10"`, "retry_window"},
		{`"seeds"`, `"sseeds"`, "sseeds"},
		{`"retry_window":"10s"`, `"retry_ratio":-1`, "retry_ratio"},
	} {
		_, findings := ParseGateway(gatewayFile(tc.old, tc.replacement))
		if !slices.ContainsFunc(findings, func(f Finding) bool { return f.Field == tc.field && f.Remedy != "" }) {
			t.Errorf("%s replaced by %s: got findings %v, want one of field %s with a remedy", tc.old, tc.replacement, findings, tc.field)
		}
	}
}

// Guards against printed defaults that are not valid, apart from the settings that have
// no default.
func TestGatewayDefaultsLackOnlyPlatformSettings(t *testing.T) {
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

// Guards against seeds with the port of a listener other than peer_listen, and against
// changed settings that need a restart and are not named.
func TestGatewaySeedsAndChangesNeedingRestart(t *testing.T) {
	s, _ := ParseGateway(gatewayFile("", ""))
	seeds, err := s.PeerSeeds()
	if diff := cmp.Diff([]string{"10.0.0.2:83"}, seeds); diff != "" || err != nil {
		t.Error(diff, err)
	}
	next, _ := ParseGateway(gatewayFile(`"ikeja"`, `"lekki"`))
	next.RetrySlack++
	if diff := cmp.Diff([]string{"place"}, s.ChangesNeedingRestart(next)); diff != "" {
		t.Error(diff)
	}
}
