// Package engine is the decision core of an instance. It combines the control
// plane (package fleet) and the data plane (package query).
//
// A driver runs it in one goroutine:
//
//	e := engine.New(cfg)
//	for {
//		// wait for inputs, or until e.NextWake() on the Boot clock
//		for _, in := range inputs {
//			e.Step(in)
//		}
//		for _, out := range e.Tick(now) {
//			// carry out the output
//		}
//	}
//
// The engine does no I/O and reads no clock: its outputs depend only on its
// configuration, its inputs and the times passed to Tick.
package engine
