package gateway

import (
	"sort"
	"strings"
)

// routes matches requests to the routes of one configuration.
type routes struct {
	// byHost holds the routes of each host in lower case, longest prefix first.
	byHost map[string][]*Route
	// shards holds the shards of each gathering route, by its name.
	shards map[string]map[ServiceID]bool
}

func newRoutes(c *Configuration) *routes {
	t := &routes{byHost: make(map[string][]*Route), shards: make(map[string]map[ServiceID]bool)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		if len(r.Shards) > 0 {
			t.shards[r.Name] = make(map[ServiceID]bool, len(r.Shards))
		}
		for _, id := range r.Shards {
			t.shards[r.Name][id] = true
		}
	}
	for _, hostRoutes := range t.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return t
}

// match returns the host's route with the longest prefix that matches the path, or
// nil. A port in host is ignored unless there are routes for the host with that port.
func (t *routes) match(host, path string) *Route {
	host = strings.ToLower(host)
	candidates, ok := t.byHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			candidates = t.byHost[host[:i]]
		}
	}
	for _, r := range candidates {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// weightedRoundRobin distributes the requests of a route over weighted services. It
// interleaves them evenly, so that the shares also hold over few requests.
type weightedRoundRobin struct{ credit map[ServiceID]float64 }

// next returns the service for the next request.
func (rr *weightedRoundRobin) next(backends []WeightedService) ServiceID {
	if len(backends) == 1 {
		return backends[0].Service
	}
	if rr.credit == nil {
		rr.credit = make(map[ServiceID]float64, len(backends))
	}
	total, best := 0.0, -1
	for i, b := range backends {
		total += b.Weight
		rr.credit[b.Service] += b.Weight
		if best < 0 || rr.credit[b.Service] > rr.credit[backends[best].Service] {
			best = i
		}
	}
	rr.credit[backends[best].Service] -= total
	return backends[best].Service
}
