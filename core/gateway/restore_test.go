package gateway

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// newHarnessBeforeRestore returns an instance that knows era 1 at revision 50 with three
// ready targets of service "s" in its data centre whose last report is 20.
func newHarnessBeforeRestore(t *testing.T) (*harness, []Target) {
	h := newHarness(t)
	targets := readyTargets("s", 3)
	for i := range targets {
		targets[i].Place, targets[i].StartedAtMillis, targets[i].Report = "ikeja", 1000, 20
	}
	h.publish(1, targets, plainRoute(true))
	h.run(2 * time.Second)
	h.step(StoreRead{Era: 1, Revision: 50, Complete: true, Targets: targets})
	return h, targets
}

// withReport returns the target's entry with another report.
func withReport(t Target, report int64, state TargetState) Target {
	t.Report, t.State = report, state
	return t
}

// usedTargets returns the targets that get one of 30 requests.
func (h *harness) usedTargets() map[model.TargetID]bool {
	used := make(map[model.TargetID]bool)
	for range 30 {
		for _, id := range h.sentTo(h.request("/p/x", time.Second)) {
			used[id] = true
		}
		h.run(20 * ms)
	}
	return used
}

// Guards against a target that had left or was draining and is in use again, because the
// store came back from a copy in which it is ready.
func TestCopyOfTheStoreDoesNotReturnDepartedTargets(t *testing.T) {
	h, targets := newHarnessBeforeRestore(t)
	h.step(StoreRead{Era: 1, Revision: 51, Targets: []Target{withReport(targets[0], 21, TargetDraining)}, Removed: []model.TargetID{"s-1"}})
	copied := StoreRead{Era: 2, Revision: 40, Complete: true, Targets: []Target{
		withReport(targets[0], 15, TargetReady), withReport(targets[1], 15, TargetReady), targets[2]}}
	h.step(copied)
	if !h.sawEvent("StoreRestored", "store") {
		t.Error("no event StoreRestored")
	}
	check := func(when string) {
		t.Helper()
		if used := h.usedTargets(); used["s-0"] || used["s-1"] || !used["s-2"] {
			t.Errorf("%s: got requests to %v, want only to s-2", when, used)
		}
	}
	check("after the restore")
	copied.Revision = 41
	h.step(copied)
	check("after another complete read")

	// What the targets write afterwards is newer.
	h.step(StoreRead{Era: 2, Revision: 42, Targets: []Target{withReport(targets[1], 30, TargetReady)}})
	if used := h.usedTargets(); !used["s-1"] {
		t.Error("a target that reported after the restore got no request")
	}
	// After a removal in the present era the target may register again. Its reports rise, so
	// only a later one is not a late write.
	h.step(StoreRead{Era: 2, Revision: 43, Removed: []model.TargetID{"s-1"}})
	h.run(3 * lapseGrace)
	h.step(StoreRead{Era: 2, Revision: 44, Targets: []Target{withReport(targets[1], 30, TargetReady)}})
	if used := h.usedTargets(); used["s-1"] {
		t.Error("a target that had left got a request because of a write of its last report")
	}
	h.step(StoreRead{Era: 2, Revision: 45, Targets: []Target{withReport(targets[1], 31, TargetReady)}})
	if used := h.usedTargets(); !used["s-1"] {
		t.Error("a target that registered again in the same era got no request")
	}
}

// Guards against live targets that are given up because the copy from which the store came
// back is older than they are.
func TestTargetsThatTheCopyLacksStayInUseForAWhile(t *testing.T) {
	h, targets := newHarnessBeforeRestore(t)
	h.step(StoreRead{Era: 2, Revision: 40, Complete: true, Targets: targets[:1]})
	if used := h.usedTargets(); !used["s-2"] {
		t.Error("a target that the copy lacks got no request right after the restore")
	}
	h.step(StoreRead{Era: 2, Revision: 41, Targets: []Target{withReport(targets[1], 25, TargetReady)}})
	h.run(lapseGrace + 100*ms)
	if used := h.usedTargets(); !used["s-1"] || used["s-2"] {
		t.Errorf("after lapseGrace got requests to %v, want some to s-1, which registered again, and none to s-2", used)
	}
}

// Guards against requests to a data centre whose evacuation the store has lost, and against
// one that stays evacuated although operators do not write the evacuation again.
func TestEvacuationOutlivesACopyOfTheStore(t *testing.T) {
	for name, writtenAgain := range map[string]bool{"written again": true, "not written again": false} {
		t.Run(name, func(t *testing.T) {
			h, targets := newHarnessBeforeRestore(t)
			h.step(StoreRead{Era: 1, Revision: 51, Evacuated: []model.PlaceID{"ikeja"}})
			h.step(StoreRead{Era: 2, Revision: 40, Complete: true, Targets: targets})
			if used := h.usedTargets(); len(used) != 0 {
				t.Errorf("got requests to %v after the restore, want none to the evacuated data centre", used)
			}
			if writtenAgain {
				h.step(StoreRead{Era: 2, Revision: 41, Evacuated: []model.PlaceID{"ikeja"}})
			}
			h.run(2 * evacuationGrace)
			if used := h.usedTargets(); (len(used) == 0) != writtenAgain {
				t.Errorf("got requests to %v after the grace time", used)
			}
			h.step(StoreRead{Era: 2, Revision: 42, Restored: []model.PlaceID{"ikeja"}})
			if used := h.usedTargets(); len(used) == 0 {
				t.Error("the data centre is still evacuated after operators ended that")
			}
		})
	}
}

