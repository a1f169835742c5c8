package target

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"galenadyke.dev/testbed/units"
)

// ProcessConfig configures one process of targets.
type ProcessConfig struct {
	// Control is the address of the control endpoint. Port 0 asks the kernel
	// for a free port.
	Control string   `json:"control"`
	Targets []Config `json:"targets"`
}

// Config configures one target.
type Config struct {
	Name string `json:"name"`
	// Address is an IP address and port; port 0 asks the kernel for one.
	Address string `json:"address"`
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// QueueLimit is the number of requests that wait for a slot. Further ones
	// are shed.
	QueueLimit int `json:"queue_limit"`
	// Connections is the number of connections accepted, 0 for no limit.
	Connections int `json:"connections"`
	// ConnectTime delays the first byte read from each new connection.
	ConnectTime units.Duration `json:"connect_time"`
	// Seed fixes service times, jitter and loss.
	Seed     uint64    `json:"seed"`
	Service  Service   `json:"service"`
	Link     Link      `json:"link"`
	Cold     Cold      `json:"cold"`
	Report   Report    `json:"report"`
	Versions []Version `json:"versions"`
	// StragglerFactor multiplies every service time.
	StragglerFactor float64 `json:"straggler_factor"`
	// Incarnation of the first life.
	Incarnation uint64 `json:"incarnation"`
}

// Service is the distribution of service times.
type Service struct {
	// Distribution is fixed, exponential or lognormal.
	Distribution string         `json:"distribution"`
	Mean         units.Duration `json:"mean"`
	// Sigma is the shape of the lognormal distribution.
	Sigma float64 `json:"sigma"`
}

// Link is the network between the callers and a target, in each direction.
type Link struct {
	Delay  units.Duration `json:"delay"`
	Jitter units.Duration `json:"jitter"` // uniform, 0 to Jitter
	// Loss is the probability that a packet is lost. Retransmit is the delay
	// that a lost packet causes.
	Loss       float64        `json:"loss"`
	Retransmit units.Duration `json:"retransmit"`
}

// Cold describes a target after its start. It bears one request at a time and
// one more after each Completions completed requests, up to its slots.
type Cold struct {
	// Warm starts the first life warm.
	Warm bool `json:"warm"`
	// Completions is the number of completed requests for each step.
	Completions int `json:"completions"`
	// Slowdown multiplies the service time of a request that arrives in
	// excess of what the target bears.
	Slowdown float64 `json:"slowdown"`
	// OverloadLimit is the number of overloads after which the target fails
	// over, 0 for never.
	OverloadLimit int `json:"overload_limit"`
	// RestartTime is the time for which a target that failed over refuses
	// connections.
	RestartTime units.Duration `json:"restart_time"`
}

// Report says how far the health report differs from the truth.
type Report struct {
	// Lag is the time for which a report is repeated without change.
	Lag units.Duration `json:"lag"`
	// Lie replaces the reported load by InFlight and Queued.
	Lie      bool `json:"lie"`
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
}

// Version is the part of an index version that a target holds.
type Version struct {
	Version    uint64   `json:"version"`
	Total      int      `json:"total"`
	Partitions []uint32 `json:"partitions"`
}

// DefaultTarget returns the settings that a file's target starts from.
func DefaultTarget() Config {
	return Config{
		Address:    "127.0.0.1:0",
		Slots:      2,
		QueueLimit: 16,
		Seed:       1,
		Service:    Service{Distribution: "exponential", Mean: units.Duration(3 * time.Millisecond), Sigma: 0.5},
		// Linux retransmits no sooner than 200 ms after the loss.
		Link:            Link{Retransmit: units.Duration(200 * time.Millisecond)},
		Cold:            Cold{Completions: 8, Slowdown: 4, OverloadLimit: 20, RestartTime: units.Duration(200 * time.Millisecond)},
		StragglerFactor: 1,
		Incarnation:     1,
	}
}

// Validate reports the first setting that cannot be used.
func (c *ProcessConfig) Validate() error {
	if len(c.Targets) == 0 {
		return errors.New("targets is empty; list at least one")
	}
	seen := make(map[string]bool)
	for i := range c.Targets {
		t := &c.Targets[i]
		if err := t.Validate(); err != nil {
			return fmt.Errorf("target %q: %w", t.Name, err)
		}
		if seen[t.Name] {
			return fmt.Errorf("target %q is listed twice", t.Name)
		}
		seen[t.Name] = true
	}
	return nil
}

// Validate reports the first setting that cannot be used.
func (c *Config) Validate() error {
	if c.Name == "" {
		return errors.New("name is empty")
	}
	if _, err := netip.ParseAddrPort(c.Address); err != nil {
		return fmt.Errorf("address %q: use an IP address and a port", c.Address)
	}
	if c.Slots < 1 || c.QueueLimit < 0 || c.Connections < 0 {
		return errors.New("slots must be at least 1; queue_limit and connections at least 0")
	}
	switch c.Service.Distribution {
	case "fixed", "exponential", "lognormal":
	default:
		return fmt.Errorf("service distribution %q: use fixed, exponential or lognormal", c.Service.Distribution)
	}
	if c.Link.Loss < 0 || c.Link.Loss >= 1 {
		return fmt.Errorf("link loss %v: use 0 or more and less than 1", c.Link.Loss)
	}
	if c.StragglerFactor <= 0 || c.Cold.Completions < 1 || c.Cold.Slowdown < 1 {
		return errors.New("straggler_factor must be positive, cold completions and slowdown at least 1")
	}
	return nil
}
