package telemetry

import (
	"encoding/json"
	"expvar"
	"time"

	"galenadyke.dev/core/model"
)

// MetricInfo describes one metric for operators.
type MetricInfo struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	Help string `json:"help"`
}

// The names of the metrics of galenadyked run, under which GET /debug/vars shows
// them.
const (
	metricCalls             = "calls"
	metricCallErrors        = "call_errors"
	metricCallRefused       = "calls_refused_at_the_api"
	metricCallsInFlight     = "calls_in_flight"
	metricCallSeconds       = "call_seconds"
	metricSubRequests       = "sub_requests"
	metricHedges            = "hedges"
	metricRetries           = "retries"
	metricRestarts          = "restarts"
	metricPartialAnswers    = "partial_answers"
	metricTargetReplies     = "target_replies"
	metricTargetErrors      = "target_errors"
	metricTargetResets      = "target_resets"
	metricTargetConnections = "target_connections_opened"
	metricFramesSent        = "frames_sent"
	metricFramesReceived    = "frames_received"
	metricLinksBroken       = "links_broken"
	metricConfigReads       = "config_reads"
	metricConfigReadErrors  = "config_read_errors"
	metricListReads         = "instance_list_reads"
	metricListReadErrors    = "instance_list_read_errors"
	metricTicks             = "ticks"
	metricInputs            = "inputs"
	metricTickSeconds       = "tick_seconds"
	metricLoopQueue         = "loop_queue"
	metricLogDropped        = "log_lines_dropped"
	metricEvents            = "events"
	metricReady             = "ready"
)

// metricTable documents every metric of galenadyked run. GET /v1/metrics-help
// serves it.
var metricTable = []MetricInfo{
	{metricCalls, "calls", "Calls that were not refused by the API and have ended, by kind of call."},
	{metricCallErrors, "calls", "Calls that were not refused by the API and ended with an error, by kind of error."},
	{metricCallRefused, "calls", "Calls refused before they reached the core, by kind of error."},
	{metricCallsInFlight, "calls", "Calls in flight, which were not refused by the API and have not ended yet."},
	{metricCallSeconds, "seconds", "Sum of the times from arrival to answer, by kind of call; divide by calls for the mean."},
	{metricSubRequests, "requests", "First attempts of the sub-requests of searches that this instance answered."},
	{metricHedges, "requests", "Hedges of searches that this instance answered. Limit: hedge_share of sub_requests."},
	{metricRetries, "requests", "Retries of searches that this instance answered. Limit: retry_share of sub_requests; retries of attempts that reached no target or whose lead was lost don't count towards it."},
	{metricRestarts, "queries", "Restarts of searches on a newer index version."},
	{metricPartialAnswers, "calls", "Searches answered with a coverage below 1."},
	{metricTargetReplies, "requests", "Completed requests to targets, by whether the target executed them."},
	{metricTargetErrors, "requests", "Requests to targets that failed, by kind of error."},
	{metricTargetResets, "requests", "Requests to targets whose connection was refused or broken by the target."},
	{metricTargetConnections, "connections", "Connections opened to targets."},
	{metricFramesSent, "frames", "Messages written to other instances."},
	{metricFramesReceived, "frames", "Messages read from other instances."},
	{metricLinksBroken, "streams", "Streams to other instances that broke or could not be opened."},
	{metricConfigReads, "reads", "Reads and watches of the configuration service."},
	{metricConfigReadErrors, "reads", "Reads and watches of the configuration service that failed."},
	{metricListReads, "reads", "Reads and watches of the instance list."},
	{metricListReadErrors, "reads", "Reads and watches of the instance list that failed."},
	{metricTicks, "ticks", "Ticks of the core."},
	{metricInputs, "inputs", "Inputs that the core processed."},
	{metricTickSeconds, "seconds", "Sum of the times that the ticks of the core took, including the start of their outputs."},
	{metricLoopQueue, "inputs", "Inputs queued for the core."},
	{metricLogDropped, "lines", "Log lines dropped because of the rate limit of their name or a slow reader of the log."},
	{metricEvents, "events", "State changes of the core, by name, whether logged or not."},
	{metricReady, "0 or 1", "1 while the instance is ready for calls, 0 while it is not."},
}

// MetricTable returns the description of every metric of galenadyked run, in the
// order of the documentation.
func MetricTable() []MetricInfo { return metricTable }

// The kinds of call, as named in metrics and spans.
const (
	CallSearch     = "search"
	CallBook       = "book"
	CallBookingIDs = "booking-ids"
	CallStatus     = "status"
)

// Metrics holds the metrics of galenadyked run. Its methods may be called from any
// goroutine.
type Metrics struct {
	root expvar.Map

	calls, callErrors, callRefused, callSeconds *expvar.Map
	callsInFlight                               *expvar.Int
	subRequests, hedges, retries, restarts      *expvar.Int
	partialAnswers                              *expvar.Int
	targetReplies, targetErrors                 *expvar.Map
	targetResets, targetConnections             *expvar.Int
	framesSent, framesReceived, linksBroken     *expvar.Int
	configReads, configReadErrors               *expvar.Int
	listReads, listReadErrors                   *expvar.Int
	ticks, inputs                               *expvar.Int
	tickSeconds                                 *expvar.Float
	logDropped                                  *expvar.Int
	events                                      *expvar.Map
	ready                                       *expvar.Int
}

