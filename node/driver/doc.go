// Package driver runs the decision core: it owns the clocks, the goroutine that
// steps and ticks the engine, and the ring of recorded inputs.
package driver
