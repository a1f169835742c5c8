package gateway

import "time"

// retryBudget bounds the attempts of one service beyond the first of each
// request, over a sliding window. Each instance spends the ratio of the requests
// that it saw itself and an equal share of the slack, so that the sum over all
// instances stays within the bound without any of them knowing the others'
// counts.
type retryBudget struct {
	requests [budgetBuckets + 1]float64
	extras   [budgetBuckets + 1]float64
	// current is the number of the latest bucket since the start of the clock.
	current int64
}

// BudgetLimits are the operator's bounds of attempts beyond the first.
type BudgetLimits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64 // over all instances
}

func (b *retryBudget) advance(now time.Duration, limits BudgetLimits) int {
	bucket := int64(now / max(1, limits.Window/budgetBuckets))
	if bucket-b.current > budgetBuckets {
		b.current = bucket - budgetBuckets - 1
	}
	for b.current < bucket {
		b.current++
		i := int(b.current % (budgetBuckets + 1))
		b.requests[i], b.extras[i] = 0, 0
	}
	return int(b.current % (budgetBuckets + 1))
}

// arrived counts a request for the service.
func (b *retryBudget) recordRequest(now time.Duration, limits BudgetLimits) {
	b.requests[b.advance(now, limits)]++
}

// spent counts an attempt beyond the first.
func (b *retryBudget) recordExtra(now time.Duration, limits BudgetLimits) {
	b.extras[b.advance(now, limits)]++
}

// budgetLeft is what is left of a budget.
type remainingBudget struct {
	// attempts may still be made now; share is their share of the allowance.
	attempts, share float64
	// perRequest is the whole allowance for each request of the window.
	perRequest float64
}

// left returns what is left now. The extras of one more bucket than the window
// are counted, so that no window of the same length holds more.
func (b *retryBudget) remaining(now time.Duration, limits BudgetLimits, instances int) remainingBudget {
	oldest := (b.advance(now, limits) + 1) % (budgetBuckets + 1)
	requests, extras := 0.0, 0.0
	for i := range b.requests {
		extras += b.extras[i]
		if i != oldest {
			requests += b.requests[i]
		}
	}
	allowance := budgetSafetyFactor * (limits.Ratio*requests + limits.Slack/float64(instances))
	if allowance <= 0 {
		return remainingBudget{}
	}
	return remainingBudget{attempts: allowance - extras, share: (allowance - extras) / allowance, perRequest: allowance / max(1, requests)}
}

// rateLimit counts the requests to a cold target in the last second.
type recentRequests struct{ times []time.Duration }

// recent returns the times of the requests in the last second.
func (l *recentRequests) recent(now time.Duration) []time.Duration {
	keep := l.times[:0]
	for _, at := range l.times {
		if now-at < time.Second {
			keep = append(keep, at)
		}
	}
	l.times = keep
	return keep
}

func (l *recentRequests) add(now time.Duration) { l.times = append(l.times, now) }
