// Package trace records what passes between a driver and the decision core, and
// replays such recordings. A trace is a sequence of JSON lines: a Header, then one
// Record for each tick.
//
// An input or output is written as {"type":"SearchCall","value":{...}} with the
// field names of package model. Byte slices are in base64, durations in nanoseconds.
// A *objects.Set is not written. The reader restores it from its raw bytes, which are in
// the same input.
//
// Replay passes the inputs of a trace to an engine and compares the outputs with
// the recorded ones. A trace without its first records cannot be replayed, because the
// state of the engine after them is not recorded. An Outcome states in text what must
// and what must not be among the outputs.
package trace
