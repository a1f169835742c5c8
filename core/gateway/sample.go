package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/rank"
)

// Shares of a common bound need the number of instances. In a large fleet an instance has
// recent news of only some of them, as a state message names few. Instances therefore also
// exchange a sample that is the same for all: the instances with the smallest hashes of their
// names. The more instances there are, the smaller is the largest hash of the sample.

// SampledInstance is an instance of the sample from which the size of the fleet is estimated.
type SampledInstance struct {
	Hash uint32        // of the instance's name, maxSampleHash at most
	Age  time.Duration // since the instance was known to be alive
}

// maxSampleHash bounds the hashes of a sample, which have 24 bits in state messages.
const maxSampleHash = 1<<24 - 1

// sampleHash returns the hash of an instance for the sample.
func sampleHash(name model.InstanceID) uint32 {
	return uint32(rank.Score(sampleKey, rank.Hash(string(name))) >> 40)
}

var sampleKey = rank.Hash("sample")

// fleetSample holds up to sampleSize instances in the order of their hashes.
type fleetSample []sampledInstance

type sampledInstance struct {
	hash    uint32
	aliveAt time.Duration
}

func compareHash(e sampledInstance, hash uint32) int { return cmp.Compare(e.hash, hash) }

// add notes that an instance was alive at a time.
func (s *fleetSample) add(hash uint32, aliveAt time.Duration) {
	i, found := slices.BinarySearchFunc(*s, hash, compareHash)
	switch {
	case found:
		(*s)[i].aliveAt = max((*s)[i].aliveAt, aliveAt)
	case i < sampleSize:
		*s = slices.Insert(*s, i, sampledInstance{hash, aliveAt})
		*s = (*s)[:min(len(*s), sampleSize)]
	}
}

// count returns 1 if the sample has a hash, else 0.
func (s fleetSample) count(hash uint32) int {
	if _, found := slices.BinarySearchFunc(s, hash, compareHash); found {
		return 1
	}
	return 0
}

// expire removes instances that have not been alive since a time.
func (s *fleetSample) expire(since time.Duration) {
	*s = slices.DeleteFunc(*s, func(e sampledInstance) bool { return e.aliveAt < since })
}

// fleetSize estimates the number of instances. The estimate is high rather than low, as the
// sum of the shares exceeds the bound when it is low. A sample that is not nearly full has
// all instances.
func (s fleetSample) fleetSize() int {
	if len(s) < minSampleForEstimate {
		return len(s)
	}
	density := float64(len(s)-1) / float64(s[len(s)-1].hash+1)
	return int(math.Ceil(sampleMargin * density * (maxSampleHash + 1)))
}

// receiveSample merges the sample of another instance, which was alive when it sent it.
func (g *Gateway) receiveSample(sender model.InstanceID, sample []SampledInstance) {
	g.members.sample.add(sampleHash(sender), g.now)
	for _, e := range sample {
		if e.Hash <= maxSampleHash && e.Age >= 0 && e.Age < sampleMaxAge {
			g.members.sample.add(e.Hash, g.now-e.Age)
		}
	}
}

// refreshedSample returns the sample as it is sent, with this instance as alive.
func (g *Gateway) refreshedSample() []SampledInstance {
	g.members.sample.expire(g.now - sampleMaxAge)
	g.members.sample.add(sampleHash(g.cfg.Self), g.now)
	out := make([]SampledInstance, len(g.members.sample))
	for i, e := range g.members.sample {
		out[i] = SampledInstance{Hash: e.hash, Age: g.now - e.aliveAt}
	}
	return out
}
