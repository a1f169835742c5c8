// Package gateway is the daemon around the decision core of package
// core/gateway: callers' HTTP, the connections to targets, state messages
// between instances, and the stop.
package gateway
