// Package model defines the values that pass between the decision core and
// its driver: identifiers, time, inputs, outputs and the messages between
// instances.
//
// The core treats bodies as opaque. Once a byte slice or an *objects.Set has been
// passed to or from the core, neither side may modify it.
package model
