// Package engine is the decision core of an instance. It composes the control
// plane (package fleet) and the data plane (package query).
//
// A driver uses it from one goroutine:
//
//	e := engine.New(cfg)
//	for {
//		// wait for inputs, or until e.NextWake() on the Boot clock
//		for _, in := range inputs {
//			e.Step(in)
//		}
//		for _, out := range e.Tick(now) {
//			// carry out
//		}
//	}
//
// The engine does no I/O and reads no clock. The same configuration, inputs
// and times give the same outputs.
package engine
