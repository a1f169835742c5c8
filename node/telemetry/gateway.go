package telemetry

import (
	"bytes"
	"encoding/json"
	"expvar"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"

	"galenadyke.dev/core/gateway"
)

// gatewayMetricTable documents every metric of a gateway.
var gatewayMetricTable = []MetricInfo{
	{"gateway_answers", "answers", "Answers to callers, by outcome."},
	{"gateway_route_answers", "answers", "Answers to callers, by route and outcome."},
	{"gateway_route_latency_ms", "milliseconds", "Time from the arrival of a request to its answer, by route and quantile, since the start."},
	{"gateway_attempts_sent", "requests", "Requests sent to targets."},
	{"gateway_attempts", "requests", "Requests to targets that ended, by outcome."},
	{"gateway_delegated", "requests", "Requests that another instance gathered, by outcome."},
	{"gateway_connections_opened", "connections", "Connections opened to targets."},
	{"gateway_callers_left", "requests", "Requests whose caller closed its connection before the answer."},
	{"gateway_unread", "requests", "Requests that could not be read, by cause."},
	{"gateway_events", "events", "Changes of what the instance believes, by name, logged or not."},
	{"gateway_not_ready", "0 or 1", "1 while the balancer should send callers elsewhere."},
	{"log_lines_dropped", "lines", "Log lines not written, because of their rate or a slow reader."},
}

// GatewayMetricTable returns the description of every metric of a gateway.
func GatewayMetricTable() []MetricInfo { return gatewayMetricTable }

const (
	// maxRoutes bounds the routes that have metrics of their own; the others count
	// as one route named "other".
	maxRoutes = 64
	// Latencies are kept from 1 ms to a minute with two significant digits.
	maxLatencyMS  = 60_000
	latencyDigits = 2
)

// GatewayMetrics counts what a gateway does. Its methods may be called from any
// goroutine.
type GatewayMetrics struct {
	root                                          expvar.Map
	answers, routeAnswers, attempts, events       *expvar.Map
	unread, delegated                             *expvar.Map
	sent, connections, left, logDropped, notReady *expvar.Int

	mu      sync.Mutex // guards latency
	latency map[string]*hdrhistogram.Histogram
}

// NewGatewayMetrics returns metrics that start at zero.
func NewGatewayMetrics() *GatewayMetrics {
	m := &GatewayMetrics{latency: make(map[string]*hdrhistogram.Histogram)}
	m.root.Init()
	group := func(name string) *expvar.Map {
		v := new(expvar.Map).Init()
		m.root.Set(name, v)
		return v
	}
	count := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.root.Set(name, v)
		return v
	}
	m.answers, m.routeAnswers = group("gateway_answers"), group("gateway_route_answers")
	m.attempts, m.events, m.unread = group("gateway_attempts"), group("gateway_events"), group("gateway_unread")
	m.delegated = group("gateway_delegated")
	m.sent, m.connections = count("gateway_attempts_sent"), count("gateway_connections_opened")
	m.left, m.logDropped, m.notReady = count("gateway_callers_left"), count("log_lines_dropped"), count("gateway_not_ready")
	m.root.Set("gateway_route_latency_ms", expvar.Func(func() any { return m.quantiles() }))
	return m
}

// quantiles returns the latencies by route and quantile.
func (m *GatewayMetrics) quantiles() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int64, 3*len(m.latency))
	for route, h := range m.latency {
		for _, q := range []float64{50, 95, 99} {
			out[fmt.Sprintf("%s/p%.0f", route, q)] = h.ValueAtQuantile(q)
		}
	}
	return out
}

// Vars returns the metrics as JSON, in expvar's form.
func (m *GatewayMetrics) Vars() []byte {
	all := map[string]json.RawMessage{"galenadyke": json.RawMessage(m.root.String())}
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	raw, err := json.Marshal(all)
	if err != nil {
		return []byte("{}")
	}
	return raw
}

// Text returns the metrics as lines of a name, a label in braces where there is
// one, and a value.
func (m *GatewayMetrics) Text() []byte {
	var out bytes.Buffer
	m.root.Do(func(kv expvar.KeyValue) {
		switch v := kv.Value.(type) {
		case *expvar.Map:
			v.Do(func(of expvar.KeyValue) { fmt.Fprintf(&out, "%s{of=%q} %s\n", kv.Key, of.Key, of.Value) })
		case expvar.Func:
			quantiles := m.quantiles()
			for _, of := range slices.Sorted(maps.Keys(quantiles)) {
				fmt.Fprintf(&out, "%s{of=%q} %d\n", kv.Key, of, quantiles[of])
			}
		default:
			fmt.Fprintf(&out, "%s %s\n", kv.Key, v)
		}
	})
	return out.Bytes()
}

