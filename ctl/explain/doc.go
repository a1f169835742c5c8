// Package explain tells the story of one request from the logs of several
// instances. The clocks of machines differ by seconds, so the order within a
// request comes from who asked whom, not from the time of day.
package explain
