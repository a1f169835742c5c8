package fleet

import "galenadyke.dev/core/model"

// stopPhase is the progress of a graceful stop.
type stopPhase uint8

const (
	stopNone      stopPhase = iota
	stopDraining            // not ready, still serving while the balancer reacts
	stopFinishing           // no new calls, work in flight ends
	stopDone
)

func (p stopPhase) String() string {
	return [...]string{"none", "draining", "finishing", "done"}[p]
}

// stop holds the graceful stop and the pending status calls.
type stop struct {
	stopPhase   stopPhase
	statusCalls []model.CallID
}

// shutdown begins a graceful stop. As soon as peers see the draining state
// they rank this instance out, so that its leads are handed over at once and
// not only after the balancer delay.
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
	f.event("Stop", string(f.cfg.Self), f.stopPhase.String(), p.String())
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
	f.warn("StopTimeout", string(f.cfg.Self), f.stopPhase.String(), "stopped with work in progress")
	f.completeStop()
}

// finishStop ends the stop when the data plane has nothing left to do.
func (f *Fleet) finishStopIfIdle(idle bool) {
	if f.stopPhase == stopFinishing && idle {
		f.completeStop()
	}
}

func (f *Fleet) completeStop() {
	f.setStopPhase(stopDone)
	f.emit(model.Stopped{})
}
