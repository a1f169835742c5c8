package engine

import (
	"time"

	"galenadyke.dev/core/fleet"
	"galenadyke.dev/core/model"
	"galenadyke.dev/core/query"
)

// Engine is the decision core. It is not safe for concurrent use.
type Engine struct {
	fleet *fleet.Fleet
	query *query.Engine
	out   []model.Output
}

// New returns an engine. The configuration must have been validated.
func New(cfg model.CoreConfig) *Engine {
	f := fleet.New(cfg)
	return &Engine{fleet: f, query: query.New(cfg, f)}
}

// Step records an input for the next Tick.
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

// Tick runs the systems over what has changed or is due. The result is valid
// until the next call.
func (e *Engine) Tick(now model.Now) []model.Output {
	e.out = e.out[:0]
	changes := e.fleet.Tick(now, &e.out)
	report := e.query.Tick(now, changes, &e.out)
	e.fleet.Report(now, report, &e.out)
	return e.out
}

// NextWake is the time on the Boot clock of the next timer, or model.NoWake.
func (e *Engine) NextWake() time.Duration {
	return min(e.fleet.NextWake(), e.query.NextWake())
}
