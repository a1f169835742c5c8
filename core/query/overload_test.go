package query

import (
	"math/rand/v2"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// load offers searches at a share of the capacity and returns the complete
// answers in time for each second and the slowest refusal.
func load(t *testing.T, instances int, share float64) (goodput float64, refusal time.Duration) {
	const groups, slots, service = 20, 2, 5 * time.Millisecond
	// The hop is the latency between data centres in design section 1.
	s := newSim(instances, groups, 2, slots, model.PolicyFull)
	s.hop = 4500 * time.Microsecond
	capacity := 2 * slots / service.Seconds() // searches/s: two replicas of each group
	start := map[model.CallID]time.Duration{}
	const length = 4 * time.Second
	r := rand.New(rand.NewPCG(1, 2))
	at := time.Duration(0)
	for k := 1; at < length; k++ {
		at += time.Duration(r.ExpFloat64() * float64(time.Second) / (capacity * share))
		c := model.CallID(k)
		s.after(at, func() {
			start[c] = s.now
			s.nodes[k%instances].search(c, callBudget)
		})
	}
	s.run(length + time.Second)
	good, refused, partial := 0, 0, 0
	for c, at := range start {
		a := searchOf(t, s, c)
		took := s.answered[c] - at
		switch {
		case a.Error != nil:
			refusal = max(refusal, took)
			refused++
		case a.Searched == a.Total && took <= callBudget:
			good++
		default:
			partial++
		}
	}
	t.Logf("%d instances at %.0f %%: %d good, %d refused, %d partial", instances, share*100, good, refused, partial)
	return float64(good) / length.Seconds(), refusal
}

// Guards against a collapse of goodput and late refusals under overload
// (design 3.4).
func TestOverload(t *testing.T) {
	for _, instances := range []int{1, 8} {
		full, _ := load(t, instances, 1)
		over, refusal := load(t, instances, 1.5)
		if over < 0.95*full {
			t.Errorf("%d instances: goodput %.0f/s at 150 %%, %.0f/s at 100 %%", instances, over, full)
		}
		if refusal >= callBudget/10 {
			t.Errorf("%d instances: slowest refusal after %v", instances, refusal)
		}
	}
}
