// Package trace is the recorded form of what passes between a driver and the
// decision core. A trace is a sequence of JSON lines: a Header, then one Record
// for each tick.
//
// An input or output is written as {"type":"SearchCall","value":{...}} with the
// field names of package model. Byte slices are base64, durations are
// nanoseconds. A *objects.Set is not written: the raw canonical bytes beside it
// are, and the reader parses them.
package trace
