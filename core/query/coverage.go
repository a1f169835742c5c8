package query

import (
	"slices"

	"galenadyke.dev/core/model"
)

// bitset is a set of partition numbers.
type bitset []uint64

// reset empties the set and makes room for the numbers 0 to n-1.
func (b *bitset) reset(n int) {
	words := (n + 63) / 64
	if cap(*b) < words {
		*b = make(bitset, words)
	}
	*b = (*b)[:words]
	clear(*b)
}

// add adds n and reports whether it was not in the set.
func (b bitset) add(n uint32) bool {
	w, bit := n/64, uint64(1)<<(n%64)
	if b[w]&bit != 0 {
		return false
	}
	b[w] |= bit
	return true
}

// coverage returns the number of distinct partitions that the answers cover.
// Partitions are numbered from 0 or from 1, and checkAnswer has rejected answers
// with a number above the total. The set therefore holds the numbers 0 to total,
// and the count, which could be total+1 if targets mix both ways of numbering, is
// capped at the total.
func (e *Engine) coverage(s *searchState) int {
	e.coveredPartitions.reset(s.totalPartitions + 1)
	n := 0
	for k := range s.parts {
		if s.parts[k].state != partAnswered {
			continue
		}
		for _, x := range s.parts[k].partitions {
			if e.coveredPartitions.add(x) {
				n++
			}
		}
	}
	return min(n, s.totalPartitions)
}

// checkAnswer returns KindTargetAnswer if an answer does not match the request, and
// KindNone otherwise. The answer must come from the snapshot of the search, must
// not be truncated, must cover every partition that the target reported for that
// snapshot, and must contain no partition number above the total. Partitions that
// the target did not report are accepted if a replica of its group reported them.
func (e *Engine) checkAnswer(c *call, a *attempt, answer *model.TargetAnswer) model.Kind {
	if answer.Snapshot != c.search.snapshot {
		return model.KindTargetAnswer
	}
	if answer.Truncated || slices.ContainsFunc(answer.Partitions, func(x uint32) bool { return int(x) > c.search.totalPartitions }) {
		return model.KindTargetAnswer
	}
	if slices.Equal(answer.Partitions, a.expectedPartitions) {
		return model.KindNone
	}
	for _, x := range a.expectedPartitions {
		if !slices.Contains(answer.Partitions, x) {
			return model.KindTargetAnswer
		}
	}
	g := e.targets[a.target].group
	for _, x := range answer.Partitions {
		if !slices.Contains(a.expectedPartitions, x) && !e.groupHolds(g, c.search.snapshot, x) {
			return model.KindTargetAnswer
		}
	}
	return model.KindNone
}

// groupHolds reports whether a replica of the group reported the partition for the
// snapshot with version v.
func (e *Engine) groupHolds(g int32, v model.SnapshotVersion, partition uint32) bool {
	for _, i := range e.groups[g].replicas {
		if r := findVersion(e.targets[i].info.Versions, v); r != nil && slices.Contains(r.Partitions, partition) {
			return true
		}
	}
	return false
}
