package gateway

import (
	"time"

	"galenadyke.dev/core/model"
)

// Output is an action that Tick returns for the driver to carry out.
type Output interface{ isOutput() }

// SendAttempt sends a request to a target once. Exactly one AttemptEnded follows.
type SendAttempt struct {
	Attempt AttemptID
	Request RequestID
	Target  model.TargetID
	Service ServiceID
	Address string
	// Deadline is the latest end of the attempt, CallerDeadline the deadline that the
	// target is told. Both are on the Boot clock.
	Deadline       time.Duration
	CallerDeadline time.Duration
	// Gather is set on a gathering route, where the answer is a Part.
	Gather bool
}

// Delegate asks another instance to answer a request on a gathering route. Exactly
// one AttemptEnded follows.
type Delegate struct {
	Attempt AttemptID
	Request RequestID
	To      string
	// Objective, Deadline and CallerDeadline are on the Boot clock. Configuration is
	// the version in force at this instance.
	Objective, Deadline, CallerDeadline time.Duration
	Configuration                       uint64
}

// SendBatch sends attempts of a gathering request through another instance. Any number of
// BatchReplied follow, and then exactly one BatchEnded.
type SendBatch struct {
	Batch   AttemptID // also cancels the whole batch in a CancelAttempt
	Request RequestID
	To      string
	Targets []model.TargetID
	// Route is the name of the route, TopK the maximum number of records in a reply.
	Route string
	TopK  int
	// ReportDelay is how long an end may wait to be reported together with others.
	ReportDelay time.Duration
	// Deadline and CallerDeadline are on the Boot clock, as in SendAttempt.
	Deadline, CallerDeadline time.Duration
}

// ReplyBatch reports ends of attempts to the instance that sent the batch. Done is set in
// the last one.
type ReplyBatch struct {
	Request RequestID
	Ends    []BatchEnd
	Records []byte
	// Configuration is the version in force at this instance, 0 if there is none.
	Configuration uint64
	Stopping      bool // whether this instance is about to stop
	Done          bool
}

// FollowStore selects the source of the store's changes: the store itself or
// another instance.
type FollowStore struct {
	From string // address of the instance, empty for the store
	// Watch is the maximum duration of a watch of the store, 0 if From is set.
	Watch time.Duration
}

// CancelAttempt ends an attempt early. The AttemptEnded of the attempt still
// follows.
type CancelAttempt struct{ Attempt AttemptID }

// OpenConnection opens a connection to a target before there is a request for it.
type OpenConnection struct {
	Target  model.TargetID
	Address string
}

// ProbeTarget opens a connection to a target to find out whether its process still listens. A
// connection that was opened may be used for requests. Exactly one TargetProbed follows.
type ProbeTarget struct {
	Target  model.TargetID
	Address string
	Timeout time.Duration
}

// CloseIdleConnections closes the idle connections to a removed target.
type CloseIdleConnections struct {
	Target  model.TargetID
	Address string
}

// AnswerKind classifies the answer that the caller gets.
type AnswerKind uint8

// The kinds of answer.
const (
	// AnswerTarget passes on the answer of an attempt.
	AnswerTarget AnswerKind = iota
	// AnswerGathered holds the merged answers from shards.
	AnswerGathered
	// AnswerNoRoute means that no route matches.
	AnswerNoRoute
	// AnswerRefused means that the request has not run and will not run; the caller
	// may retry after RetryAfter.
	AnswerRefused
	// AnswerFailed means that the request may have run without a usable answer.
	AnswerFailed
	// AnswerLate means that the deadline passed after the request was sent.
	AnswerLate
)

// String returns the name used in logs and metrics.
func (k AnswerKind) String() string {
	return [...]string{"target", "gathered", "no_route", "refused", "failed", "late"}[k]
}

// Answer answers a request that a caller sent or another instance delegated. Each
// request gets at most one Answer.
type Answer struct {
	Request RequestID
	Kind    AnswerKind
	// Attempt is set for AnswerTarget.
	Attempt AttemptID
	// Stamps, Missing and Records are set for AnswerGathered, as in Gathered.
	Stamps  []string
	Missing int
	Records []byte
	// RetryAfter is set for AnswerRefused. Held means that it was refused because the request
	// is held.
	RetryAfter time.Duration
	Held       bool
	// Reason explains to callers and in logs why there is no usable answer.
	Reason string
	// Route and Attempts describe the request for metrics and logs.
	Route    string
	Attempts int
	// Took is the time from the arrival to the answer, Configuration the version in
	// force when the request was answered.
	Took          time.Duration
	Configuration uint64
	// Steps are the decisions about the request; StepsDropped counts further steps
	// that were not kept.
	Steps        []Step
	StepsDropped int
	// Closing asks the caller to open another connection for its next request.
	Closing bool
}

// Served reports whether the caller gets a usable answer. An AnswerTarget with a
// Reason passes on a failure of the target.
func (a Answer) Served() bool {
	return a.Kind == AnswerGathered || a.Kind == AnswerTarget && a.Reason == ""
}

// ReadinessChanged reports whether the load balancer should send callers to this
// instance.
type ReadinessChanged struct {
	Ready  bool
	Reason string
}

// SendState sends a state message to an instance.
type SendState struct {
	To    string
	State StateMessage
}

// FetchState fetches the store's content from another instance.
type FetchState struct {
	From string
	// Complete requests everything instead of what has changed since the store's position
	// that this instance knows.
	Complete bool
}

// Event is a change of the instance's state or view of the fleet, for the log.
type Event struct {
	Name    string
	Subject string
	Before  string
	After   string
	Warning bool
}

// StopAccepting closes the listener and the idle connections of callers.
type StopAccepting struct{}

// Stopped reports that the graceful stop is complete.
type Stopped struct{}

func (SendAttempt) isOutput()          {}
func (Delegate) isOutput()             {}
func (SendBatch) isOutput()            {}
func (ReplyBatch) isOutput()           {}
func (FollowStore) isOutput()          {}
func (CancelAttempt) isOutput()        {}
func (OpenConnection) isOutput()       {}
func (ProbeTarget) isOutput()          {}
func (CloseIdleConnections) isOutput() {}
func (Answer) isOutput()               {}
func (ReadinessChanged) isOutput()     {}
func (SendState) isOutput()            {}
func (FetchState) isOutput()           {}
func (Event) isOutput()                {}
func (StopAccepting) isOutput()        {}
func (Stopped) isOutput()              {}
