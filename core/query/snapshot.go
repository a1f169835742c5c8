package query

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// maxPartitions is the largest number of partitions that a version may have. It
// bounds the memory for coverage if a target reports a wrong total.
const maxPartitions = 1 << 20

// snapshotChoice is the snapshot version for new searches on a route: the newest
// version that all its groups can serve. Groups without a searchable replica are
// not considered; they are missing from the answers.
type snapshotChoice struct {
	stale           bool                  // has to be chosen again
	recheckAt       time.Duration         // when a version that a target refused may be requested again
	version         model.SnapshotVersion // zero if there is none
	totalPartitions int                   // number of partitions of the version
	missing         []bool                // groups without a searchable replica, by index in the route
	reason          model.Kind            // why version is zero, KindNone otherwise
}

// currentSnapshot returns the snapshot for new searches on the route. It is chosen
// again if it is stale or recheckAt has passed.
func (e *Engine) currentSnapshot(r int32) *snapshotChoice {
	choice := &e.routes[r].snapshot
	if choice.stale || e.now >= choice.recheckAt {
		e.chooseSnapshot(&e.routes[r])
	}
	return choice
}

func (e *Engine) chooseSnapshot(r *route) {
	s := &r.snapshot
	*s = snapshotChoice{missing: slices.Grow(s.missing[:0], len(r.groups))[:len(r.groups)], recheckAt: e.nextVersionRetry(r)}
	firstGroup := none
	for k, g := range r.groups {
		s.missing[k] = !slices.ContainsFunc(e.groups[g].replicas, e.isSearchable)
		if !s.missing[k] && firstGroup == none {
			firstGroup = g
		}
	}
	if firstGroup == none {
		s.reason = model.KindNoTarget
		return
	}
	s.reason = model.KindNoSnapshot
	for _, i := range e.groups[firstGroup].replicas {
		if !e.isSearchable(i) {
			continue
		}
		for _, v := range e.targets[i].info.Versions {
			if v.Version > s.version && e.servedByAll(r, s.missing, v.Version) && e.reportsAgree(r, &v) {
				s.version, s.totalPartitions, s.reason = v.Version, v.Total, model.KindNone
			}
		}
	}
}

// isSearchable reports whether the target is usable and has reported any version.
func (e *Engine) isSearchable(i int32) bool {
	t := &e.targets[i]
	return e.isUsable(t) && len(t.info.Versions) > 0
}

// serves reports whether the target may get a search of version v: the target has
// reported the version and has not refused it recently.
func (e *Engine) serves(i int32, v model.SnapshotVersion) bool {
	t := &e.targets[i]
	return e.isUsable(t) && (t.goneVersion < v || e.now >= t.goneUntil) && findVersion(t.info.Versions, v) != nil
}

func (e *Engine) groupServes(g int32, v model.SnapshotVersion) bool {
	for _, i := range e.groups[g].replicas {
		if e.serves(i, v) {
			return true
		}
	}
	return false
}

func (e *Engine) servedByAll(r *route, missing []bool, v model.SnapshotVersion) bool {
	for k, g := range r.groups {
		if !missing[k] && !e.groupServes(g, v) {
			return false
		}
	}
	return true
}

// reportsAgree reports whether the targets of the route agree on the total of the
// version and report no partition number above it.
func (e *Engine) reportsAgree(r *route, v *model.VersionReport) bool {
	if v.Total <= 0 || v.Total > maxPartitions {
		return false
	}
	for _, g := range r.groups {
		for _, i := range e.groups[g].replicas {
			other := findVersion(e.targets[i].info.Versions, v.Version)
			if other == nil {
				continue
			}
			// Partitions are numbered from 0 or from 1.
			if n := len(other.Partitions); other.Total != v.Total || n > 0 && int(other.Partitions[n-1]) > v.Total {
				return false
			}
		}
	}
	return true
}

func findVersion(reports []model.VersionReport, v model.SnapshotVersion) *model.VersionReport {
	for i := range reports {
		if reports[i].Version == v {
			return &reports[i]
		}
	}
	return nil
}

// restartIfVersionGone restarts the search on a newer version if a group can no
// longer serve the pinned version and at least half of the budget remains. It
// reports whether it restarted the search.
func (e *Engine) restartIfVersionGone(i int32) bool {
	c := e.calls.at(i)
	s := &c.search
	if c.arrivedAt+c.budget-e.now < c.budget/2 {
		return false
	}
	for _, k := range s.dirtyParts {
		p := &s.parts[k]
		if p.state != partOpen || !p.attempted || p.pending > 0 || e.groupServes(p.group, s.snapshot) {
			continue
		}
		if e.currentSnapshot(c.route).version <= s.snapshot {
			continue
		}
		e.cancelAttempts(c)
		s.stats.Restarts++
		e.pinSnapshot(c)
		e.markCallDirty(i)
		return true
	}
	return false
}

// versionGoneTTL is how long a version is not requested again from a target that
// refused it. It covers two probes, so that the lead's next report shows whether
// the target serves the version.
const versionGoneTTL = 2 * view.ProbeInterval

// nextVersionRetry returns the earliest time at which a target of the route may be
// asked again for a version that it refused, model.NoWake if no target refused one.
// The choice of the snapshot may change at that time.
func (e *Engine) nextVersionRetry(r *route) time.Duration {
	earliest := model.NoWake
	for _, g := range r.groups {
		for _, i := range e.groups[g].replicas {
			if t := &e.targets[i]; t.goneUntil > e.now {
				earliest = min(earliest, t.goneUntil)
			}
		}
	}
	return earliest
}

// recordVersionGone records that a target refused a version that it had reported.
func (e *Engine) recordVersionGone(i int32, v model.SnapshotVersion) {
	t := &e.targets[i]
	t.goneVersion, t.goneUntil = max(t.goneVersion, v), e.now+versionGoneTTL
	for _, r := range e.groups[t.group].routes {
		e.routes[r].snapshot.stale = true
	}
}
