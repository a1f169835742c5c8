package gateway

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"galenadyke.dev/core/model"
)

// ServiceID is the name of a service, that is, of a set of interchangeable targets.
type ServiceID string

// Configuration holds the routes, services and caller limits that operators published.
type Configuration struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   CallerLimits
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout bounds the time until the answer. LatencyObjective is the time within
	// which requests should be answered. 0 means none.
	Timeout          time.Duration
	LatencyObjective time.Duration
	// MaxAttempts bounds the targets that may run a request, or each part of a
	// gathering request. A value below 1 counts as 1.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Backends is the service of a plain route, or several weighted services.
	Backends []WeightedService
	// Shards is set for a gathering route: each service answers one part.
	Shards []ServiceID
	// TopK is the maximum number of records in the answer of a gathering route, and
	// MinCoverage the minimum share of the shards that the answer covers.
	TopK        int
	MinCoverage float64
}

// WeightedService is a service and its weight. It gets a share of the route's
// requests in proportion to the weight.
type WeightedService struct {
	Service ServiceID
	Weight  float64
}

// Service describes the targets of one service.
type Service struct {
	Name           ServiceID
	MaxConnections int // per target, over all clients; 0 means no published limit
	// WarmupRate is the number of requests per second that a cold target can serve;
	// 0 means no published rate and no limit.
	WarmupRate float64
}

// CallerLimits limits what callers may send. A value of 0 leaves the present limit
// unchanged.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// IdleTimeout bounds how long a connection waits for its next request.
	IdleTimeout time.Duration
}

// ConfigurationError describes the fault for which a whole configuration is refused.
type ConfigurationError struct {
	Version uint64
	Route   string
	Message string
	Remedy  string
}

// Error implements error.
func (e *ConfigurationError) Error() string {
	return fmt.Sprintf("configuration %d: route %q %s; %s", e.Version, e.Route, e.Message, e.Remedy)
}

// Check returns the first fault of the configuration as a *ConfigurationError, or
// nil.
func (c *Configuration) Check() error {
	type routeKey struct{ host, prefix string }
	seen := make(map[routeKey]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		fault := func(message, remedy string) error {
			return &ConfigurationError{Version: c.Version, Route: r.Name, Message: message, Remedy: remedy}
		}
		switch {
		case !strings.HasPrefix(r.Prefix, "/"):
			return fault("has a prefix without a leading slash", "begin the prefix with a slash")
		case seen[routeKey{r.Host, r.Prefix}]:
			return fault("has the host and prefix of another route", "publish one route for each host and prefix")
		case len(r.Shards) == 0 && len(r.Backends) == 0:
			return fault("names no service", "name a service, weighted services or shards")
		case len(r.Shards) > 0 && !r.Idempotent:
			return fault("gathers but is not idempotent", "make the route idempotent")
		case r.MinCoverage < 0 || r.MinCoverage > 1:
			return fault("has a coverage outside 0 to 1", "give a share between 0 and 1")
		}
		for _, b := range r.Backends {
			if b.Weight < 0 {
				return fault("has a negative weight", "give weights of 0 or more")
			}
		}
		seen[routeKey{r.Host, r.Prefix}] = true
	}
	return nil
}

// TargetState is whether a listed target accepts new work.
type TargetState uint8

// The states of a listed target.
const (
	TargetReady TargetState = iota
	TargetDraining
)

// Target is the store's entry for a target.
type Target struct {
	ID      model.TargetID
	Service ServiceID
	Address string // IP address and port
	Place   model.PlaceID
	Slots   int // number of requests that the target runs at the same time
	State   TargetState
	// ColdFor is how much longer the target stays cold, from the time of the report.
	ColdFor time.Duration
	// StartedAtMillis is the start time that the target reports, in Unix milliseconds;
	// 0 if unknown. It identifies the target's incarnation.
	StartedAtMillis int64
	// Report numbers the reports of one incarnation.
	Report int64
}

// CompareReports orders the reports of one target: it returns a negative number if t is the
// earlier one, and a positive number if other is.
func (t Target) CompareReports(other Target) int {
	return cmp.Or(cmp.Compare(t.StartedAtMillis, other.StartedAtMillis), cmp.Compare(t.Report, other.Report))
}
