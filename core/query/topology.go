package query

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/view"
)

// topology holds the targets, groups and routes. Each keeps its index for the life
// of the process, even while its name is not published, so that calls in progress
// can refer to it by index.
type topology struct {
	targets     []target
	groups      []group
	routes      []route
	targetIndex map[model.TargetID]int32
	groupIndex  map[model.GroupID]int32
	routeIndex  map[model.RouteID]int32
}

func (t *topology) init() {
	t.targetIndex = map[model.TargetID]int32{}
	t.groupIndex = map[model.GroupID]int32{}
	t.routeIndex = map[model.RouteID]int32{}
}

// target is what this instance knows of a target, as an entry instance and as the
// lead of the target.
type target struct {
	id        model.TargetID
	address   string
	slots     int
	group     int32
	published bool

	// Copied from the view.
	lead     view.Lead
	leadPeer int32 // none if the lead is this instance or unknown
	info     view.TargetInfo
	eligible bool

	entryState
	leadState
}

type group struct {
	id       model.GroupID
	replicas []int32
	routes   []int32
	latency  quantile // of sub-requests, as measured at the entry instance, with the wait at the lead
}

type route struct {
	id        model.RouteID
	kind      objects.RouteKind
	groups    []int32
	published bool
	snapshot  snapshotChoice
}

// applyChanges updates the data plane after changes in the control plane.
func (e *Engine) applyChanges(c view.Changes) {
	if set := e.view.Set(); set != nil && (c.Set || set != e.set) {
		e.loadSet(set)
	}
	e.lostPeers = c.LostPeers
	for _, id := range c.Targets {
		if i, ok := e.targetIndex[id]; ok {
			e.refreshTarget(i)
		}
	}
	if ready := e.view.Readiness(); ready != e.readiness {
		e.readiness = ready
		e.handleReadinessChange()
	}
	for _, id := range c.LostPeers {
		e.handlePeerLost(id)
	}
}

func (e *Engine) loadSet(set *objects.Set) {
	e.set = set
	e.setLimits(set.Limits)
	for i := range e.targets {
		e.targets[i].published = false
	}
	for i := range e.groups {
		g := &e.groups[i]
		g.replicas, g.routes = g.replicas[:0], g.routes[:0]
	}
	for i := range e.routes {
		e.routes[i].published = false
	}
	for i := range set.Groups {
		e.loadGroup(&set.Groups[i])
	}
	for i := range set.Routes {
		e.loadRoute(&set.Routes[i])
	}
	for i := range e.targets {
		e.refreshTarget(int32(i))
	}
}

func (e *Engine) loadGroup(src *objects.TargetGroup) {
	g, ok := e.groupIndex[model.GroupID(src.Name)]
	if !ok {
		g = int32(len(e.groups))
		e.groups = append(e.groups, group{id: model.GroupID(src.Name)})
		e.groupIndex[model.GroupID(src.Name)] = g
	}
	for j := range src.Targets {
		s := &src.Targets[j]
		i, ok := e.targetIndex[model.TargetID(s.Name)]
		if !ok {
			i = int32(len(e.targets))
			e.targets = append(e.targets, target{id: model.TargetID(s.Name), leadPeer: none})
			e.targets[i].timer = e.timers.create(timerTarget, i)
			e.targetIndex[model.TargetID(s.Name)] = i
		}
		t := &e.targets[i]
		t.address, t.slots, t.group, t.published = s.Address, max(s.Slots, 1), g, true
		e.groups[g].replicas = append(e.groups[g].replicas, i)
	}
}

func (e *Engine) loadRoute(src *objects.Route) {
	r, ok := e.routeIndex[model.RouteID(src.Name)]
	if !ok {
		r = int32(len(e.routes))
		e.routes = append(e.routes, route{id: model.RouteID(src.Name)})
		e.routeIndex[model.RouteID(src.Name)] = r
	}
	dst := &e.routes[r]
	dst.kind, dst.published, dst.groups = src.Kind, true, dst.groups[:0]
	dst.snapshot.stale = true
	for _, name := range src.Groups {
		if g, ok := e.groupIndex[model.GroupID(name)]; ok {
			dst.groups = append(dst.groups, g)
			e.groups[g].routes = append(e.groups[g].routes, r)
		}
	}
}

