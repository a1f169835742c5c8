// Package view is the interface between the control plane and the data plane: the
// state that the data plane reads, the changes that it reacts to and what it reports
// back. It also holds the timing constants that both planes share.
package view

import (
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// Readiness says whether the instance may send new work to targets.
type Readiness struct {
	OK bool
	// Kind is KindNotReady or KindUnconfirmed if OK is false.
	Kind model.Kind
}

// TargetInfo is what an instance knows about a target.
type TargetInfo struct {
	// Known is false until a published state or a probe reply has been received.
	Known       bool
	Incarnation model.Incarnation
	// Level is the warm-up level as last published by the lead, 0 if the target
	// is down.
	Level int
	// Draining is true if the target reports that it is draining.
	Draining bool
	// Versions is sorted by version and must not be modified.
	Versions []model.VersionReport
}

// Lead says who leads a target.
type Lead struct {
	// Instance is empty if there is no eligible member.
	Instance model.InstanceID
	Address  string
	// Incarnation is that of Instance, or zero if it is not known.
	Incarnation model.Incarnation
	// Self is true if this instance leads the target.
	Self bool
	// Active is true if Self is true and the handover is complete, so that this
	// instance may send work to the target.
	Active bool
}

// View gives the data plane read access to the control plane. It is valid only
// during a tick. The slices and pointers that it returns must not be modified.
type View interface {
	// Set returns the configuration in force, or nil if there is none yet.
	Set() *objects.Set
	// Readiness reports whether new work may be sent now.
	Readiness() Readiness
	// Stopping reports whether the balancer delay of a graceful stop has passed:
	// new calls are then refused, and work in flight is completed.
	Stopping() bool
	// Lead returns the lead of the target.
	Lead(model.TargetID) Lead
	// Target returns what is known about the target.
	Target(model.TargetID) TargetInfo
	// Eligible reports whether the target may get new work. It must be published,
	// not drained by the configuration or by its own report, and its place must be
	// in service and, after a return, admitted.
	Eligible(model.TargetID) bool
	// PeerAddress returns the address of an instance, or false if it is not known.
	PeerAddress(model.InstanceID) (string, bool)
	// Successor returns the member that takes over the booking ids of this
	// instance when it stops. It is empty if there is none.
	Successor() model.InstanceID
	// SuccessorOf returns the member that took over the booking ids of another
	// instance that has stopped, according to the ranking of the current members.
	// It is empty if there is none.
	SuccessorOf(model.InstanceID) model.InstanceID
}

// Changes lists what changed in the control plane during its tick. The data plane
// re-reads only what is listed here.
type Changes struct {
	// Set is true if a new configuration came into force.
	Set bool
	// Readiness is true if Readiness changed.
	Readiness bool
	// Targets lists targets whose lead, state or eligibility changed, sorted.
	Targets []model.TargetID
	// LostPeers lists instances that were found to be dead or restarted, sorted.
	LostPeers []model.InstanceID
}

// Observation is what the data plane learned about a target that this
// instance leads. The control plane publishes it.
type Observation struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	Level       int
}

// DrainedTarget says that this instance has no more work at a target that it no
// longer leads, so that the lead can be released.
type DrainedTarget struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	Level       int
}

// Report is what the data plane reports to the control plane after a tick.
type Report struct {
	Observations []Observation
	Drained      []DrainedTarget
	// Idle is true if no call, work or booking is in progress and, during a stop,
	// the booking ids have been handed over to the successor, if there is one.
	Idle bool
}

// Timing constants of both planes, fixed by the design page.
const (
	// ExchangeInterval is the time between state exchanges of one instance.
	ExchangeInterval = 200 * time.Millisecond
	// PingTimeout is how long an instance waits for the answer to a ping.
	PingTimeout = 300 * time.Millisecond
	// SuspicionTimeout is how long a suspected member has to refute the suspicion
	// before it is excluded.
	SuspicionTimeout = time.Second
	// HandoverTimeout is how long a new lead waits for the release by the former
	// lead.
	HandoverTimeout = time.Second
	// ProbeInterval is the time between probes of a target by its lead.
	ProbeInterval = 500 * time.Millisecond
	// ConfirmMaxAge is the age at which the confirmation of the configuration in
	// force lapses.
	ConfirmMaxAge = 2 * time.Second
	// WatchWait is the longest time that a read of the configuration service may
	// wait for a change.
	WatchWait = time.Second
	// MinSuspension is the shortest delay that counts as a suspension of the
	// process: a timer was due, but no tick has run for longer than this.
	MinSuspension = 500 * time.Millisecond
	// ReturnGateTimeout is the longest time that a returning place waits for the
	// previously admitted place to warm up.
	ReturnGateTimeout = 30 * time.Second
)
