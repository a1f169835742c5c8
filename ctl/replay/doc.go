// Package replay implements the subcommand galenadyke replay, which replays a
// recorded trace through the decision core.
package replay
