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

// Options configure a measurement.
type Options struct {
	// Spec is the deployment. Its policy is replaced by each of Policies.
	Spec      cell.Spec
	Policies  []model.Policy
	Scenarios []Scenario
	// Percents are the loads, as shares of the capacity in percent.
	Percents []float64
	// Duration is the time that is measured, after WarmUp.
	Duration     time.Duration
	WarmUp       time.Duration
	Deadline     time.Duration
	BookingShare float64
	Seed         uint64
	// BareGroups are the numbers of groups at which the client without any
	// policy is measured; none if empty.
	BareGroups []int
	// BareRate is the load of the client without any policy, in searches per
	// second.
	BareRate float64
	// Logs is the directory for settings and logs.
	Logs string
}

// AllPolicies are the policies that can be compared.
var AllPolicies = []model.Policy{model.PolicyFull, model.PolicyNaive, model.PolicyFixedHedge, model.PolicyNoSharing}

// DefaultOptions returns a deployment of today's size.
func DefaultOptions() Options {
	spec := cell.DefaultSpec()
	spec.Places = []string{"ikeja", "lekki", "yaba", "apapa"}
	spec.Instances = 8
	spec.Groups = 20
	spec.BookingTargets = 10
	spec.LogLevel = "warn"
	// The service time is long against the cost of a request on one machine,
	// so that the queues are those of the targets and not of the processor.
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

// Validate reports the first option that cannot be used.
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

// capacity is the number of searches per second that the targets can serve: a
// search takes one slot of each group for one service time.
func capacity(s cell.Spec) float64 {
	return float64(s.Replicas*s.Slots) / s.Target.Service.Mean.D().Seconds()
}
