package fleet

import (
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/view"
)

// Fleet is the control plane of one instance. It is not safe for concurrent
// use.
type Fleet struct {
	cfg model.CoreConfig
}

var _ view.View = (*Fleet)(nil)

// New returns a control plane without a configuration.
func New(cfg model.CoreConfig) *Fleet { return &Fleet{cfg: cfg} }

// Step records an input for the next Tick.
func (f *Fleet) Step(model.Input) {}

// Tick runs the systems of the control plane and appends to out.
func (f *Fleet) Tick(model.Now, *[]model.Output) view.Changes { return view.Changes{} }

// Report takes over the data plane's result of the same tick.
func (f *Fleet) Report(model.Now, view.Report, *[]model.Output) {}

// NextWake is the time on the Boot clock of the next timer.
func (f *Fleet) NextWake() time.Duration { return model.NoWake }

// Set implements view.View.
func (f *Fleet) Set() *objects.Set { return nil }

// Readiness implements view.View.
func (f *Fleet) Readiness() view.Readiness { return view.Readiness{Kind: model.KindNotReady} }

// Stopping implements view.View.
func (f *Fleet) Stopping() bool { return false }

// Lead implements view.View.
func (f *Fleet) Lead(model.TargetID) view.Lead { return view.Lead{} }

// Target implements view.View.
func (f *Fleet) Target(model.TargetID) view.TargetInfo { return view.TargetInfo{} }

// Eligible implements view.View.
func (f *Fleet) Eligible(model.TargetID) bool { return false }

// PeerAddress implements view.View.
func (f *Fleet) PeerAddress(model.InstanceID) (string, bool) { return "", false }

// Successor implements view.View.
func (f *Fleet) Successor() model.InstanceID { return "" }
