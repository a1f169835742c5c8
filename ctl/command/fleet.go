package command

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"galenadyke.dev/ctl/client"
)

// maxConfirmedAgeMS is the age in milliseconds above which the confirmation of
// a configuration is reported as old.
const maxConfirmedAgeMS = 2000

// fleetReport compares the statuses of several instances.
type fleetReport struct {
	Instances []instanceReport `json:"instances"`
	// Targets lists the targets that are not fully in service, sorted by name.
	Targets []targetReport `json:"targets"`
	// Problems lists what an operator should look into.
	Problems []problem `json:"problems"`
}

// targetReport is a target that is out, draining, down or warming up.
type targetReport struct {
	client.TargetStatus
	// State lists those of the states out, draining, down and cold that apply.
	State []string `json:"state"`
	// Source is the instance from whose status the report is taken: the target's
	// lead if the lead answered.
	Source string `json:"source"`
}

// problemKind is the stable identifier of a problem.
type problemKind string

// The kinds of problems.
const (
	problemUnreachable         problemKind = "unreachable"
	problemNotReady            problemKind = "not-ready"
	problemConfigurationBehind problemKind = "configuration-behind"
	problemConfirmationOld     problemKind = "confirmation-old"
	problemInstanceTwice       problemKind = "instance-twice"
	problemLeadsDiffer         problemKind = "leads-differ"
	problemMembersDiffer       problemKind = "members-differ"
)

// problem is a fault or a disagreement that an operator should look into.
type problem struct {
	Kind    problemKind `json:"kind"`
	Subject string      `json:"subject"` // an instance, an address or a target
	Message string      `json:"message"`
}

func newFleetReport(instances []instanceReport) fleetReport {
	r := fleetReport{Instances: instances, Targets: []targetReport{}, Problems: []problem{}}
	r.checkInstances()
	r.checkConfiguration()
	r.checkMembers()
	r.mergeTargets()
	return r
}

func (r *fleetReport) addProblem(kind problemKind, subject, format string, args ...any) {
	r.Problems = append(r.Problems, problem{Kind: kind, Subject: subject, Message: fmt.Sprintf(format, args...)})
}

// statuses returns the statuses that were received, in the order of the
// addresses.
func (r *fleetReport) statuses() []*client.Status {
	var received []*client.Status
	for _, inst := range r.Instances {
		if inst.Status != nil {
			received = append(received, inst.Status)
		}
	}
	return received
}

// checkInstances reports instances that did not answer, share a name, are not
// ready or have an old confirmation of their configuration.
func (r *fleetReport) checkInstances() {
	addresses := map[string]string{}
	for _, inst := range r.Instances {
		if inst.Status == nil {
			r.addProblem(problemUnreachable, inst.Address, "%s", inst.Error)
			continue
		}
		if firstAddress, ok := addresses[inst.Status.Instance]; ok {
			r.addProblem(problemInstanceTwice, inst.Status.Instance, "%s and %s give the same name; give each instance its own",
				firstAddress, inst.Address)
		}
		addresses[inst.Status.Instance] = inst.Address
		if !inst.Status.Ready {
			r.addProblem(problemNotReady, inst.Status.Instance, "not ready: %s", orDash(inst.Status.Reason))
		}
		if inst.Status.Generation > 0 && inst.Status.ConfirmedAgeMS > maxConfirmedAgeMS {
			r.addProblem(problemConfirmationOld, inst.Status.Instance, "configuration last confirmed %s ago", formatAge(inst.Status.ConfirmedAgeMS))
		}
	}
}

// checkConfiguration reports each instance whose configuration is not the newest
// among the received statuses.
func (r *fleetReport) checkConfiguration() {
	received := r.statuses()
	if len(received) == 0 {
		return
	}
	newest := slices.MaxFunc(received, func(a, b *client.Status) int {
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), strings.Compare(a.Digest, b.Digest))
	})
	for _, s := range received {
		if s.Generation != newest.Generation || s.Digest != newest.Digest {
			r.addProblem(problemConfigurationBehind, s.Instance, "has %s, the newest is %s",
				formatConfiguration(s.Generation, s.Digest), formatConfiguration(newest.Generation, newest.Digest))
		}
	}
}

