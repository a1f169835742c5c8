// Package rank orders instances for a key by rendezvous hashing. All instances
// compute the same order from the same members. When a member joins or leaves, the
// first instance changes only for the keys for which that member ranks first.
package rank
