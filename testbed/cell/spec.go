package cell

import (
	"errors"
	"fmt"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/testbed/target"
	"galenadyke.dev/testbed/units"
)

// Names of the published objects, the key of the configuration, and the name of
// the service under which instances are listed. They are the same in every cell.
const (
	SearchRoute  = "rigging-desk"
	BookingRoute = "order-desk"
	orderName    = "weekend"
	configKey    = "galenadyke/set"
	serviceName  = "galenadyke"
)

// Spec describes a cell.
type Spec struct {
	// Bin is the directory of the binaries.
	Bin string
	// Dir is the directory to which settings files and logs are written.
	Dir string
	// Places are the names of the data centres. Instances and targets are
	// assigned to them round robin, so that the replicas of one search group are
	// in different data centres.
	Places    []string
	Instances int
	// Groups is the number of search groups, Replicas the number of targets in
	// each of them.
	Groups   int
	Replicas int
	// BookingTargets is the number of targets in the booking group; 0 leaves out
	// the group and its route.
	BookingTargets int
	// Slots and Connections are the limits of each target, both in its settings
	// and as published.
	Slots       int
	Connections int
	// Partitions is the number of partitions in each search group.
	Partitions int
	// Target is the template for the settings of all targets.
	Target target.Config
	Policy model.Policy
	// FixedHedgeDelay is the hedge delay under the policy fixed-hedge.
	FixedHedgeDelay units.Duration
	// Seed is the seed of the first instance. The other instances use the
	// numbers that follow, and so do the targets.
	Seed          uint64
	BalancerDelay units.Duration
	StopTimeout   units.Duration
	LogLevel      string
	// OwnEndpoints gives each instance its own endpoint at both platform
	// stand-ins, so that faults can be set for single instances.
	OwnEndpoints bool

	// networkOctet is the second octet of the cell's loopback addresses.
	networkOctet int
}

// DefaultSpec returns a small cell in two data centres.
func DefaultSpec() Spec {
	t := target.DefaultTarget()
	t.Service = target.Service{Distribution: "lognormal", Mean: units.Duration(3 * time.Millisecond), Sigma: 0.5}
	t.ConnectTime = units.Duration(6 * time.Millisecond)
	return Spec{
		Bin:            "bin",
		Places:         []string{"ikeja", "lekki"},
		Instances:      2,
		Groups:         4,
		Replicas:       2,
		BookingTargets: 2,
		Slots:          2,
		Connections:    25,
		Partitions:     2,
		Target:         t,
		Policy:         model.PolicyFull,
		Seed:           1,
		BalancerDelay:  units.Duration(500 * time.Millisecond),
		StopTimeout:    units.Duration(10 * time.Second),
		LogLevel:       "info",
		// The daemon's default is 10 ms too.
		FixedHedgeDelay: units.Duration(10 * time.Millisecond),
	}
}

// maxProcesses bounds the processes of one cell, so that several cells together
// stay below a few hundred processes on one machine.
const maxProcesses = 64

// Validate returns an error for the first value that is out of range.
func (s *Spec) Validate() error {
	switch {
	case len(s.Places) == 0 || len(s.Places) > 200:
		return errors.New("use 1 to 200 places")
	case s.Instances < 0 || s.Instances+len(s.Places)+2 > maxProcesses:
		return fmt.Errorf("use 0 or more instances and at most %d processes: one for each instance and place, and 2 platform stand-ins", maxProcesses)
	case s.Groups < 1 || s.Replicas < 1 || s.Slots < 1 || s.Partitions < 1:
		return errors.New("groups, replicas, slots and partitions must be at least 1")
	case s.Replicas > len(s.Places):
		return errors.New("use at most as many replicas as places: each replica of a group is in a place of its own")
	}
	return nil
}
