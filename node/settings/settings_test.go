package settings

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against defaults that are not valid once the instance and place are set,
// and against settings that are printed but not read.
func TestDefaultsPrintedAndReadBack(t *testing.T) {
	s := Defaults()
	s.Instance, s.Place = "a-1", "ikeja"
	got, findings := Parse(s.JSON())
	if len(findings) != 0 {
		t.Fatal(findings)
	}
	if diff := cmp.Diff(s, got); diff != "" {
		t.Error(diff)
	}
	var printed map[string]any
	if err := json.Unmarshal(s.JSON(), &printed); err != nil {
		t.Fatal(err)
	}
	for name := range s.fields() {
		delete(printed, name)
	}
	if len(printed) != 0 {
		t.Errorf("settings that are printed but not read: got %v, want none", printed)
	}
}

// Guards against a check that stops at the first fault, and against accepting a
// misspelt field, a host name or an address that other instances can't reach.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	_, findings := Parse([]byte(`{"instance":"a b","place":"ikeja","http_listen":"localhost:80","grpc_listen":"0.0.0.0:81",
		"config_url":"http://consul:8500","config_key":"","instances_url":"ftp://10.0.0.1","policy":"best","seed":-1,
		"balancer_delay":5,"stop_timeout":"1ms","log_level":"loud","span_exporter":"file","trace_ring":-1,
		"colour":1,"place":"lekki","instances_service":null}`))
	got := map[string]int{}
	for _, f := range findings {
		got[f.Field]++
		if f.Message == "" || f.Remedy == "" {
			t.Errorf("got finding %+v, want a message and a remedy", f)
		}
	}
	want := map[string]int{"instance": 1, "http_listen": 1, "grpc_listen": 1, "config_url": 1, "config_key": 1,
		"instances_url": 1, "policy": 1, "seed": 1, "balancer_delay": 1, "stop_timeout": 1, "log_level": 1,
		"span_file": 1, "trace_ring": 1, "colour": 1, "place": 1, "instances_service": 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a panic on a damaged file, and against a file with data after the
// settings that is accepted.
func TestDamagedFilesAreRefused(t *testing.T) {
	s := Defaults()
	s.Instance, s.Place = "a", "p"
	for _, raw := range []string{"", "[]", `{"instance"`, `{"instance":}`, `{"instance":"a"`, string(s.JSON()) + "{}"} {
		if _, findings := Parse([]byte(raw)); len(findings) == 0 {
			t.Errorf("%q: got no findings, want at least one", raw)
		}
	}
}