// Answered counts an answer to a caller, and its time by route.
func (m *GatewayMetrics) Answered(a gateway.Answer, took time.Duration) {
	m.answers.Add(a.Kind.String(), 1)
	route := m.record(a.Route, took)
	m.routeAnswers.Add(route+"/"+a.Kind.String(), 1)
}

// record keeps a latency and returns the name under which the route counts.
func (m *GatewayMetrics) record(route string, took time.Duration) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if route == "" {
		route = "none"
	}
	if m.latency[route] == nil && len(m.latency) >= maxRoutes {
		route = "other"
	}
	h := m.latency[route]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMS, latencyDigits)
		m.latency[route] = h
	}
	_ = h.RecordValue(min(maxLatencyMS, max(1, took.Milliseconds()))) // in range
	return route
}

// AttemptSent counts a request to a target.
func (m *GatewayMetrics) AttemptSent() { m.sent.Add(1) }

// AttemptEnded counts the end of a request to a target, by outcome.
func (m *GatewayMetrics) AttemptEnded(o gateway.Outcome) { m.attempts.Add(o.String(), 1) }

// Delegated counts the end of a request that another instance gathered.
func (m *GatewayMetrics) Delegated(o gateway.Outcome) { m.delegated.Add(o.String(), 1) }

// CallerLeft counts a caller that closed its connection before the answer.
func (m *GatewayMetrics) CallerLeft() { m.left.Add(1) }

// Unread counts a request that could not be read, by cause.
func (m *GatewayMetrics) Unread(cause string) { m.unread.Add(cause, 1) }

// ConnectionOpened counts a connection to a target.
func (m *GatewayMetrics) ConnectionOpened() { m.connections.Add(1) }

// EventSeen counts a change of what the instance believes, logged or not.
func (m *GatewayMetrics) EventSeen(name string) { m.events.Add(name, 1) }

// SetReady sets the metric of readiness.
func (m *GatewayMetrics) SetReady(ready bool) {
	m.notReady.Set(1)
	if ready {
		m.notReady.Set(0)
	}
}

// LogDropped counts a line that was not written.
func (m *GatewayMetrics) LogDropped() { m.logDropped.Add(1) }

// GatewayEvent writes a change of what a gateway believes.
func (l *Log) GatewayEvent(e gateway.Event) {
	level := log.InfoLevel
	if e.Warning {
		level = log.WarnLevel
	}
	l.line(level, e.Name, log.Fields{"subject": e.Subject, "before": e.Before, "after": e.After})
}

// GatewayAnswer writes the end of a request with the decisions that led to it.
// Lines have names by outcome, and each name has its own bound, so that
// successes never displace failures. delegated says that another instance gets
// the answer for its caller.
func (l *Log) GatewayAnswer(trace string, delegated bool, a gateway.Answer) {
	fields := log.Fields{"request": trace, "route": a.Route, "outcome": a.Kind.String(), "took_ms": milliseconds(a.Took),
		"attempts": a.Attempts, "missing": a.Missing, "configuration": a.Configuration}
	if a.Reason != "" {
		fields["reason"] = a.Reason
	}
	if delegated {
		fields["delegated"] = true
	}
	if a.Kind == gateway.AnswerRefused {
		fields["retry_after_ms"] = milliseconds(a.RetryAfter)
	}
	if len(a.Steps) > 0 {
		steps := make([]string, len(a.Steps))
		for i, s := range a.Steps {
			steps[i] = fmt.Sprintf("%.1f ms: %s %s: %s", milliseconds(s.After), s.Action, s.Subject, s.Detail)
		}
		fields["steps"] = steps
	}
	if a.StepsDropped > 0 {
		fields["steps_left_out"] = a.StepsDropped
	}
	l.line(log.InfoLevel, requestLine(a), fields)
}

// requestLine returns the name of the line at the end of a request.
func requestLine(a gateway.Answer) string {
	switch {
	case a.Kind == gateway.AnswerGathered && a.Missing > 0:
		return "RequestPartial"
	case a.Kind == gateway.AnswerGathered, a.Kind == gateway.AnswerTarget && a.Reason == "":
		return "RequestServed"
	case a.Kind == gateway.AnswerRefused:
		return "RequestRefused"
	case a.Kind == gateway.AnswerNoRoute:
		return "RequestNoRoute"
	case a.Kind == gateway.AnswerLate:
		return "RequestLate"
	default:
		return "RequestFailed"
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
