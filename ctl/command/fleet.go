package command

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"galenadyke.dev/ctl/client"
)

// confirmMaxAgeMS is the age up to which a confirmation counts, in
// milliseconds.
const confirmMaxAgeMS = 2000

// fleetReport compares the answers of several instances.
type fleetReport struct {
	Instances []instanceReport `json:"instances"`
	// Targets lists the targets that are not fully in service, by name.
	Targets []targetReport `json:"targets"`
	// Problems lists what an operator should look into.
	Problems []problem `json:"problems"`
}

// targetReport is a target that drains, is out or warms up.
type targetReport struct {
	client.TargetStatus
	// State lists out, draining, down and cold, as they apply.
	State []string `json:"state"`
	// Source is the instance that reported it: the lead if it was asked.
	Source string `json:"source"`
}

// problemKind is the stable identifier of a problem.
type problemKind string

// The kinds of problem.
const (
	problemUnreachable problemKind = "unreachable"
	problemNotReady    problemKind = "not-ready"
	problemBehind      problemKind = "configuration-behind"
	problemUnconfirmed problemKind = "confirmation-old"
	problemTwice       problemKind = "instance-twice"
	problemLeads       problemKind = "leads-differ"
	problemMembers     problemKind = "members-differ"
)

// problem is one entry of the list of problems.
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

func (r *fleetReport) add(kind problemKind, subject, format string, args ...any) {
	r.Problems = append(r.Problems, problem{Kind: kind, Subject: subject, Message: fmt.Sprintf(format, args...)})
}

// answers returns the states that were received, in the order asked.
func (r *fleetReport) answers() []*client.Status {
	var answers []*client.Status
	for _, i := range r.Instances {
		if i.Status != nil {
			answers = append(answers, i.Status)
		}
	}
	return answers
}

func (r *fleetReport) checkInstances() {
	seen := map[string]string{}
	for _, i := range r.Instances {
		if i.Status == nil {
			r.add(problemUnreachable, i.Address, "%s", i.Error)
			continue
		}
		if other, ok := seen[i.Status.Instance]; ok {
			r.add(problemTwice, i.Status.Instance, "%s and %s give the same name; give each instance its own",
				other, i.Address)
		}
		seen[i.Status.Instance] = i.Address
		if !i.Status.Ready {
			r.add(problemNotReady, i.Status.Instance, "not ready: %s", dash(i.Status.Reason))
		}
		if i.Status.Generation > 0 && i.Status.ConfirmedAgeMS > confirmMaxAgeMS {
			r.add(problemUnconfirmed, i.Status.Instance, "configuration last confirmed %s ago", age(i.Status.ConfirmedAgeMS))
		}
	}
}

// checkConfiguration reports every instance that has not got the newest set.
func (r *fleetReport) checkConfiguration() {
	answers := r.answers()
	if len(answers) == 0 {
		return
	}
	newest := slices.MaxFunc(answers, func(a, b *client.Status) int {
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), strings.Compare(a.Digest, b.Digest))
	})
	for _, s := range answers {
		if s.Generation != newest.Generation || s.Digest != newest.Digest {
			r.add(problemBehind, s.Instance, "has %s, the newest is %s",
				formatOrder(s.Generation, s.Digest), formatOrder(newest.Generation, newest.Digest))
		}
	}
}

// checkMembers reports instances that were asked and answered, but that
// another one suspects or does not list.
func (r *fleetReport) checkMembers() {
	for _, s := range r.answers() {
		listed := map[string]client.MemberStatus{}
		for _, m := range s.Members {
			listed[m.ID] = m
		}
		for _, other := range r.answers() {
			m, ok := listed[other.Instance]
			switch {
			case other.Instance == s.Instance:
			case !ok:
				r.add(problemMembers, s.Instance, "does not list instance %s", other.Instance)
			case m.Suspected:
				r.add(problemMembers, s.Instance, "suspects instance %s", other.Instance)
			}
		}
	}
}

// mergeTargets lists each target that is not fully in service, from the answer
// of its lead where that was asked, and reports targets on whose lead the
// instances do not agree.
func (r *fleetReport) mergeTargets() {
	targets := map[string]targetReport{}
	leads := map[string][]string{}
	for _, s := range r.answers() {
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
	for name, found := range leads {
		if len(found) > 1 {
			disputed = append(disputed, name)
		}
	}
	slices.Sort(disputed)
	for _, name := range disputed {
		for i, lead := range leads[name] {
			leads[name][i] = dash(lead)
		}
		slices.Sort(leads[name])
		r.add(problemLeads, name, "instances name several leads: %s", strings.Join(leads[name], ", "))
	}
}

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
	for _, i := range r.Instances {
		s := i.Status
		if s == nil {
			instances.row(i.Address, "-", "-", "no answer", "-", "-", "-", "-", "-")
			continue
		}
		instances.row(i.Address, s.Instance, s.Place, yesNo(s.Ready), fmt.Sprint(s.Generation), shortDigest(s.Digest),
			confirmed(s), fmt.Sprint(len(s.Members)), fmt.Sprint(len(s.Targets)))
	}
	if err := instances.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if len(r.Targets) > 0 {
		targets := newTable(w, "TARGET", "GROUP", "STATE", "LEVEL", "LEAD", "SOURCE")
		for _, t := range r.Targets {
			targets.row(t.Name, t.Group, strings.Join(t.State, " "), fmt.Sprintf("%d of %d", t.Level, t.Slots),
				dash(t.Lead), t.Source)
		}
		if err := targets.flush(); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "%s not fully in service\n\n", count(len(r.Targets), "target"))
	if len(r.Problems) > 0 {
		problems := newTable(w, "PROBLEM", "SUBJECT", "MESSAGE")
		for _, p := range r.Problems {
			problems.row(string(p.Kind), p.Subject, p.Message)
		}
		if err := problems.flush(); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, count(len(r.Problems), "problem"))
	return err
}

// confirmed tells when the configuration was last confirmed, if there is one.
func confirmed(s *client.Status) string {
	if s.Generation == 0 {
		return "-"
	}
	return age(s.ConfirmedAgeMS) + " ago"
}

// age formats an age in milliseconds.
func age(ms float64) string {
	if ms < 10_000 {
		return fmt.Sprintf("%.0f ms", ms)
	}
	return fmt.Sprintf("%.0f s", ms/1000)
}
