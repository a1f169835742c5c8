// Package explain reports what happened to one request, from the logs of several
// instances. The clocks of machines differ by seconds, so the report is not ordered
// by time of day: an instance comes before the instance that it asked.
package explain
