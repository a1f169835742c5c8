// Package explain reports what happened to one request, from the logs of several
// instances. The clocks of machines differ by seconds, so the report is ordered
// by which instance asked which, not by time of day.
package explain
