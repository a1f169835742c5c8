// Package abuse tests that the processes of the system survive clients that break the
// published limits. Each test starts a real process, sends it a crowd of such clients on one
// of its listening addresses, and checks that the process lives, that its memory and its open
// descriptors stay within bounds, and that an ordinary request is answered.
//
// The tests need the machine for themselves. `go test` skips them unless GALENADYKE_ABUSE is
// set; `make test` runs them after all others, one at a time.
package abuse