// Guards against changes of an earlier era, or single changes of an era of which nothing is
// known, that are applied to the present state.
func TestChangesOfAnotherEraAreIgnored(t *testing.T) {
	h, targets := newHarnessBeforeRestore(t)
	h.step(StoreRead{Era: 2, Revision: 45, Relayed: true, Removed: []model.TargetID{"s-0"}})
	if h.g.targets["s-0"] == nil || h.g.store.position.Era != 1 {
		t.Error("a single change of the next era was applied")
	}
	h.step(StoreRead{Era: 2, Revision: 40, Complete: true, Relayed: true, Targets: targets})
	h.step(StoreRead{Era: 1, Revision: 60, Complete: true, Targets: nil}, StoreRead{Era: 1, Revision: 61, Removed: []model.TargetID{"s-0"}})
	if got := (StorePosition{2, 40}); h.g.store.position != got || h.g.targets["s-0"] == nil {
		t.Errorf("got position %v, want %v", h.g.store.position, got)
	}
}

// Guards against an instance that stays in the earlier era, or with an older configuration
// that it read from the copy, although other instances are ahead.
func TestInstanceFetchesTheNextEraAndLaterConfigurations(t *testing.T) {
	for name, c := range map[string]struct {
		member MemberState
		want   []FetchState
	}{
		"next era, lower revision":                 {MemberState{Era: 2, Revision: 10, Configuration: 1}, []FetchState{{From: "10.0.1.1:7000"}}},
		"earlier era, higher revision":             {MemberState{Era: 0, Revision: 10, Configuration: 1}, nil},
		"same position, later configuration":       {MemberState{Era: 1, Revision: 50, Configuration: 2}, []FetchState{{From: "10.0.1.1:7000", Complete: true}}},
		"same position, same configuration":        {MemberState{Era: 1, Revision: 50, Configuration: 1}, nil},
		"same era, higher revision":                {MemberState{Era: 1, Revision: 51, Configuration: 1}, []FetchState{{From: "10.0.1.1:7000"}}},
		"earlier position and later configuration": {MemberState{Era: 1, Revision: 49, Configuration: 2}, []FetchState{{From: "10.0.1.1:7000", Complete: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newHarnessBeforeRestore(t)
			for beat := range uint64(3) {
				m := otherMember(0)
				m.Era, m.Revision, m.Configuration, m.Heartbeat = c.member.Era, c.member.Revision, c.member.Configuration, 10+beat
				h.receiveState(m)
				h.run(sourceBehindAfter)
			}
			if len(h.fetches) == 0 != (len(c.want) == 0) || len(h.fetches) > 0 && h.fetches[0] != c.want[0] {
				t.Errorf("got fetches %v, want %v", h.fetches, c.want)
			}
		})
	}
}

// Guards against a copy of the whole store that crosses data centres to each instance after
// a restore, and against an instance that stays in the earlier era if its source is behind.
func TestNextEraIsFetchedInTheOwnDataCentreFirst(t *testing.T) {
	for place, want := range map[model.PlaceID]int{"ikeja": 1, "lekki": 0} {
		h, _ := newHarnessBeforeRestore(t)
		h.step(StoreFailed{Cause: "refused"})
		m := otherMember(0)
		m.Place, m.Era, m.Revision, m.Configuration, m.Heartbeat = place, 2, 10, 1, 10
		h.receiveState(m)
		if len(h.fetches) != want {
			t.Errorf("got %d fetches from a member in %s at once, want %d", len(h.fetches), place, want)
		}
		h.run(2*sourceBehindAfter + 100*ms)
		m.Heartbeat++
		h.receiveState(m)
		if len(h.fetches) == 0 {
			t.Errorf("got no fetch from a member in %s although no other instance delivered the next era", place)
		}
	}
}

// Guards against an instance that stays in the earlier era for longer than it takes to wait
// for its source, because the time in which it waits counts twice.
func TestNextEraIsFetchedElsewhereAfterTheWait(t *testing.T) {
	h, _ := newHarnessBeforeRestore(t)
	m := otherMember(0)
	m.Place, m.Era, m.Revision, m.Configuration = "lekki", 2, 10, 1
	for beat := range uint64(2) {
		m.Heartbeat = 10 + beat
		h.receiveState(m)
		h.run(2*sourceBehindAfter + 100*ms)
	}
	if len(h.fetches) != 1 {
		t.Errorf("got %d fetches from a member that has been ahead for %v, want 1", len(h.fetches), 2*sourceBehindAfter)
	}
}
