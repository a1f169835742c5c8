// Package model defines the values that pass between the decision core and
// its driver: identifiers, time, inputs, outputs and the messages between
// instances.
//
// The core never looks into a body. Byte slices and *objects.Set values that
// cross the boundary are immutable from then on.
package model
