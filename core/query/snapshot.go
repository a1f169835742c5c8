package query

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// maxPartitions bounds the partitions of a version, so that a wrong report
// cannot make the coverage table large.
const maxPartitions = 1 << 20

// snapshotChoice is the newest version that every group of a route can serve.
type snapshotChoice struct {
	stale   bool
	until   time.Duration         // when a refused version may be asked for again
	version model.SnapshotVersion // zero if there is none
	total   int
	left    []bool // groups without an eligible replica
	reason  model.Kind
}

// choose returns the snapshot for new searches on the route.
func (e *Engine) choose(r int32) *snapshotChoice {
	choice := &e.routes[r].snapshot
	if choice.stale || e.now >= choice.until {
		e.rechoose(&e.routes[r])
	}
	return choice
}

func (e *Engine) rechoose(r *route) {
	s := &r.snapshot
	*s = snapshotChoice{left: slices.Grow(s.left[:0], len(r.groups))[:len(r.groups)], until: e.refusedUntil(r)}
	first := none
	for k, g := range r.groups {
		s.left[k] = !slices.ContainsFunc(e.groups[g].replicas, e.searchable)
		if !s.left[k] && first == none {
			first = g
		}
	}
	if first == none {
		s.reason = model.KindNoTarget
		return
	}
	s.reason = model.KindNoSnapshot
	for _, i := range e.groups[first].replicas {
		if !e.searchable(i) {
			continue
		}
		for _, v := range e.targets[i].info.Versions {
			if v.Version > s.version && e.servedByAll(r, s.left, v.Version) && e.consistent(r, &v) {
				s.version, s.total, s.reason = v.Version, v.Total, model.KindNone
			}
		}
	}
}

// searchable reports whether the target may get new searches.
func (e *Engine) searchable(i int32) bool {
	t := &e.targets[i]
	return e.usable(t) && len(t.info.Versions) > 0
}

// serves reports whether the target may get a search of the version.
func (e *Engine) serves(i int32, v model.SnapshotVersion) bool {
	t := &e.targets[i]
	return e.usable(t) && (t.goneVersion < v || e.now >= t.goneUntil) && findVersion(t.info.Versions, v) != nil
}

func (e *Engine) groupServes(g int32, v model.SnapshotVersion) bool {
	for _, i := range e.groups[g].replicas {
		if e.serves(i, v) {
			return true
		}
	}
	return false
}

func (e *Engine) servedByAll(r *route, left []bool, v model.SnapshotVersion) bool {
	for k, g := range r.groups {
		if !left[k] && !e.groupServes(g, v) {
			return false
		}
	}
	return true
}

// consistent reports whether all reports of the version agree on its total
// and name only partitions that it can have.
func (e *Engine) consistent(r *route, v *model.VersionReport) bool {
	if v.Total <= 0 || v.Total > maxPartitions {
		return false
	}
	for _, g := range r.groups {
		for _, i := range e.groups[g].replicas {
			o := findVersion(e.targets[i].info.Versions, v.Version)
			if o == nil {
				continue
			}
			// Partitions are numbered from 0 or from 1.
			if n := len(o.Partitions); o.Total != v.Total || n > 0 && int(o.Partitions[n-1]) > v.Total {
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

// restartIfGone starts the search again on a newer version if a group can no
// longer serve the pinned one and at least half of the budget remains.
func (e *Engine) restartIfGone(i int32) bool {
	c := e.calls.at(i)
	s := &c.search
	if c.arrived+c.budget-e.now < c.budget/2 {
		return false
	}
	for _, k := range s.changed {
		p := &s.parts[k]
		if p.state != partOpen || !p.asked || p.pending > 0 || e.groupServes(p.group, s.snapshot) {
			continue
		}
		if e.choose(c.route).version <= s.snapshot {
			continue
		}
		e.cancelAttempts(c)
		s.stats.Restarts++
		e.pin(c)
		e.markCall(i)
		return true
	}
	return false
}

// versionGoneTime is the time for which a refused version is not asked for
// again: two probes, so that the lead's next report decides.
const versionGoneTime = 2 * view.ProbeInterval

// refusedUntil is the first time at which the choice has to be made again
// because the refusal of a version has aged.
func (e *Engine) refusedUntil(r *route) time.Duration {
	until := model.NoWake
	for _, g := range r.groups {
		for _, i := range e.groups[g].replicas {
			if t := &e.targets[i]; t.goneUntil > e.now {
				until = min(until, t.goneUntil)
			}
		}
	}
	return until
}

// versionGone notes that a target refused a version that it had reported.
func (e *Engine) versionGone(i int32, v model.SnapshotVersion) {
	t := &e.targets[i]
	t.goneVersion, t.goneUntil = max(t.goneVersion, v), e.now+versionGoneTime
	for _, r := range e.groups[t.group].routes {
		e.routes[r].snapshot.stale = true
	}
}
