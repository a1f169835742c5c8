package rank

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a name. Callers store the hash with the name, so that
// computing a score takes only a few multiplications.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the score of an instance for a key, both given by their hashes.
// The instance with the highest score ranks first. Callers break ties by name.
func Score(key, instance uint64) uint64 {
	// The finalizer of splitmix64 mixes the sum of the two hashes, so that the
	// scores of one instance for different keys are independent.
	z := key + instance*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
