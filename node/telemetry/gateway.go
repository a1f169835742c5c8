package telemetry

import (
	"encoding/json"
	"expvar"
	"time"

	"github.com/apex/log"

	"galenadyke.dev/core/gateway"
)

// GatewayMetrics counts what a gateway does. Its methods may be called from any
// goroutine.
type GatewayMetrics struct {
	root                                          expvar.Map
	answers, answerSeconds, attempts, events      *expvar.Map
	unread, delegated                             *expvar.Map
	sent, connections, left, logDropped, notReady *expvar.Int
}

// NewGatewayMetrics returns metrics that start at zero.
func NewGatewayMetrics() *GatewayMetrics {
	m := &GatewayMetrics{}
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
	m.answers, m.answerSeconds = group("gateway_answers"), group("gateway_answer_seconds")
	m.attempts, m.events, m.unread = group("gateway_attempts"), group("gateway_events"), group("gateway_unread")
	m.delegated = group("gateway_delegated")
	m.sent, m.connections = count("gateway_attempts_sent"), count("gateway_connections_opened")
	m.left, m.logDropped, m.notReady = count("gateway_callers_left"), count("log_lines_dropped"), count("gateway_not_ready")
	return m
}

// Vars returns the metrics as JSON.
func (m *GatewayMetrics) Vars() []byte {
	all := map[string]json.RawMessage{"galenadyke": json.RawMessage(m.root.String())}
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	raw, err := json.Marshal(all)
	if err != nil {
		return []byte("{}")
	}
	return raw
}

// Answered counts an answer to a caller, by kind, and its time by route.
func (m *GatewayMetrics) Answered(a gateway.Answer, took time.Duration) {
	m.answers.Add(a.Kind.String(), 1)
	m.answerSeconds.AddFloat(a.Kind.String(), took.Seconds())
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

// GatewayAnswer writes an answer that is not a target's own or a whole one.
func (l *Log) GatewayAnswer(trace string, a gateway.Answer) {
	if a.Reason == "" && a.Missing == 0 {
		return
	}
	l.line(log.InfoLevel, "Answer_"+a.Kind.String(), log.Fields{"request": trace, "route": a.Route, "reason": a.Reason,
		"attempts": a.Attempts, "missing": a.Missing})
}
