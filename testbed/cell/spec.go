package cell

import (
	"errors"
	"fmt"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/testbed/target"
	"galenadyke.dev/testbed/units"
)

// The names that every cell uses.
const (
	SearchRoute  = "rigging-desk"
	BookingRoute = "order-desk"
	orderName    = "weekend"
	configKey    = "galenadyke/set"
	serviceName  = "galenadyke"
)

// Spec describes a cell.
type Spec struct {
	// Bin is the directory with the binaries.
	Bin string
	// Dir receives settings and logs.
	Dir string
	// Places are the data centres. Instances and replicas are spread over
	// them in turn, so that the replicas of a group are in different ones.
	Places    []string
	Instances int
	Groups    int
	Replicas  int
	// BookingTargets is the size of the booking group.
	BookingTargets int
	Slots          int
	Connections    int
	// Partitions is the number of partitions that each group holds.
	Partitions int
	// Target holds the settings that all targets start from.
	Target target.Config
	Policy model.Policy
	// FixedHedgeDelay is for the policy of that name.
	FixedHedgeDelay units.Duration
	Seed            uint64
	BalancerDelay   units.Duration
	StopTimeout     units.Duration
	LogLevel        string
	// OwnEndpoints gives each instance its own endpoint of the platform, so
	// that faults can differ between them.
	OwnEndpoints bool

	// network is the second number of the loopback addresses.
	network int
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
		// The default of the product is 10 ms as well.
		FixedHedgeDelay: units.Duration(10 * time.Millisecond),
	}
}

// maxProcesses keeps a cell well below a few hundred processes.
const maxProcesses = 64

// Validate reports the first value that cannot be used.
func (s *Spec) Validate() error {
	switch {
	case len(s.Places) == 0 || len(s.Places) > 200:
		return errors.New("use 1 to 200 places")
	case s.Instances < 0 || s.Instances+len(s.Places)+2 > maxProcesses:
		return fmt.Errorf("use 0 or more instances and at most %d processes", maxProcesses)
	case s.Groups < 1 || s.Replicas < 1 || s.Slots < 1 || s.Partitions < 1:
		return errors.New("groups, replicas, slots and partitions must be at least 1")
	case s.Replicas > len(s.Places):
		return errors.New("use at most as many replicas as places, so that each is in its own")
	}
	return nil
}
