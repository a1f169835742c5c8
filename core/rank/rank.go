package rank

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a name. Callers keep it beside the name, so that a
// score costs only a few multiplications.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of an instance for a key, both given by their
// hashes. The instance with the highest score ranks first; equal scores are
// ordered by name.
func Score(key, instance uint64) uint64 {
	// The finalizer of splitmix64 spreads the sum of the two xxhash values, so
	// that the scores of one instance for different keys are independent.
	z := key + instance*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
