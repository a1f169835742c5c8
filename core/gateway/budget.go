package gateway

import "time"

// retryBudget bounds the attempts at one service beyond the first of each request
// (the extras) over a sliding window. Each instance may spend Ratio times the number
// of requests that it sends to the service itself, and an equal share of Slack. The
// sum over all instances therefore stays within the bound although the instances
// exchange no counts.
type retryBudget struct {
	requests [budgetBuckets + 1]float64
	extras   [budgetBuckets + 1]float64
	// current is the number of the latest bucket, counted from time 0 of the clock.
	current int64
}

// BudgetLimits bounds the attempts at a service beyond the first of each request: in
// each Window, Ratio times the number of requests, plus Slack.
type BudgetLimits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64 // summed over all instances
}

// advance clears the buckets that have left the window and returns the index of the
// latest one.
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

// recordRequest counts a request for the service.
func (b *retryBudget) recordRequest(now time.Duration, limits BudgetLimits) {
	b.requests[b.advance(now, limits)]++
}

// recordExtra counts an attempt beyond the first.
func (b *retryBudget) recordExtra(now time.Duration, limits BudgetLimits) {
	b.extras[b.advance(now, limits)]++
}

// remainingBudget is the unspent part of a retry budget.
type remainingBudget struct {
	// attempts is the number of attempts that may still be made now, and share that
	// number divided by the allowance of the window.
	attempts, share float64
	// perRequest is the allowance divided by the number of requests in the window.
	perRequest float64
}

// remaining returns the budget that remains now. Extras are counted over one bucket
// more than the window, so that no window of that length exceeds the bound.
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

// recentRequests keeps the times of the requests to a cold target in the last
// second.
type recentRequests struct{ times []time.Duration }

// recent discards older times and returns the times of the requests in the last
// second.
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
