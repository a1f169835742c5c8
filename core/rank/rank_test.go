package rank

import (
	"fmt"
	"testing"
)

// Guards against an uneven distribution: each of 16 instances must rank first for
// about one sixteenth of 16,000 keys, although some of their names, and many of the
// keys, differ only in one character.
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
		// The tolerance is five standard deviations of the binomial distribution.
		if n < 847 || n > 1153 {
			t.Errorf("instance %d ranks first for %d keys, want 1000 +- 153", i, n)
		}
	}
}
