package rank

import (
	"fmt"
	"testing"
)

// Guards against instances that win too many keys: each of 16 instances ranks
// first for about a sixteenth of 16,000 keys, also with names that differ in
// one character only.
func TestScoresAreBalanced(t *testing.T) {
	wins := make([]int, 16)
	for key := range 16000 {
		best := 0
		for i := range wins {
			k := Hash(fmt.Sprint("t", key))
			if Score(k, Hash(fmt.Sprint("i", i))) > Score(k, Hash(fmt.Sprint("i", best))) {
				best = i
			}
		}
		wins[best]++
	}
	for i, n := range wins {
		// Five standard deviations of a binomial count.
		if n < 847 || n > 1153 {
			t.Errorf("instance %d ranks first for %d keys, want 1000 +- 153", i, n)
		}
	}
}
