package gateway

import (
	"fmt"
	"slices"
	"time"
)

// A target that turns a request away may state how long it wants nothing from this instance.
// It gets no attempt until then, directly or for another instance. The others are not told, as
// the time is not meant for them. After it the target gets one attempt at a time until it
// answers one, so that a queue does not reach it at once.

// pause is what a target has asked of this instance.
type pause struct {
	until time.Duration
	// returning is set until the target has answered an attempt that was sent after the pause.
	returning bool
}

// observePause updates the pause of a target from the end of an attempt. A pause is never
// shortened: answers on different connections may overtake each other.
func (g *Gateway) observePause(a *attempt, in AttemptEnded) {
	p := &a.target.pause
	if in.Pause <= 0 {
		if in.Outcome.answered() && a.sentAt >= p.until {
			p.returning = false
		}
		return
	}
	until := g.now + min(in.Pause, maxPause)
	if p.until <= g.now {
		g.emit(Event{Name: "TargetPaused", Subject: string(a.target.ID), Before: "open",
			After: fmt.Sprintf("wants nothing for %v", (until - g.now).Round(time.Millisecond)), Warning: true})
	}
	p.returning = true
	if until > p.until {
		p.until = until
		s := g.service(a.target.Service)
		g.after(until-g.now, func() { g.dispatch(s) })
	}
}

// pauseLeft returns the time until enough services of a request have a target that does not
// pause, 0 if they have now or too few have a target at all.
func (g *Gateway) pauseLeft(r *request) time.Duration {
	var left []time.Duration // for each service that has targets
	for i := range r.parts {
		earliest, found := time.Duration(0), false
		for _, t := range r.parts[i].service.targets {
			if g.isEligible(t) && (!found || t.pause.until < earliest) {
				earliest, found = t.pause.until, true
			}
		}
		if found {
			left = append(left, max(0, earliest-g.now))
		}
	}
	if len(left) < r.requiredParts() {
		return 0
	}
	slices.Sort(left)
	return left[r.requiredParts()-1]
}