// NewMetrics returns metrics that start at zero.
func NewMetrics() *Metrics {
	m := &Metrics{}
	m.root.Init()
	m.calls, m.callErrors, m.callRefused, m.callSeconds = m.newMap(metricCalls), m.newMap(metricCallErrors), m.newMap(metricCallRefused), m.newMap(metricCallSeconds)
	m.callsInFlight = m.newInt(metricCallsInFlight)
	m.subRequests, m.hedges, m.retries, m.restarts = m.newInt(metricSubRequests), m.newInt(metricHedges), m.newInt(metricRetries), m.newInt(metricRestarts)
	m.partialAnswers = m.newInt(metricPartialAnswers)
	m.targetReplies, m.targetErrors = m.newMap(metricTargetReplies), m.newMap(metricTargetErrors)
	m.targetResets, m.targetConnections = m.newInt(metricTargetResets), m.newInt(metricTargetConnections)
	m.framesSent, m.framesReceived, m.linksBroken = m.newInt(metricFramesSent), m.newInt(metricFramesReceived), m.newInt(metricLinksBroken)
	m.configReads, m.configReadErrors = m.newInt(metricConfigReads), m.newInt(metricConfigReadErrors)
	m.listReads, m.listReadErrors = m.newInt(metricListReads), m.newInt(metricListReadErrors)
	m.ticks, m.inputs = m.newInt(metricTicks), m.newInt(metricInputs)
	m.tickSeconds = new(expvar.Float)
	m.root.Set(metricTickSeconds, m.tickSeconds)
	m.logDropped = m.newInt(metricLogDropped)
	m.events = m.newMap(metricEvents)
	m.ready = m.newInt(metricReady)
	return m
}

func (m *Metrics) newInt(name string) *expvar.Int {
	v := new(expvar.Int)
	m.root.Set(name, v)
	return v
}

func (m *Metrics) newMap(name string) *expvar.Map {
	v := new(expvar.Map).Init()
	m.root.Set(name, v)
	return v
}

// SetQueueLength adds the metric loop_queue. Each read of the metric calls queued.
func (m *Metrics) SetQueueLength(queued func() int) {
	m.root.Set(metricLoopQueue, expvar.Func(func() any { return queued() }))
}

// Vars returns the JSON that GET /debug/vars serves: the metrics, and the command line
// and memory statistics that expvar publishes.
func (m *Metrics) Vars() []byte { return marshalVars(&m.root) }

// marshalVars returns the metrics of root and the variables that expvar publishes
// as a JSON object.
func marshalVars(root *expvar.Map) []byte {
	all := map[string]json.RawMessage{"galenadyke": json.RawMessage(root.String())}
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	raw, err := json.Marshal(all)
	if err != nil {
		return []byte("{}")
	}
	return raw
}

// CallStarted counts a call that was not refused as in flight.
func (m *Metrics) CallStarted() { m.callsInFlight.Add(1) }

// CallEnded counts the end of a call that CallStarted has counted. latency is the time
// since its arrival. call is one of the kinds of call, kind is the kind of its error.
func (m *Metrics) CallEnded(call string, kind model.Kind, latency time.Duration) {
	m.callsInFlight.Add(-1)
	m.calls.Add(call, 1)
	m.callSeconds.AddFloat(call, latency.Seconds())
	if kind != model.KindNone {
		m.callErrors.Add(kind.String(), 1)
	}
}

// CallRefused counts a call that was refused before it reached the core.
func (m *Metrics) CallRefused(kind model.Kind) { m.callRefused.Add(kind.String(), 1) }

// SearchAnswered adds the sub-requests, hedges, retries and restarts of a search to the
// counters, and counts a partial answer.
func (m *Metrics) SearchAnswered(a *model.SearchAnswer) {
	m.subRequests.Add(int64(a.Stats.SubRequests))
	m.hedges.Add(int64(a.Stats.Hedges))
	m.retries.Add(int64(a.Stats.Retries))
	m.restarts.Add(int64(a.Stats.Restarts))
	if a.Error == nil && a.Searched < a.Total {
		m.partialAnswers.Add(1)
	}
}

// TargetReplied implements backend.Metrics.
func (m *Metrics) TargetReplied(r model.TargetReply) {
	m.targetReplies.Add(r.Execution.String(), 1)
	if r.Error != model.KindNone {
		m.targetErrors.Add(r.Error.String(), 1)
	}
	if r.Reset {
		m.targetResets.Add(1)
	}
}

// ConnectionOpened implements backend.Metrics.
func (m *Metrics) ConnectionOpened() { m.targetConnections.Add(1) }

// FrameSent implements peer.Metrics.
func (m *Metrics) FrameSent() { m.framesSent.Add(1) }

// FrameReceived implements peer.Metrics.
func (m *Metrics) FrameReceived() { m.framesReceived.Add(1) }

// StreamBroken implements peer.Metrics.
func (m *Metrics) StreamBroken() { m.linksBroken.Add(1) }

// ConfigRead implements platform.Metrics.
func (m *Metrics) ConfigRead(ok bool) { countRead(m.configReads, m.configReadErrors, ok) }

// ListRead implements platform.Metrics.
func (m *Metrics) ListRead(ok bool) { countRead(m.listReads, m.listReadErrors, ok) }

func countRead(all, failed *expvar.Int, ok bool) {
	all.Add(1)
	if !ok {
		failed.Add(1)
	}
}

// Ticked counts a tick of the core that processed a number of inputs in elapsed.
func (m *Metrics) Ticked(inputs int, elapsed time.Duration) {
	m.ticks.Add(1)
	m.inputs.Add(int64(inputs))
	m.tickSeconds.Add(elapsed.Seconds())
}

// LogDropped implements DropCounter.
func (m *Metrics) LogDropped() { m.logDropped.Add(1) }

// EventSeen counts a state change of the core, whether it is logged or not.
func (m *Metrics) EventSeen(name string) { m.events.Add(name, 1) }

// SetReady sets ready to 1 if the instance is ready, else to 0.
func (m *Metrics) SetReady(ready bool) {
	m.ready.Set(0)
	if ready {
		m.ready.Set(1)
	}
}
