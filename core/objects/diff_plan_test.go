package objects

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func loadLagos(t *testing.T) *Set {
	source, findings := Load([]string{"../../examples/lagos"})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return source.Set
}

// Guards against a change of the canonical form: instances of an earlier version
// would refuse the bundles of a later version.
func TestCanonicalFormIsFixed(t *testing.T) {
	if _, findings := Parse([]byte(smallBundle)); len(findings) > 0 {
		t.Fatal(findings)
	}
}

// Guards against differences missing from Diff: an operator reviews them before
// publishing, and a missing change would come into force unnoticed.
func TestDiff(t *testing.T) {
	before := loadLagos(t)
	after := before.clone()
	after.Orders[0].InForce = 1
	after.Orders[0].Steps = after.Orders[0].Steps[:7]
	after.Limits.HedgeShare = 0.5
	after.Places[0].Region = "ogun"
	after.Routes[2].Groups = after.Routes[2].Groups[1:] // order-desk
	after.Groups[0].Targets[0].Drain = true
	after.Groups[0].Targets[1].Name = "z"
	want := []Change{
		{ChangeChanged, KindLimits, "limits", "hedge_share", "0.02", "0.5"},
		{ChangeChanged, KindOrder, "weekend", "in_force", "0", "1"},
		{ChangeChanged, KindOrder, "weekend", "steps[7]", "return apapa", ""},
		{ChangeChanged, KindPlace, "apapa", "region", "lagos", "ogun"},
		{ChangeChanged, KindRoute, "order-desk", "groups[order-desk]", "order-desk", ""},
		{ChangeChanged, kindTarget, "catalogue-feed-01-a", "drain", "false", "true"},
		{ChangeRemoved, kindTarget, "catalogue-feed-01-b", "",
			"group=catalogue-feed-01 address=127.10.2.11:7102 place=lekki slots=2 connections=25 drain=false", ""},
		{ChangeAdded, kindTarget, "z", "",
			"", "group=catalogue-feed-01 address=127.10.2.11:7102 place=lekki slots=2 connections=25 drain=false"},
	}
	if diff := cmp.Diff(want, Diff(before, after)); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	// Limits, order, 4 places, 4 routes, 52 groups and 115 targets.
	if n := len(Diff(nil, before)); n != 177 {
		t.Errorf("Diff from the empty set: got %d changes, want 177", n)
	}
}

// Guards against a plan that overstates the remaining capacity: an operator could
// then take out a place on which a group depends.
func TestPlan(t *testing.T) {
	set := loadLagos(t).clone()
	set.Orders[0].InForce = 1
	set.Orders = append(set.Orders, Order{Name: "yesterday", InForce: 0, Steps: []Step{{StepLeave, "lekki"}}})
	set.Orders[0].Steps = set.Orders[0].Steps[:2] // ikeja leaves and returns
	steps := Plan(set)
	if len(steps) != 3 {
		t.Fatalf("got %d plan steps, want 3", len(steps))
	}
	full := RouteCapacity{Targets: 10, Slots: 20, Connections: 1000, Coverage: 1}
	reduced := RouteCapacity{Targets: 7, Slots: 14, Connections: 700, Coverage: 1}
	want := PlanStep{Order: "weekend", Number: 1, Action: StepLeave, Place: "ikeja", InForce: true}
	got := steps[0]
	got.Routes = nil
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("first step (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(RouteEffect{"order-desk", RouteBooking, full, reduced}, steps[0].Routes[2]); diff != "" {
		t.Errorf("first step, order-desk (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(RouteEffect{"order-desk", RouteBooking, reduced, full}, steps[1].Routes[2]); diff != "" {
		t.Errorf("second step, order-desk (-want +got):\n%s", diff)
	}
	// In the third step, lekki leaves by the second order while ikeja is out by
	// the first. Each place has 10 targets; groups 01, 10 and 13 have both
	// replicas in these places.
	riggingDesk := steps[2].Routes[3].After
	if len(riggingDesk.Lost) != 3 || len(riggingDesk.Single) != 14 || riggingDesk.Coverage != 0.85 || riggingDesk.Targets != 20 {
		t.Errorf("third step, rigging-desk: got %+v, want 3 lost and 14 single groups, coverage 0.85 and 20 targets", riggingDesk)
	}
}
