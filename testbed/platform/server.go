package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"galenadyke.dev/testbed/serve"
)

// maxPublishBytes is the maximum size of a published value. It exceeds Consul's
// limit, so that tests can publish a value that is too large for Consul.
const maxPublishBytes = 4 << 20

// Server serves the endpoints and the control endpoint of one process.
type Server struct {
	serve.Group
	store     *store
	endpoints []*endpoint
	started   Started
}

// FaultsRequest is the body of a request that replaces the faults of the
// endpoints with the listed indexes, or of all endpoints if the list is empty.
type FaultsRequest struct {
	Endpoints []int  `json:"endpoints,omitempty"`
	Faults    Faults `json:"faults"`
}

// AllCounts holds the counts of each endpoint, in the order of Config.Listen.
type AllCounts struct {
	Endpoints []Counts `json:"endpoints"`
}

// Start validates cfg, listens on all addresses and serves in the background.
func Start(cfg Config) (*Server, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	s := &Server{store: newStore()}
	for _, address := range cfg.Listen {
		e := newEndpoint(s.store)
		s.endpoints = append(s.endpoints, e)
		boundAddress, err := s.listenAndServe(address, e.handler())
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("endpoint %s: %w", address, err)
		}
		s.started.Endpoints = append(s.started.Endpoints, boundAddress)
	}
	boundAddress, err := s.listenAndServe(cfg.Control, s.control())
	if err != nil {
		s.Close()
		return nil, fmt.Errorf("control endpoint: %w", err)
	}
	s.started.Control = boundAddress
	return s, nil
}

// listenAndServe serves h in the background and returns the address that it
// listens on.
func (s *Server) listenAndServe(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.Serve(l, h)
	return l.Addr().String(), nil
}

// control returns the handler of the control endpoint.
func (s *Server) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/publish/{key...}", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPublishBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.store.put(r.PathValue("key"), value)
	})
	mux.HandleFunc("PUT /v1/instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		var list []Instance
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		value, err := json.Marshal(list)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		s.store.put(servicePrefix+r.PathValue("name"), value)
	})
	mux.HandleFunc("PUT /v1/faults", s.serveFaults)
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) {
		var all AllCounts
		for _, e := range s.endpoints {
			e.withCounts(func(c *Counts) { all.Endpoints = append(all.Endpoints, *c) })
		}
		writeJSON(w, all)
	})
	return mux
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var req FaultsRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(req.Endpoints) == 0 {
		for i := range s.endpoints {
			req.Endpoints = append(req.Endpoints, i)
		}
	}
	for _, i := range req.Endpoints {
		if i < 0 || i >= len(s.endpoints) {
			http.Error(w, fmt.Sprintf("no endpoint %d", i), http.StatusNotFound)
			return
		}
		s.endpoints[i].setFaults(req.Faults)
	}
}

// Started returns the addresses that the process listens on.
func (s *Server) Started() Started { return s.started }
