// Package soak runs gateway instances as separate processes against stand-ins
// for the platform, injects faults from outside them in a random order given by
// a seed, and checks what callers and servers see while it runs.
package soak