// checkMembers reports each instance that suspects, or does not list as a member,
// another instance that answered.
func (r *fleetReport) checkMembers() {
	for _, s := range r.statuses() {
		members := map[string]client.MemberStatus{}
		for _, m := range s.Members {
			members[m.ID] = m
		}
		for _, other := range r.statuses() {
			m, ok := members[other.Instance]
			switch {
			case other.Instance == s.Instance:
			case !ok:
				r.addProblem(problemMembersDiffer, s.Instance, "does not list instance %s", other.Instance)
			case m.Suspected:
				r.addProblem(problemMembersDiffer, s.Instance, "suspects instance %s", other.Instance)
			}
		}
	}
}

// mergeTargets lists each target that is not fully in service and reports each
// target for which the instances name different leads. The state of a target is
// taken from its lead if the lead answered.
func (r *fleetReport) mergeTargets() {
	targets := map[string]targetReport{}
	leads := map[string][]string{}
	for _, s := range r.statuses() {
		for _, t := range s.Targets {
			if _, ok := targets[t.Name]; !ok || t.Lead == s.Instance {
				targets[t.Name] = targetReport{TargetStatus: t, State: targetState(t), Source: s.Instance}
			}
			if !slices.Contains(leads[t.Name], t.Lead) {
				leads[t.Name] = append(leads[t.Name], t.Lead)
			}
		}
	}
	for _, t := range targets {
		if len(t.State) > 0 {
			r.Targets = append(r.Targets, t)
		}
	}
	slices.SortFunc(r.Targets, func(a, b targetReport) int { return strings.Compare(a.Name, b.Name) })
	var disputed []string
	for name, leadNames := range leads {
		if len(leadNames) > 1 {
			disputed = append(disputed, name)
		}
	}
	slices.Sort(disputed)
	for _, name := range disputed {
		for i, lead := range leads[name] {
			leads[name][i] = orDash(lead)
		}
		slices.Sort(leads[name])
		r.addProblem(problemLeadsDiffer, name, "instances name several leads: %s", strings.Join(leads[name], ", "))
	}
}

// targetState returns the states that keep a target from full service; it is
// empty if there are none.
func targetState(t client.TargetStatus) []string {
	var state []string
	if t.Out {
		state = append(state, "out")
	}
	if t.Draining {
		state = append(state, "draining")
	}
	switch {
	case t.Level == 0:
		state = append(state, "down")
	case t.Level < t.Slots:
		state = append(state, "cold")
	}
	return state
}

// print writes the report as tables.
func (r *fleetReport) print(w io.Writer) error {
	instances := newTable(w, "ADDRESS", "INSTANCE", "PLACE", "READY", "GENERATION", "DIGEST", "CONFIRMED", "MEMBERS", "TARGETS")
	for _, inst := range r.Instances {
		s := inst.Status
		if s == nil {
			instances.row(inst.Address, "-", "-", "no answer", "-", "-", "-", "-", "-")
			continue
		}
		instances.row(inst.Address, s.Instance, s.Place, yesNo(s.Ready), fmt.Sprint(s.Generation), shortenDigest(s.Digest),
			formatConfirmedAge(s), fmt.Sprint(len(s.Members)), fmt.Sprint(len(s.Targets)))
	}
	if err := instances.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if len(r.Targets) > 0 {
		targets := newTable(w, "TARGET", "GROUP", "STATE", "LEVEL", "LEAD", "SOURCE")
		for _, t := range r.Targets {
			targets.row(t.Name, t.Group, strings.Join(t.State, " "), fmt.Sprintf("%d of %d", t.Level, t.Slots),
				orDash(t.Lead), t.Source)
		}
		if err := targets.flush(); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "%s not fully in service\n\n", formatCount(len(r.Targets), "target"))
	if len(r.Problems) > 0 {
		problems := newTable(w, "PROBLEM", "SUBJECT", "MESSAGE")
		for _, p := range r.Problems {
			problems.row(string(p.Kind), p.Subject, p.Message)
		}
		if err := problems.flush(); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, formatCount(len(r.Problems), "problem"))
	return err
}

// formatConfirmedAge returns how long ago the configuration was last confirmed,
// or "-" if the instance has no configuration.
func formatConfirmedAge(s *client.Status) string {
	if s.Generation == 0 {
		return "-"
	}
	return formatAge(s.ConfirmedAgeMS) + " ago"
}

// formatAge formats an age given in milliseconds. From 10 s on, it is shown in
// seconds.
func formatAge(ms float64) string {
	if ms < 10_000 {
		return fmt.Sprintf("%.0f ms", ms)
	}
	return fmt.Sprintf("%.0f s", ms/1000)
}
