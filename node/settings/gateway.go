package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"
)

// Gateway holds the settings of galenadyked gateway, the daemon that serves a
// platform's routes. Settings that depend on the platform have no default.
type Gateway struct {
	// Instance is the unique id of this instance.
	Instance string `json:"instance"`
	// Place is the data centre that the process runs in.
	Place string `json:"place"`
	// CallerListen is the IP address and port for callers.
	CallerListen string `json:"caller_listen"`
	// ReadyListen and ReadyPath are the IP address and port, and the path, at which the
	// balancer checks readiness.
	ReadyListen string `json:"ready_listen"`
	ReadyPath   string `json:"ready_path"`
	// ControlListen is the IP address and port at which operators read metrics and
	// check that the process runs.
	ControlListen string `json:"control_listen"`
	// MetricsListen is a further address that serves the same as ControlListen,
	// for the platform to read metrics from; empty for none.
	MetricsListen string `json:"metrics_listen"`
	// PeerListen is the IP address and port for other instances, over TCP and UDP.
	// Other instances reach this one at exactly this address.
	PeerListen string `json:"peer_listen"`
	// Seeds are IP addresses with ports at which other instances may run. The ports are
	// ignored: all instances use the port of PeerListen.
	Seeds []string `json:"seeds"`
	// Store is the IP address and port of the platform's store.
	Store string `json:"store"`
	// FirstStart is set when the whole system starts for the first time. It saves a call
	// to the store: nothing that the store may still answer can have been withdrawn.
	FirstStart bool `json:"first_start"`
	// RetryRatio, RetryWindow and RetrySlack bound the attempts beyond the first
	// of each request. In any period of RetryWindow, all instances together send
	// at most RetryRatio x requests + RetrySlack such attempts to each service.
	RetryRatio  float64  `json:"retry_ratio"`
	RetryWindow Duration `json:"retry_window"`
	RetrySlack  float64  `json:"retry_slack"`
	// ColdOvershoot and ColdSlack bound the requests per second that all instances
	// together send to a cold target: its warm-up rate x ColdOvershoot + ColdSlack.
	ColdOvershoot float64 `json:"cold_overshoot"`
	ColdSlack     float64 `json:"cold_slack"`
	// StopTimeout is the maximum duration of a graceful stop.
	StopTimeout Duration `json:"stop_timeout"`
	// Capacity is the processor capacity that the instance may use, in cores.
	Capacity float64 `json:"capacity"`
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes;
	// 0 sets no limit.
	MemoryMB int `json:"memory_mb"`
	// MaxConnections bounds the connections that callers may have open. They also take at most
	// half of the descriptors of the process and a quarter of MemoryMB.
	MaxConnections int `json:"max_connections"`
	// DigestKey is the key of the digests by which instances tell each other of requests
	// that crash targets. It must be the same at all instances.
	DigestKey string `json:"digest_key"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	Spans
}

// DefaultMaxConnections is the default bound on the connections of callers.
const DefaultMaxConnections = 2048

// GatewayDefaults returns the default settings. Settings that depend on the
// platform are empty.
func GatewayDefaults() Gateway {
	return Gateway{
		ReadyPath:      "/readyz",
		Seeds:          []string{},
		RetryRatio:     0.2,
		RetryWindow:    Duration(10 * time.Second),
		RetrySlack:     50,
		ColdOvershoot:  1.5,
		ColdSlack:      5,
		StopTimeout:    Duration(6 * time.Second),
		Capacity:       1,
		MaxConnections: DefaultMaxConnections,
		LogLevel:       "info",
		Spans:          Spans{SpanExporter: ExporterNone},
	}
}

// LoadGateway reads and checks a settings file. The settings are valid only if
// there are no findings.
func LoadGateway(path string) (Gateway, []Finding) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, []Finding{{Message: err.Error(), Remedy: "name a readable file; `galenadyked settings --gateway` prints one to start from"}}
	}
	return ParseGateway(raw)
}

// ParseGateway reads and checks settings in JSON. Missing fields keep their
// defaults. The settings are valid only if there are no findings.
func ParseGateway(raw []byte) (Gateway, []Finding) {
	s := GatewayDefaults()
	findings := decode(raw, s.fields())
	return s, mergeFindings(findings, s.Validate())
}

// JSON returns the settings as an indented JSON document.
func (s Gateway) JSON() []byte {
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err) // cannot fail: the struct has plain fields only
	}
	return append(raw, '\n')
}

// fields maps the JSON names to pointers to the fields.
func (s *Gateway) fields() map[string]any {
	return map[string]any{
		"instance": &s.Instance, "place": &s.Place,
		"caller_listen": &s.CallerListen, "ready_listen": &s.ReadyListen, "ready_path": &s.ReadyPath,
		"control_listen": &s.ControlListen, "metrics_listen": &s.MetricsListen, "peer_listen": &s.PeerListen, "seeds": &s.Seeds, "store": &s.Store,
		"first_start": &s.FirstStart,
		"retry_ratio": &s.RetryRatio, "retry_window": &s.RetryWindow, "retry_slack": &s.RetrySlack,
		"cold_overshoot": &s.ColdOvershoot, "cold_slack": &s.ColdSlack,
		"stop_timeout": &s.StopTimeout, "capacity": &s.Capacity, "memory_mb": &s.MemoryMB, "max_connections": &s.MaxConnections, "digest_key": &s.DigestKey, "log_level": &s.LogLevel,
		"span_exporter": &s.SpanExporter, "span_file": &s.SpanFile,
	}
}

// Validate returns the faults of all settings, none if they are valid.
func (s Gateway) Validate() []Finding {
	c := &checker{}
	c.checkName("instance", s.Instance)
	c.checkName("place", s.Place)
	listeners := []struct{ field, value string }{
		{"caller_listen", s.CallerListen}, {"ready_listen", s.ReadyListen},
		{"control_listen", s.ControlListen}, {"peer_listen", s.PeerListen},
	}
	if s.MetricsListen != "" {
		listeners = append(listeners, struct{ field, value string }{"metrics_listen", s.MetricsListen})
	}
	for i, l := range listeners {
		c.checkAddress(l.field, l.value)
		if slices.ContainsFunc(listeners[:i], func(other struct{ field, value string }) bool { return other.value == l.value }) {
			c.report(l.field, "use another port", "is the address of another listener")
		}
	}
	c.checkAddress("store", s.Store)
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			c.report("seeds", "use IP addresses with ports; host names are refused", "%q is not an address", seed)
		}
	}
	if len(s.ReadyPath) == 0 || s.ReadyPath[0] != '/' {
		c.report("ready_path", "give a path that begins with a slash", "%q is not a path", s.ReadyPath)
	}
	c.checkNotNegative("retry_ratio", s.RetryRatio)
	c.checkNotNegative("retry_slack", s.RetrySlack)
	c.checkNotNegative("cold_overshoot", s.ColdOvershoot)
	c.checkNotNegative("cold_slack", s.ColdSlack)
	c.checkNotNegative("capacity", s.Capacity)
	c.checkNotNegative("memory_mb", float64(s.MemoryMB))
	c.checkPositive("max_connections", s.MaxConnections)
	c.checkDuration("retry_window", s.RetryWindow, time.Second)
	c.checkDuration("stop_timeout", s.StopTimeout, time.Second)
	c.checkOneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	s.validateSpans(c)
	return c.findings
}

// ChangesNeedingRestart returns the JSON names of the settings that differ in next
// and can't change while the process runs.
func (s Gateway) ChangesNeedingRestart(next Gateway) []string {
	var names []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"instance", s.Instance == next.Instance}, {"place", s.Place == next.Place}, {"store", s.Store == next.Store},
		{"caller_listen", s.CallerListen == next.CallerListen}, {"ready_listen", s.ReadyListen == next.ReadyListen},
		{"ready_path", s.ReadyPath == next.ReadyPath}, {"control_listen", s.ControlListen == next.ControlListen},
		{"peer_listen", s.PeerListen == next.PeerListen}, {"capacity", s.Capacity == next.Capacity},
		{"memory_mb", s.MemoryMB == next.MemoryMB}, {"max_connections", s.MaxConnections == next.MaxConnections},
		{"digest_key", s.DigestKey == next.DigestKey}, {"log_level", s.LogLevel == next.LogLevel},
		{"metrics_listen", s.MetricsListen == next.MetricsListen},
		{"span_exporter", s.SpanExporter == next.SpanExporter}, {"span_file", s.SpanFile == next.SpanFile},
	} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}

func (c *checker) checkPositive(field string, value int) {
	if value < 1 {
		c.report(field, "use 1 or more", "%d is below 1", value)
	}
}

func (c *checker) checkNotNegative(field string, value float64) {
	if value < 0 {
		c.report(field, "use 0 or more", "%v is negative", value)
	}
}

// PeerSeeds returns the seeds with the port of PeerListen. It fails if PeerListen is not
// an IP address with a port, or if a seed has no port.
func (s Gateway) PeerSeeds() ([]string, error) {
	listen, err := netip.ParseAddrPort(s.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	var peers []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, fmt.Errorf("seeds: %w", err)
		}
		peers = append(peers, net.JoinHostPort(host, strconv.Itoa(int(listen.Port()))))
	}
	return peers, nil
}
