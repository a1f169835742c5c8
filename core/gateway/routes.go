package gateway

import (
	"sort"
	"strings"
)

// routes finds the route of a request. It is built once for a configuration.
type routes struct {
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]*Route
}

func newRoutes(c *Configuration) *routes {
	t := &routes{byHost: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, hostRoutes := range t.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return t
}

// match returns the route of the host with the longest prefix of the path, or
// nil. A port in the host is ignored.
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

// spreader divides the requests of a route among weighted services so that
// each service's share is exact over any sequence of requests.
type weightedRoundRobin struct{ credit map[ServiceID]float64 }

// next returns the service of the next request.
func (s *weightedRoundRobin) next(backends []WeightedService) ServiceID {
	if len(backends) == 1 {
		return backends[0].Service
	}
	if s.credit == nil {
		s.credit = make(map[ServiceID]float64, len(backends))
	}
	total, best := 0.0, -1
	for i, b := range backends {
		total += b.Weight
		s.credit[b.Service] += b.Weight
		if best < 0 || s.credit[b.Service] > s.credit[backends[best].Service] {
			best = i
		}
	}
	s.credit[backends[best].Service] -= total
	return backends[best].Service
}
