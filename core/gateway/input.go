package gateway

import (
	"time"

	"galenadyke.dev/core/model"
)

// RequestID identifies a caller's request within a process.
type RequestID uint64

// AttemptID identifies an attempt, that is, one request to a target or to another
// instance, within a process.
type AttemptID uint64

// Input is an event that a driver passes to Step.
type Input interface{ isInput() }

// Arrived reports a caller's request whose head and body have been read.
type Arrived struct {
	Request RequestID
	Host    string
	Path    string
	// At is the time at which the request was read, on the Boot clock. Remaining is
	// how long the caller waits from then on, 0 if the caller did not state it.
	At        time.Duration
	Remaining time.Duration
	// Digest identifies the request by its content, and AttemptID is the caller's ID of this
	// attempt. Organisation is the caller's organisation, empty if the protocol states none.
	Digest       RequestDigest
	Organisation string
	AttemptID    string
	// Delegated is set if another instance delegated the request on behalf of its
	// caller, nil if the caller sent the request to this instance.
	Delegated *Delegation
}

// Delegation describes a request that another instance passed on to be gathered
// here.
type Delegation struct {
	// Objective and Deadline are the times left from the arrival until the latency
	// objective and until the latest useful answer.
	Objective, Deadline time.Duration
	// Configuration is the version in force at the other instance.
	Configuration uint64
}

// CallerDisconnected reports that the caller has closed its connection.
type CallerDisconnected struct{ Request RequestID }

// Outcome classifies the end of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeSuccess is a complete answer with a 2xx status.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure is a complete answer from the target with another status; the
	// request ran.
	OutcomeFailure
	// OutcomeRejected is a complete answer that states that the target did not run
	// the request because the request itself is faulty.
	OutcomeRejected
	// OutcomeShed is an answer that states that the target did not run the request
	// now and may run it later.
	OutcomeShed
	// OutcomeMisdirected means that another target has the address; the request did
	// not run.
	OutcomeMisdirected
	// OutcomeNotSent means that nothing was written; the request did not run.
	OutcomeNotSent
	// OutcomeBroken means that the exchange failed after the request was written;
	// the request may have run.
	OutcomeBroken
	// OutcomeTimedOut means that no answer came before the deadline or the
	// cancellation; the request may have run.
	OutcomeTimedOut
)

// ran reports whether the target may have run the request.
func (o Outcome) ran() bool {
	switch o {
	case OutcomeRejected, OutcomeShed, OutcomeMisdirected, OutcomeNotSent:
		return false
	default:
		return true
	}
}

// reachedTarget reports whether the attempt may have reached a target.
func (o Outcome) reachedTarget() bool { return o != OutcomeNotSent }

// answered reports whether the target sent a complete answer of its own.
func (o Outcome) answered() bool {
	switch o {
	case OutcomeSuccess, OutcomeFailure, OutcomeRejected, OutcomeShed:
		return true
	default:
		return false
	}
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"success", "failure", "rejected", "shed", "misdirected", "not_sent", "broken", "timed_out"}[o]
}

// AttemptEnded reports the end of an attempt. Each SendAttempt and each Delegate is
// followed by exactly one AttemptEnded.
type AttemptEnded struct {
	Attempt AttemptID
	Outcome Outcome
	// Status is the status of a complete answer, 0 if there is none.
	Status int
	// Part is the answer from a shard; it is set for a success on a gathering route.
	Part Part
	// Gathered is the answer from another instance; it is set for a success of a
	// Delegate.
	Gathered Gathered
	// Configuration is the version in force at the other instance; it is set for
	// each answer to a Delegate.
	Configuration uint64
	// HeldFor is how long callers should wait, by the other instance, because the request is
	// held; it is set for such a refusal of a Delegate.
	HeldFor time.Duration
	// Load is the target's report, valid if HasLoad.
	Load    Load
	HasLoad bool
	// ColdFor is how much longer the target stays cold by its own report, valid if
	// HasCold.
	ColdFor time.Duration
	HasCold bool
	// RateLimit is the number of requests a second that the target accepts from all
	// instances together, valid if HasRateLimit.
	RateLimit    float64
	HasRateLimit bool
	// Leaving is set if the target's answer states that it is about to end.
	Leaving bool
	// Pause is how long the target wants nothing from this instance, 0 if it did not turn the
	// request away with such a time.
	Pause time.Duration
	// Reused is false if a connection had to be opened. Connect is how long opening
	// the connection took, 0 if none was opened.
	Reused  bool
	Connect time.Duration
	// ConnectRefused is set if nothing was sent because the target's address refused the
	// connection.
	ConnectRefused bool
	// Cause describes a failure for the log.
	Cause string
}

