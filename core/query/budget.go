package query

import "galenadyke.dev/core/objects"

const (
	hedgeBurst = 10
	retryBurst = 20
)

// tokenBucket lets a share of the instance's own sub-requests be repeated. The
// shares of all instances add up to the same share of the fleet's work.
type tokenBucket struct {
	tokens float64
	share  float64
	burst  float64
}

func (b *tokenBucket) fill()    { b.tokens = b.burst }
func (b *tokenBucket) deposit() { b.tokens = min(b.burst, b.tokens+b.share) }

func (b *tokenBucket) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (e *Engine) setLimits(l objects.Limits) {
	if l == (objects.Limits{}) {
		l = objects.DefaultLimits()
	}
	e.limits = l
	e.hedgeBudget.share, e.hedgeBudget.burst = l.HedgeShare, hedgeBurst
	e.retryBudget.share, e.retryBudget.burst = l.RetryShare, retryBurst
}

// takeRetryToken takes one retry from the budget. The baselines do not retry.
func (e *Engine) takeRetryToken() bool { return !e.bypassesLeads() && e.retryBudget.withdraw() }