// refreshTarget copies the state of a target from the view and acts on changes of
// its lead, eligibility and versions.
func (e *Engine) refreshTarget(i int32) {
	t := &e.targets[i]
	lead, info := e.view.Lead(t.id), e.view.Target(t.id)
	eligible := t.published && e.view.Eligible(t.id)
	if !t.published {
		lead = view.Lead{}
	}
	if eligible != t.eligible || (info.Level > 0) != (t.info.Level > 0) ||
		(lead.Instance == "") != (t.lead.Instance == "") || info.Known != t.info.Known ||
		!sameVersions(info.Versions, t.info.Versions) || info.Incarnation != t.info.Incarnation {
		t.goneVersion, t.goneUntil = 0, 0
		for _, r := range e.groups[t.group].routes {
			e.routes[r].snapshot.stale = true
		}
	}
	previous := t.lead
	t.lead, t.info, t.eligible = lead, info, eligible
	if previous.Instance != lead.Instance {
		t.resetReports()
		t.handoverUntil = e.handoverEnd(previous.Instance)
		t.leadPeer = none
		if !lead.Self && lead.Instance != "" {
			t.leadPeer = e.peerFor(lead.Instance)
		}
	}
	if t.leadPeer != none {
		e.peers[t.leadPeer].address = lead.Address
	}
	if previous.Self != lead.Self {
		e.handleLeadChange(i)
	}
	if lead.Self {
		e.updateIncarnation(i, info.Incarnation)
		e.clampLevel(i)
	}
	e.markTargetDirty(i)
}

// plannedHandoverTime is the expected duration of a handover with a release. It
// covers the old lead's last work at the target and an exchange of messages.
const plannedHandoverTime = 100 * time.Millisecond

// handoverEnd returns the time at which the successor of the previous lead is
// expected to send work. It is zero if there was no previous lead.
func (e *Engine) handoverEnd(previous model.InstanceID) time.Duration {
	switch {
	case previous == "":
		return 0
	case slices.Contains(e.lostPeers, previous):
		return e.now + view.HandoverTimeout
	}
	return e.now + plannedHandoverTime
}

// inHandover reports whether, as far as this instance knows, the lead of the
// target cannot send work yet.
func (e *Engine) inHandover(t *target) bool {
	if t.lead.Self {
		return !t.lead.Active
	}
	return e.now < t.handoverUntil
}

func sameVersions(a, b []model.VersionReport) bool {
	return slices.EqualFunc(a, b, func(x, y model.VersionReport) bool {
		return x.Version == y.Version && x.Total == y.Total && slices.Equal(x.Partitions, y.Partitions)
	})
}

// entryState is what this instance, as an entry instance, learned about a target
// from its own sub-requests.
type entryState struct {
	latency         time.Duration // moving average without the wait at the lead, zero if unknown
	sampledAt       time.Duration // time of the last latency sample or start of a trial
	trialDelay      time.Duration // time from sampledAt to the next trial of a slow target
	reportedWait    time.Duration // wait for a slot that the lead last reported
	reportedAt      time.Duration
	reportedLevel   int                   // warm-up level that the lead last reported
	sentSinceReport int                   // sub-requests in progress that were sent after that report
	handoverUntil   time.Duration         // expected end of the handover to the present lead
	goneVersion     model.SnapshotVersion // newest version refused recently; older ones count as refused too
	goneUntil       time.Duration         // time until which goneVersion is not requested
}

func (s *entryState) resetReports() { s.reportedWait, s.sentSinceReport, s.reportedLevel = 0, 0, 0 }
