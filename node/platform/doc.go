// Package platform reads the configuration service and the instance list through
// Consul's published HTTP API. It only reads: no part of the tier writes to the
// platform.
package platform
