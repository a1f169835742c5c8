package fleet

import "galenadyke.dev/core/model"

// stopPhase is the progress of a graceful stop.
type stopPhase uint8

const (
	stopNone      stopPhase = iota
	stopDraining            // not ready, but serving new calls during the balancer delay
	stopFinishing           // no new calls, waiting for work in flight
	stopDone
)

func (p stopPhase) String() string {
	return [...]string{"none", "draining", "finishing", "done"}[p]
}

// stop holds the phase of the graceful stop, and the status calls to answer at
// the end of this tick.
type stop struct {
	stopPhase   stopPhase
	statusCalls []model.CallID
}

// handleShutdown begins a graceful stop. Peers that see the draining status
// exclude this instance from the ranking, so that the handover of its leads
// begins at once and not only after the balancer delay.
func (f *Fleet) handleShutdown() {
	if f.stopPhase != stopNone {
		return
	}
	f.setStopPhase(stopDraining)
	f.setSelfStatus(model.MemberDraining)
	f.startTimer(f.cfg.BalancerDelay, timer{kind: timerBalancerDelay})
	f.startTimer(f.cfg.StopTimeout, timer{kind: timerStopTimeout})
}

func (f *Fleet) setStopPhase(p stopPhase) {
	f.emitEvent("Stop", string(f.cfg.Self), f.stopPhase.String(), p.String())
	f.stopPhase = p
}

func (f *Fleet) balancerDelayExpired() {
	if f.stopPhase == stopDraining {
		f.setStopPhase(stopFinishing)
	}
}

func (f *Fleet) stopTimeoutExpired() {
	if f.stopPhase == stopDone {
		return
	}
	f.emitWarning("StopTimeout", string(f.cfg.Self), f.stopPhase.String(), "stopped with work in progress")
	f.completeStop()
}

// finishStopIfIdle completes the stop if new calls are refused and the data plane
// is idle.
func (f *Fleet) finishStopIfIdle(idle bool) {
	if f.stopPhase == stopFinishing && idle {
		f.completeStop()
	}
}

func (f *Fleet) completeStop() {
	f.setStopPhase(stopDone)
	f.emit(model.Stopped{})
}
