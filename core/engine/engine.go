package engine

import (
	"time"

	"galenadyke.dev/core/fleet"
	"galenadyke.dev/core/model"
	"galenadyke.dev/core/query"
)

// Engine is the decision core. It is not safe for concurrent use.
type Engine struct {
	fleet   *fleet.Fleet
	query   *query.Engine
	outputs []model.Output // of the latest Tick; reused by the next
}

// New returns an engine. It does not validate the configuration.
func New(cfg model.CoreConfig) *Engine {
	f := fleet.New(cfg)
	return &Engine{fleet: f, query: query.New(cfg, f)}
}

// Step passes an input to the planes that handle it. Its outputs follow with the
// next Tick.
func (e *Engine) Step(in model.Input) {
	switch in := in.(type) {
	case model.PeerInput:
		e.stepPeer(in)
	case model.PeerDown:
		e.fleet.Step(in)
		e.query.Step(in)
	case model.ProbeReply:
		e.fleet.Step(in)
		e.query.Step(in)
	case model.ConfigResult, model.PeerConfig, model.InstanceList,
		model.StatusCall, model.Shutdown:
		e.fleet.Step(in)
	default:
		e.query.Step(in)
	}
}

// stepPeer passes a peer message to the planes that handle it.
func (e *Engine) stepPeer(in model.PeerInput) {
	switch in.Message.(type) {
	case model.RelayRequest, model.RelayReply, model.RelayCancel,
		model.BookForward, model.BookOutcome, model.BookingHandover:
		e.query.Step(in)
	case model.LeadRelease:
		e.fleet.Step(in)
		e.query.Step(in)
	default:
		e.fleet.Step(in)
	}
}

// Tick handles the inputs since the last Tick and the timers that are due at now,
// and returns the outputs. The returned slice is valid until the next Tick.
func (e *Engine) Tick(now model.Now) []model.Output {
	e.outputs = e.outputs[:0]
	changes := e.fleet.Tick(now, &e.outputs)
	report := e.query.Tick(now, changes, &e.outputs)
	e.fleet.ApplyReport(now, report, &e.outputs)
	return e.outputs
}

// NextWake returns the time of the next timer on the Boot clock, or model.NoWake
// if there is none.
func (e *Engine) NextWake() time.Duration {
	return min(e.fleet.NextWake(), e.query.NextWake())
}
