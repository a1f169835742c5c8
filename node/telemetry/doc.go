// Package telemetry writes the log, counts the metrics and exports the spans of
// a daemon. Recording a log line, a metric or a span never waits for I/O.
package telemetry
