package telemetry

import (
	"encoding/json"
	"expvar"
	"fmt"
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
