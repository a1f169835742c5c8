// Package replay is the subcommand galenadyke replay, which plays a recorded
// trace through the decision core.
package replay