// Load is a target's report of its load: its numbers of running requests, of waiting
// requests and of slots.
type Load struct{ Running, Waiting, Slots int }

// Gathered is the answer from an instance that gathered for another instance.
type Gathered struct {
	Stamps  []string // stamps of the answered parts
	Missing int      // number of parts without an answer
	Records []byte   // merged records of the answered parts
}

// Part is the answer from one shard.
type Part struct {
	Stamp   string // the target's proof that it ran the request
	Records []byte
}

// BatchArrived reports attempts that another instance passed on to be sent from here.
type BatchArrived struct {
	Request RequestID
	Targets []model.TargetID
	// Route is the name of the route, TopK the maximum number of records in a reply.
	Route string
	TopK  int
	// ReportDelay is how long an end may wait to be reported together with others.
	ReportDelay time.Duration
	// At is the time at which the batch was read, on the Boot clock. The other times count
	// from then on: until the latest end of the attempts, and until the caller stops waiting.
	At, Deadline, Remaining time.Duration
	// Digest, Organisation and AttemptID are those of the request, as in Arrived.
	Digest       RequestDigest
	Organisation string
	AttemptID    string
}

// BatchEnd is the end of one attempt of a batch.
type BatchEnd struct {
	Index int // of the attempt in the batch
	// Refused means that the forwarder did not send the attempt, and that End is not set.
	Refused bool
	// End has no records; the records of all successful attempts of a reply are merged.
	End AttemptEnded
}

// BatchReplied reports the ends of some attempts of a SendBatch.
type BatchReplied struct {
	Batch AttemptID
	Ends  []BatchEnd
	// Records are the greatest records of the successful attempts in Ends.
	Records []byte
	// Configuration is the version in force at the forwarder, 0 if unknown.
	Configuration uint64
	// Stopping means that the forwarder is about to stop.
	Stopping bool
}

// BatchEnded reports the end of a SendBatch. Exactly one follows each SendBatch, after all
// BatchReplied. Outcome tells whether attempts without a reported end may have run.
type BatchEnded struct {
	Batch   AttemptID
	Outcome Outcome
	Cause   string
}

// ProbeResult is the result of a probe.
type ProbeResult uint8

// The results of a probe.
const (
	// ProbeConnected means that a process listens at the target's address.
	ProbeConnected ProbeResult = iota
	// ProbeRefused means that no process listens there.
	ProbeRefused
	// ProbeFailed means that the connect timed out or failed otherwise, which shows nothing.
	ProbeFailed
)

// String returns the name used in metrics.
func (r ProbeResult) String() string { return [...]string{"connected", "refused", "failed"}[r] }

// TargetProbed reports the result of a ProbeTarget. Exactly one follows each ProbeTarget.
type TargetProbed struct {
	Target model.TargetID
	Result ProbeResult
}

// ConfigurationRead carries a configuration that passed Check.
type ConfigurationRead struct{ Configuration *Configuration }

// StoreRead is a consistent change of the platform's store.
type StoreRead struct {
	// Era and Revision are the store's position after the change.
	Era      uint64
	Revision uint64
	// Complete means that Targets and Evacuated replace everything that is known.
	// Otherwise Targets are added or updated, Removed are removed, and data centres in
	// Evacuated are evacuated and those in Restored no longer are.
	Complete  bool
	Targets   []Target
	Removed   []model.TargetID
	Evacuated []model.PlaceID
	Restored  []model.PlaceID
	// Relayed means that the change came from another instance.
	Relayed bool
}

func (in StoreRead) position() StorePosition { return StorePosition{in.Era, in.Revision} }

// StoreAnswered reports that the store answered, with or without a change, Age ago.
type StoreAnswered struct{ Age time.Duration }

// StoreFailed reports that a call to the store failed.
type StoreFailed struct{ Cause string }

// SourceFailed reports that the instance at address From no longer sends the
// store's changes.
type SourceFailed struct{ From, Cause string }

// StateReceived carries a state message from another instance.
type StateReceived struct{ State StateMessage }

// LimitsChanged carries reloaded settings.
type LimitsChanged struct{ Limits Limits }

// Stop starts the graceful stop.
type Stop struct{}

func (Arrived) isInput()            {}
func (CallerDisconnected) isInput() {}
func (AttemptEnded) isInput()       {}
func (BatchArrived) isInput()       {}
func (BatchReplied) isInput()       {}
func (BatchEnded) isInput()         {}
func (TargetProbed) isInput()       {}
func (ConfigurationRead) isInput()  {}
func (StoreRead) isInput()          {}
func (StoreAnswered) isInput()      {}
func (StoreFailed) isInput()        {}
func (SourceFailed) isInput()       {}
func (StateReceived) isInput()      {}
func (LimitsChanged) isInput()      {}
func (Stop) isInput()               {}
