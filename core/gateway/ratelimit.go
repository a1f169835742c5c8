package gateway

import (
	"math"
	"strconv"
	"time"
)

// A target that is overloaded may state in its answers how many requests a second it
// accepts from all instances together. The limit holds until an answer no longer states it.

// rateLimit is the rate limit of a target.
type rateLimit struct {
	stated bool
	rate   float64 // requests per second, over all instances
	// statedAt is when the last answer that stated the limit arrived.
	statedAt time.Duration
}

// observeRateLimit updates the rate limit of a target from the end of an attempt. Answers
// on different connections may overtake each other, so a limit ends only with the answer to
// an attempt that was sent after the limit was last stated.
func (g *Gateway) observeRateLimit(a *attempt, in AttemptEnded) {
	t := a.target
	before := t.rateLimit.String()
	switch {
	case !in.Outcome.answered():
		return
	case in.HasRateLimit && in.RateLimit >= 0 && !math.IsInf(in.RateLimit, 1):
		t.rateLimit = rateLimit{stated: true, rate: in.RateLimit, statedAt: g.now}
	case t.rateLimit.stated && a.sentAt > t.rateLimit.statedAt:
		t.rateLimit = rateLimit{}
	}
	if after := t.rateLimit.String(); after != before {
		g.emit(Event{Name: "TargetLimit", Subject: string(t.ID), Before: before, After: after, Warning: t.rateLimit.stated})
	}
}

// String returns the limit as it is logged.
func (l rateLimit) String() string {
	if !l.stated {
		return "none"
	}
	return strconv.FormatFloat(l.rate, 'g', 4, 64) + " requests a second"
}
