package query

import "galenadyke.dev/core/objects"

const (
	hedgeBurst = 10 // largest number of hedges in a burst
	retryBurst = 20 // largest number of retries in a burst
)

// tokenBucket limits hedges or retries to a share of the sub-requests that this
// instance starts as entry instance or owner. Because every instance keeps to the
// share, so does the whole tier.
type tokenBucket struct {
	tokens float64
	share  float64 // tokens added for each own sub-request
	burst  float64 // largest number of tokens
}

func (b *tokenBucket) fill() { b.tokens = b.burst }

// deposit adds the tokens that one own sub-request earns.
func (b *tokenBucket) deposit() { b.tokens = min(b.burst, b.tokens+b.share) }

// withdraw takes a token and reports whether there was one.
func (b *tokenBucket) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// setLimits puts the limits into force, or the default limits if l is zero.
func (e *Engine) setLimits(l objects.Limits) {
	if l == (objects.Limits{}) {
		l = objects.DefaultLimits()
	}
	e.limits = l
	e.hedgeBudget.share, e.hedgeBudget.burst = l.HedgeShare, hedgeBurst
	e.retryBudget.share, e.retryBudget.burst = l.RetryShare, retryBurst
}

// takeRetryToken takes a token from the retry budget and reports whether a retry
// may be sent. The result is always false for the baseline policies.
func (e *Engine) takeRetryToken() bool { return !e.bypassesLeads() && e.retryBudget.withdraw() }
