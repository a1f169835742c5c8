// Package platform simulates the configuration service and the instance list
// through the published HTTP API of Consul: reads of the KV store and the health
// endpoint of services, both with blocking queries. A control endpoint publishes
// values and sets faults.
//
// One process serves several endpoints on shared state. Faults are set for each
// endpoint, so that instances on different endpoints see different answers.
package platform
