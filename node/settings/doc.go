// Package settings reads and checks the settings of a daemon. A process learns
// its addresses and data centre from its settings only.
package settings
