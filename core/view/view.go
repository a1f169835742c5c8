// Package view is the narrow interface through which the data plane reads the
// control plane.
package view

import (
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// Readiness says whether new work may be sent.
type Readiness struct {
	OK bool
	// Kind is KindNotReady or KindUnconfirmed if OK is false.
	Kind model.Kind
}

// TargetInfo is what an instance knows of a target.
type TargetInfo struct {
	// Known is false until a state or a probe has been seen.
	Known       bool
	Incarnation model.Incarnation
	// Level is the warm level as last published by the lead, 0 if down.
	Level    int
	Draining bool
	// Versions is sorted by version and must not be changed.
	Versions []model.VersionReport
}

// Lead says who leads a target.
type Lead struct {
	// Instance is empty if no eligible member exists.
	Instance model.InstanceID
	Address  string
	// Incarnation is that of the instance, as far as known; zero if not.
	Incarnation model.Incarnation
	// Self is true if this instance leads the target.
	Self bool
	// Active is true if Self and the handover is over, so that work may be
	// sent.
	Active bool
}

// View is the read side of the control plane. It is valid during a tick. A
// slice or pointer that it returns must not be changed.
type View interface {
	// Set is the configuration in force, nil before the first.
	Set() *objects.Set
	// Readiness says whether new work may be sent at this time.
	Readiness() Readiness
	// Stopping is true once the balancer delay of a graceful stop is over: new
	// calls are refused and work in flight ends.
	Stopping() bool
	// Lead says who leads the target.
	Lead(model.TargetID) Lead
	// Target is what is known of the target.
	Target(model.TargetID) TargetInfo
	// Eligible reports whether the target may get new work: published, not
	// set to drain, not draining by its own report, its place in service and
	// admitted after a return.
	Eligible(model.TargetID) bool
	// PeerAddress is the address of an instance, false if it is not known.
	PeerAddress(model.InstanceID) (string, bool)
	// Successor is the next ranked member, which takes over the booking ids of
	// a stopping instance. It is empty if there is none.
	Successor() model.InstanceID
	// SuccessorOf is the member that took over the booking ids of another
	// instance that has stopped, as far as the ranking of the present members
	// tells. It is empty if there is none.
	SuccessorOf(model.InstanceID) model.InstanceID
}

// Changes lists what changed in the control plane during its tick. The data
// plane looks only at these.
type Changes struct {
	// Set is true if another configuration came into force.
	Set bool
	// Readiness is true if Readiness changed.
	Readiness bool
	// Targets lists targets whose lead, state or eligibility changed, sorted.
	Targets []model.TargetID
	// LostPeers lists instances that were found dead or restarted, sorted.
	LostPeers []model.InstanceID
}

// Observation is what the data plane learned about a target that this
// instance leads. The control plane publishes it.
type Observation struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	Level       int
}

// Drained says that this instance has no more work at a target that it no
// longer leads, so that the lead can be released.
type Drained struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	Level       int
}

// Report is the data plane's result of a tick for the control plane.
type Report struct {
	Observations []Observation
	Drained      []Drained
	// Idle is true if no call, work or booking is in progress.
	Idle bool
}

// Timing holds the constants of both planes that the design page fixes.
const (
	ExchangeInterval  = 200 * time.Millisecond
	PingTimeout       = 300 * time.Millisecond
	SuspicionTime     = time.Second
	HandoverWait      = time.Second
	ProbeInterval     = 500 * time.Millisecond
	ConfirmMaxAge     = 2 * time.Second
	WatchWait         = time.Second
	SuspensionGap     = 500 * time.Millisecond
	ReturnGateTimeout = 30 * time.Second
)
