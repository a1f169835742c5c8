package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server serves the targets of one process.
type Server struct {
	targets []*target
	servers []*http.Server
	started Started
}

// Started holds the addresses that a process listens on. The command prints
// it as one line of JSON.
type Started struct {
	Control string            `json:"control"`
	Targets map[string]string `json:"targets"`
}

// Start listens on all addresses and serves.
func Start(cfg ProcessConfig) (*Server, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	s := &Server{started: Started{Targets: make(map[string]string)}}
	for _, tc := range cfg.Targets {
		l, err := listen(tc.Address, tc.Connections, tc.ConnectTime.D())
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("target %q: %w", tc.Name, err)
		}
		t := newTarget(tc, l)
		s.targets = append(s.targets, t)
		s.started.Targets[tc.Name] = l.address
		s.serve(l, t.handler())
	}
	control, err := net.Listen("tcp", cfg.Control)
	if err != nil {
		s.Close()
		return nil, fmt.Errorf("control endpoint: %w", err)
	}
	s.started.Control = control.Addr().String()
	s.serve(control, s.control())
	return s, nil
}

func (s *Server) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // a stand-in that serves in part would mislead a test
		}
	}()
}

// Started returns the addresses that the process listens on.
func (s *Server) Started() Started { return s.started }

// Shutdown waits for requests in progress, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	for _, server := range s.servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

// Close ends all servers at once.
func (s *Server) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
