// Package soak runs gateway instances as separate processes against stand-ins
// for the store and the servers of the platform. It injects faults from outside
// the instances in a random order that a seed determines, and checks meanwhile
// what callers and servers observe.
package soak
