// Package rank orders instances for a key by rendezvous hashing. All instances
// compute the same order from the same list of members. When a member joins or
// leaves, the highest-ranking instance changes only for the keys for which that
// member ranks highest.
package rank
