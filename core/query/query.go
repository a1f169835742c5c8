package query

import (
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// Engine is the data plane of one instance. It is not safe for concurrent use.
type Engine struct {
	cfg  model.CoreConfig
	view view.View
}

// New returns a data plane that reads the control plane through v.
func New(cfg model.CoreConfig, v view.View) *Engine { return &Engine{cfg: cfg, view: v} }

// Step records an input for the next Tick.
func (e *Engine) Step(model.Input) {}

// Tick runs the systems of the data plane and appends to out.
func (e *Engine) Tick(model.Now, view.Changes, *[]model.Output) view.Report { return view.Report{} }

// NextWake is the time on the Boot clock of the next timer.
func (e *Engine) NextWake() time.Duration { return model.NoWake }
