package target

import (
	"fmt"
	"net"

	"galenadyke.dev/testbed/serve"
)

// Server serves the targets of one process.
type Server struct {
	serve.Group
	targets []*target
	started Started
}

// Started holds the addresses that a process listens on: the address of the
// control endpoint and the address of each target by name. The command prints it
// as one line of JSON.
type Started struct {
	Control string            `json:"control"`
	Targets map[string]string `json:"targets"`
}

// Start validates cfg, listens on all addresses and serves in the background.
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
		s.Serve(l, t.handler())
	}
	control, err := net.Listen("tcp", cfg.Control)
	if err != nil {
		s.Close()
		return nil, fmt.Errorf("control endpoint: %w", err)
	}
	s.started.Control = control.Addr().String()
	s.Serve(control, s.control())
	return s, nil
}

// Started returns the addresses that the process listens on.
func (s *Server) Started() Started { return s.started }
