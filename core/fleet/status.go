package fleet

import (
	"slices"
	"strconv"
	"strings"

	"galenadyke.dev/core/model"
)

func formatIncarnation(i model.Incarnation) string { return strconv.FormatUint(uint64(i), 10) }

func formatBool(b bool) string { return strconv.FormatBool(b) }

func formatReady(r model.Ready) string {
	if r.Ready {
		return "ready"
	}
	return "not ready: " + r.Reason
}

// status builds the answer to a StatusCall. Unlike the work of a tick, it visits
// all members and targets.
func (f *Fleet) status(call model.CallID) model.Status {
	s := model.Status{Call: call, Readiness: f.announced, Config: f.configState()}
	for _, m := range f.listed {
		s.Members = append(s.Members, f.memberState(m))
	}
	if !f.self.listed {
		s.Members = append(s.Members, f.memberState(f.self))
	}
	slices.SortFunc(s.Members, func(a, b model.MemberState) int { return compareIDs(a.ID, b.ID) })
	for _, g := range f.groups {
		for _, t := range g.targets {
			s.Targets = append(s.Targets, f.targetStatus(t))
		}
	}
	slices.SortFunc(s.Targets, func(a, b model.TargetStatus) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return s
}

func (f *Fleet) targetStatus(t *target) model.TargetStatus {
	s := model.TargetStatus{
		Target: t.id, Group: t.group.id, Level: t.state.Level, Slots: t.slots,
		Draining: t.drain || t.state.Draining, Out: t.place.out, Incarnation: t.state.Incarnation,
	}
	if t.lead != nil {
		s.Lead = t.lead.id
	}
	return s
}
