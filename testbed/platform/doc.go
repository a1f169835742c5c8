// Package platform is the stand-in for the configuration service and the
// instance list, by Consul's published HTTP API: the KV store's reads and the
// health endpoint of services, both with blocking queries. A control endpoint
// publishes values and sets faults.
//
// One process serves several endpoints on the same state. Each has its own
// faults, so that instances on different endpoints see different answers.
package platform
