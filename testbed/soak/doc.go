// Package soak runs gateway instances as separate processes against stand-ins
// for the platform's store and servers. It injects faults from outside the
// instances, in a random order determined by a seed, and checks what callers and
// servers observe.
package soak
