// Package telemetry writes the log, counts the metrics and exports the spans of
// a daemon. Nothing in it blocks its caller.
package telemetry
