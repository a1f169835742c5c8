package query

import (
	"math/rand/v2"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// runOverload sends searches at capacityShare times the capacity of the targets. It
// returns the complete answers within the budget, per second, and the time that the
// slowest refusal took.
func runOverload(t *testing.T, instances int, capacityShare float64) (goodput float64, slowestRefusal time.Duration) {
	const groups, slots, serviceTime = 20, 2, 5 * time.Millisecond
	// The one-way delay between data centres (design 1).
	s := newSim(instances, groups, 2, slots, model.PolicyFull)
	s.hopDelay = 4500 * time.Microsecond
	capacity := 2 * slots / serviceTime.Seconds() // searches per second, with two replicas in each group
	startedAt := map[model.CallID]time.Duration{}
	const sendTime = 4 * time.Second
	r := rand.New(rand.NewPCG(1, 2))
	at := time.Duration(0)
	for k := 1; at < sendTime; k++ {
		at += time.Duration(r.ExpFloat64() * float64(time.Second) / (capacity * capacityShare))
		c := model.CallID(k)
		s.after(at, func() {
			startedAt[c] = s.now
			s.nodes[k%instances].search(c, callBudget)
		})
	}
	s.run(sendTime + time.Second)
	complete, refused, partial := 0, 0, 0
	for c, at := range startedAt {
		a := searchAnswerOf(t, s, c)
		elapsed := s.answeredAt[c] - at
		switch {
		case a.Error != nil:
			slowestRefusal = max(slowestRefusal, elapsed)
			refused++
		case a.Searched == a.Total && elapsed <= callBudget:
			complete++
		default:
			partial++
		}
	}
	t.Logf("%d instances at %.0f %%: %d complete in time, %d refused, %d partial", instances, capacityShare*100, complete, refused, partial)
	return float64(complete) / sendTime.Seconds(), slowestRefusal
}

// Guards against a loss of goodput and against late refusals under overload
// (design 3.4).
func TestOverload(t *testing.T) {
	for _, instances := range []int{1, 8} {
		at100, _ := runOverload(t, instances, 1)
		at150, slowestRefusal := runOverload(t, instances, 1.5)
		if at150 < 0.95*at100 {
			t.Errorf("%d instances: goodput %.0f/s at 150 %%, want at least 95 %% of the %.0f/s at 100 %%", instances, at150, at100)
		}
		if slowestRefusal >= callBudget/10 {
			t.Errorf("%d instances: slowest refusal after %v, want less than a tenth of the budget", instances, slowestRefusal)
		}
	}
}
