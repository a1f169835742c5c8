package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// Guards against failures that only a combination of faults causes: after about
// 30 s of random faults and 6 s without faults, every instance is ready with the
// latest set that any instance accepted, and each target has one active lead.
func TestCombinedFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			tc := newTestCluster(t, 8, matrixSet(1, "s1"))
			tc.run(4 * second)
			for range 20 {
				tc.randomFault(rng)
				tc.run(time.Duration(rng.IntN(3000)) * step)
			}
			tc.heal()
			tc.messageDelay = step
			tc.run(6 * second)
			newest := tc.nodes[0].f.Set()
			for _, n := range tc.nodes {
				if n.f.Set().Newer(newest) {
					newest = n.f.Set()
				}
			}
			tc.wantSet(newest.Digest, 8)
			tc.wantReady(8)
			tc.check(tc.setRegressions == 0, "no instance replaces its set by an earlier one")
			tc.overlap, tc.gap = 0, 0
			tc.run(second)
			tc.check(tc.overlap == 0 && tc.gap == 0, "each target has one active lead")
		})
	}
}

func (tc *testCluster) randomFault(rng *rand.Rand) {
	i := rng.IntN(8) // the instance that most of the faults affect
	switch rng.IntN(9) {
	case 0: // partition
		tc.partitionAt(1 + rng.IntN(7))
	case 1: // links restored
		tc.heal()
	case 2: // an eighth of all messages lost
		tc.dropLink = func(int, int) bool { return rng.IntN(8) == 0 }
	case 3: // all messages from one instance lost
		tc.dropLink = func(from, _ int) bool { return from == i }
	case 4: // process paused or machine asleep
		tc.pause(i, time.Duration(rng.IntN(5000))*step, rng.IntN(2) == 0)
	case 5: // restart
		tc.start(i)
	case 6: // service reset to the first set, and down for some instances
		tc.readService = func(j int) *objects.Set { return tc.setUnless(j < i, matrixSet(1, "s1")) }
	case 7: // later set published, and service down for one instance
		generation := uint64(2 + rng.IntN(3))
		set := matrixSet(generation, fmt.Sprintf("s%d%d", generation, i))
		tc.readService = func(j int) *objects.Set { return tc.setUnless(j == i, set) }
	case 8: // instance list empty or its read failed, and all messages delayed
		tc.enqueue(tc.now, -1, i, model.InstanceList{OK: rng.IntN(2) == 0})
		tc.messageDelay = time.Duration(1+rng.IntN(100)) * step
	}
}
