package gateway

import (
	"math"
	"strconv"
	"time"
)

// A target that is overloaded may state in its answers how many requests a second it
// accepts from all instances together. The limit holds until an answer no longer states it.
//
// Each instance that sends to the target uses an equal share, so that the sum stays within
// the limit although the instances exchange no counts. The share is used up as a token
// bucket, and a target whose share is used up is not usable: a part goes to another target,
// and a request for which too few are left is refused at once. The attempts of a batch count
// at the instance that sent the batch.

// rateLimit is the rate limit of a target.
type rateLimit struct {
	stated bool
	rate   float64 // requests per second, over all instances
	// statedAt is when the last answer that stated the limit arrived.
	statedAt time.Duration
	// tokens is the number of requests that this instance may send, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
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
		if l := &t.rateLimit; l.stated {
			g.refillTokens(t)
		} else {
			// The random part keeps the instances from sending at the same time.
			l.stated, l.tokens, l.refilledAt = true, g.rng.Float64(), g.now
		}
		t.rateLimit.rate, t.rateLimit.statedAt = in.RateLimit, g.now
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

// withinRateLimit reports whether this instance may send the target one more request now.
func (g *Gateway) withinRateLimit(t *target) bool {
	if !t.rateLimit.stated {
		return true
	}
	g.refillTokens(t)
	return t.rateLimit.tokens >= 1
}

// countRateLimited takes a request to the target from this instance's share of the limit.
func (g *Gateway) countRateLimited(t *target) {
	if t.rateLimit.stated {
		g.refillTokens(t)
		t.rateLimit.tokens--
	}
}

// refillTokens adds the tokens since the last call, up to those of rateLimitBurst and at
// least one.
func (g *Gateway) refillTokens(t *target) {
	l := &t.rateLimit
	share := max(l.rate, minRateLimit) / float64(g.limitSharers(g.service(t.Service)))
	most := max(1, share*rateLimitBurst.Seconds())
	l.tokens = min(most, l.tokens+share*(g.now-l.refilledAt).Seconds())
	l.refilledAt = g.now
}

// limitSharers returns the number of instances among which the rate limits of a service's
// targets are divided. An instance that normally delegates requests takes a smaller share
// for those that it gathers itself, as the gathering instances use the limit too.
func (g *Gateway) limitSharers(s *service) int {
	if s.shard && !g.hasGatherCapacity(g.cfg.Capacity) {
		return g.fleetSize()
	}
	return g.sendingInstances(s)
}
