package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// Guards against faults that only meet in combination: after 30 s of random
// faults and 6 s without, every instance is ready with the newest set that any
// instance accepted, and each target has one active lead.
func TestFaultsInCombination(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			p := newPump(t, 8, matrixSet(1, "s1"))
			p.run(4 * second)
			for range 20 {
				p.randomFault(rng)
				p.run(time.Duration(rng.IntN(3000)) * step)
			}
			p.heal()
			p.delay = step
			p.run(6 * second)
			newest := p.nodes[0].f.Set()
			for _, n := range p.nodes {
				if n.f.Set().Newer(newest) {
					newest = n.f.Set()
				}
			}
			p.wantSet(newest.Digest, 8)
			p.wantReady(8)
			p.want(p.backwards == 0, "no set is followed by an earlier one")
			p.overlap, p.gap = 0, 0
			p.run(second)
			p.want(p.overlap == 0 && p.gap == 0, "each target has one active lead")
		})
	}
}

func (p *pump) randomFault(rng *rand.Rand) {
	i := rng.IntN(8)
	switch rng.IntN(9) {
	case 0:
		p.split(1 + rng.IntN(7))
	case 1:
		p.heal()
	case 2:
		p.cut = func(int, int) bool { return rng.IntN(8) == 0 }
	case 3:
		p.cut = func(from, _ int) bool { return from == i }
	case 4:
		p.pause(i, time.Duration(rng.IntN(5000))*step, rng.IntN(2) == 0)
	case 5:
		p.start(i)
	case 6:
		p.service = func(j int) *objects.Set { return p.unlessSet(j < i, matrixSet(1, "s1")) }
	case 7:
		generation := uint64(2 + rng.IntN(3))
		set := matrixSet(generation, fmt.Sprintf("s%d%d", generation, i))
		p.service = func(j int) *objects.Set { return p.unlessSet(j == i, set) }
	case 8:
		p.post(p.now, -1, i, model.InstanceList{OK: rng.IntN(2) == 0})
		p.delay = time.Duration(1+rng.IntN(100)) * step
	}
}
