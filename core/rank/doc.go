// Package rank orders instances for a key by rendezvous hashing: every
// instance computes the same order from the same members, and a member that
// joins or leaves changes the first place only of the keys it wins or loses.
package rank
