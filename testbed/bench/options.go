package bench

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/testbed/cell"
	"galenadyke.dev/testbed/target"
	"galenadyke.dev/testbed/units"
)

// Options configures a measurement.
type Options struct {
	// Spec is the deployment. Its Policy is replaced by each of Policies in turn,
	// and its Dir by a new directory in Logs for each run.
	Spec      cell.Spec
	Policies  []model.Policy
	Scenarios []Scenario
	// Percents holds the loads in percent of the capacity of the targets.
	Percents []float64
	// Duration is the measured time of a run, which follows WarmUp.
	Duration     time.Duration
	WarmUp       time.Duration
	Deadline     time.Duration // of each call
	BookingShare float64       // share of the calls that are bookings, 0 to 1
	Seed         uint64
	// BareGroups holds the numbers of groups with which the client without any
	// policy is measured. If it is empty, that client is not measured.
	BareGroups []int
	// BareRate is the load of the client without any policy, in searches per
	// second.
	BareRate float64
	// Logs is the directory for the settings and logs of the processes.
	Logs string
}

// AllPolicies lists the policies that can be compared.
var AllPolicies = []model.Policy{model.PolicyFull, model.PolicyNaive, model.PolicyFixedHedge, model.PolicyNoSharing}

// DefaultOptions returns options for a deployment of today's size.
func DefaultOptions() Options {
	spec := cell.DefaultSpec()
	spec.Places = []string{"ikeja", "lekki", "yaba", "apapa"}
	spec.Instances = 8
	spec.Groups = 20
	spec.BookingTargets = 10
	spec.LogLevel = "warn"
	// The service time is long compared with the processor time of a request
	// on one machine, so that requests queue at the targets and not for the
	// processor.
	spec.Target.Service = target.Service{Distribution: "lognormal", Mean: units.Duration(10 * time.Millisecond), Sigma: 0.5}
	spec.Target.Cold.Warm = true
	return Options{
		Spec:         spec,
		Policies:     AllPolicies,
		Scenarios:    AllScenarios,
		Percents:     []float64{40, 70},
		Duration:     10 * time.Second,
		WarmUp:       4 * time.Second,
		Deadline:     140 * time.Millisecond,
		BookingShare: 0.02,
		Seed:         1,
		BareRate:     40,
	}
}

// Validate returns an error for the first invalid option.
func (o *Options) Validate() error {
	for _, p := range o.Policies {
		if !slices.Contains(AllPolicies, p) {
			return fmt.Errorf("policy %q: use one of %v", p, AllPolicies)
		}
	}
	for _, s := range o.Scenarios {
		if !slices.Contains(AllScenarios, s) {
			return fmt.Errorf("scenario %q: use one of %v", s, AllScenarios)
		}
	}
	for _, p := range o.Percents {
		if p <= 0 || p > 200 {
			return fmt.Errorf("load %v %%: use more than 0 and at most 200", p)
		}
	}
	if o.Duration < time.Second || o.WarmUp < 0 {
		return errors.New("duration must be at least 1s and warm-up at least 0s")
	}
	return o.Spec.Validate()
}

// capacity returns the number of searches per second that the targets can
// serve. A search occupies one slot in each group for one service time.
func capacity(s cell.Spec) float64 {
	return float64(s.Replicas*s.Slots) / s.Target.Service.Mean.D().Seconds()
}
