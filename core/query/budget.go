package query

import "galenadyke.dev/core/objects"

const (
	hedgeBurst = 10
	retryBurst = 20
)

// budget lets a share of the instance's own sub-requests be repeated. The
// shares of all instances add up to the same share of the fleet's work.
type budget struct {
	tokens float64
	share  float64
	burst  float64
}

func (b *budget) fill() { b.tokens = b.burst }
func (b *budget) earn() { b.tokens = min(b.burst, b.tokens+b.share) }

func (b *budget) spend() bool {
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
	e.hedges.share, e.hedges.burst = l.HedgeShare, hedgeBurst
	e.retries.share, e.retries.burst = l.RetryShare, retryBurst
}

// mayRetry takes one retry from the budget. The baselines do not retry.
func (e *Engine) mayRetry() bool { return !e.direct() && e.retries.spend() }
