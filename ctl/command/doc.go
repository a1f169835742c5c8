// Package command holds the subcommands of galenadyke that work on object
// files and on running instances.
//
// Results go to standard output, as tables or, with --json, as one JSON value.
// Usage errors go to standard error. Exit codes: 0 success, 1 findings or a
// failed call, 2 wrong usage.
package command
