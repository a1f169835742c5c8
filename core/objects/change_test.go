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

// A later version that wrote another form would be refused by the instances
// that still run.
func TestCanonicalFormIsFixed(t *testing.T) {
	if _, findings := Parse([]byte(smallBundle)); len(findings) > 0 {
		t.Fatal(findings)
	}
}

// An operator publishes on the strength of the differences shown; a change
// that is left out would come into force unseen.
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
		t.Errorf("%d objects added to an empty set, want 177", n)
	}
}

// A plan that overstates what is left would let an operator take out a place
// on which a group depends.
func TestPlan(t *testing.T) {
	set := loadLagos(t).clone()
	set.Orders[0].InForce = 1
	set.Orders = append(set.Orders, Order{Name: "yesterday", InForce: 0, Steps: []Step{{StepLeave, "lekki"}}})
	set.Orders[0].Steps = set.Orders[0].Steps[:2] // ikeja leaves and returns
	steps := Plan(set)
	if len(steps) != 3 {
		t.Fatalf("%d steps", len(steps))
	}
	full := RouteCapacity{Targets: 10, Slots: 20, Connections: 1000, Coverage: 1}
	less := RouteCapacity{Targets: 7, Slots: 14, Connections: 700, Coverage: 1}
	want := PlanStep{Order: "weekend", Number: 1, Action: StepLeave, Place: "ikeja", InForce: true}
	got := steps[0]
	got.Routes = nil
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("first step (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(RouteEffect{"order-desk", RouteBooking, full, less}, steps[0].Routes[2]); diff != "" {
		t.Errorf("first step, order-desk (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(RouteEffect{"order-desk", RouteBooking, less, full}, steps[1].Routes[2]); diff != "" {
		t.Errorf("second step, order-desk (-want +got):\n%s", diff)
	}
	// Ikeja is out by the first order when lekki leaves by the second: 10
	// targets each, among them both replicas of groups 01, 10 and 13.
	rigging := steps[2].Routes[3].After
	if len(rigging.Lost) != 3 || len(rigging.Single) != 14 || rigging.Coverage != 0.85 || rigging.Targets != 20 {
		t.Errorf("third step, rigging-desk: %+v", rigging)
	}
}
