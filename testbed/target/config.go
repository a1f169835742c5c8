package target

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"galenadyke.dev/testbed/units"
)

// ProcessConfig configures one process, which serves several targets.
type ProcessConfig struct {
	// Control is the IP address and port of the control endpoint. Port 0
	// selects a free port.
	Control string   `json:"control"`
	Targets []Config `json:"targets"`
}

// Config configures one target.
type Config struct {
	Name string `json:"name"`
	// Address is an IP address and port; port 0 selects a free port.
	Address string `json:"address"`
	// Slots is the number of requests that run concurrently.
	Slots int `json:"slots"`
	// QueueLimit is the maximum number of requests that wait for a slot.
	// Requests above it are shed.
	QueueLimit int `json:"queue_limit"`
	// Connections is the maximum number of open connections, 0 for no limit.
	Connections int `json:"connections"`
	// ConnectTime is the delay before the first read from a new connection.
	ConnectTime units.Duration `json:"connect_time"`
	// Seed is the random seed for service times, jitter and loss.
	Seed     uint64    `json:"seed"`
	Service  Service   `json:"service"`
	Link     Link      `json:"link"`
	Cold     Cold      `json:"cold"`
	Report   Report    `json:"report"`
	Versions []Version `json:"versions"`
	// StragglerFactor multiplies every service time.
	StragglerFactor float64 `json:"straggler_factor"`
	// Incarnation is the incarnation number when the process starts. Each
	// restart of the target adds 1.
	Incarnation uint64 `json:"incarnation"`
	// CrashBody ends the target when it begins to run a request whose body contains it: all
	// connections are reset and connects are refused for Cold.RestartTime. Empty for never.
	CrashBody string `json:"crash_body"`
}

// Service is the distribution of service times.
type Service struct {
	// Distribution is fixed, exponential or lognormal.
	Distribution string         `json:"distribution"`
	Mean         units.Duration `json:"mean"`
	// Sigma is the shape of the lognormal distribution.
	Sigma float64 `json:"sigma"`
}

// Link simulates the network between a target and its clients. Delay, jitter
// and loss apply to each direction separately.
type Link struct {
	Delay  units.Duration `json:"delay"`
	Jitter units.Duration `json:"jitter"` // limit of a random additional delay, uniform from 0
	// Loss is the probability that a request or an answer is lost and sent
	// again, which delays it by Retransmit.
	Loss       float64        `json:"loss"`
	Retransmit units.Duration `json:"retransmit"`
}

// Cold describes the cold start of a target. After a start, its capacity is
// one concurrent request; it grows by one after every Completions completed
// requests, up to the number of slots.
type Cold struct {
	// Warm skips the cold start of the first incarnation.
	Warm bool `json:"warm"`
	// Completions is the number of completed requests after which the capacity
	// grows by one.
	Completions int `json:"completions"`
	// Slowdown multiplies the service time of a request that exceeds the
	// capacity of a cold target on arrival.
	Slowdown float64 `json:"slowdown"`
	// OverloadLimit is the number of requests above its capacity at which a
	// cold target fails over, counted since its last start; 0 for never.
	OverloadLimit int `json:"overload_limit"`
	// RestartTime is how long the target refuses connections after a
	// fail-over or a crash.
	RestartTime units.Duration `json:"restart_time"`
}

// Report configures how the health report deviates from the actual state.
type Report struct {
	// Lag is how long a report is repeated unchanged before it is refreshed.
	Lag units.Duration `json:"lag"`
	// Lie makes the target report InFlight and Queued instead of its actual
	// load.
	Lie      bool `json:"lie"`
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
}

// Version lists the partitions of one index version that a target holds.
type Version struct {
	Version    uint64   `json:"version"`
	Total      int      `json:"total"`
	Partitions []uint32 `json:"partitions"`
}

// DefaultTarget returns the defaults for fields that a target leaves out of the
// settings file.
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

// Validate returns an error for the first invalid setting.
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
			return fmt.Errorf("duplicate target name %q", t.Name)
		}
		seen[t.Name] = true
	}
	return nil
}

// Validate returns an error for the first invalid setting.
func (c *Config) Validate() error {
	if c.Name == "" {
		return errors.New("name is empty")
	}
	if _, err := netip.ParseAddrPort(c.Address); err != nil {
		return fmt.Errorf("address %q: use an IP address and a port", c.Address)
	}
	if c.Slots < 1 || c.QueueLimit < 0 || c.Connections < 0 {
		return errors.New("slots must be at least 1; queue_limit and connections must be at least 0")
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
		return errors.New("straggler_factor must be positive; cold completions and cold slowdown must be at least 1")
	}
	return nil
}
