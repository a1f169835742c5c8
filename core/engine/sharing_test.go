package engine_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/rank"
)

const (
	sharingInstances = 8
	sharingTargets   = 4
	// meanHold is the mean time for which a request holds a slot at its sender:
	// the mean of serviceTime and the way there and back.
	meanHold = (49*6*ms+40*ms)/50 + 2*targetLag
	// sharingLoad is the load on the slots.
	sharingLoad = 0.8
)

// sharingResult is what one way of sharing gives in one case.
type sharingResult struct {
	warm, cold int           // largest work at once at any target
	over       time.Duration // longest time of a target with more than its slots
	waits      []time.Duration
	late       []time.Duration // waits of the second half, when the views have settled
}

// window is the time for which the views differ, before the targets restart.
const window = 8 * second

func p99(waits []time.Duration) float64 {
	slices.Sort(waits)
	if len(waits) == 0 {
		return 0
	}
	return float64(waits[len(waits)*99/100]) / float64(ms)
}

func (r *sharingResult) row(way, name string, slots int) string {
	return fmt.Sprintf("%-22s %-28s %2d  %5.2f  %5.2f  %6.1f  %8.1f  %8.1f\n", way, name, slots,
		float64(r.warm)/float64(slots), float64(r.cold)/float64(slots), 100*float64(r.over)/float64(window), p99(r.waits), p99(r.late))
}

// viewCase is a way in which the views of the fleet differ. inject brings it
// about in a cluster; known is the model's view: whether a knows b.
type viewCase struct {
	name   string
	inject func(c *cluster)
	known  func(a, b int) bool
	extra  int // instances that join
}

func lowHalf(i int) bool { return i < sharingInstances/2 }

// score ranks the instances for a target as the core does: those of its data
// centre, which is dc0 for all targets here, come first.
func score(target, instance int) float64 {
	s := float64(rank.Score(rank.Hash(fmt.Sprintf("s%d-0", target)), rank.Hash(fmt.Sprint("i", instance))))
	if instance%2 == 0 {
		s += 1 << 64
	}
	return s
}

// one is the lead of the first target, of which the views differ.
var one = slices.MaxFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, func(a, b int) int { return cmp.Compare(score(0, a), score(0, b)) })

// blind says which instances do not know of one.
func blind(i int) bool { return i != one && i%4 >= 2 }

// friend is the only instance that still reaches one when it is suspected.
func friend() int { return (one + 1) % sharingInstances }

var viewCases = []viewCase{
	{name: "views agree", inject: func(*cluster) {}, known: func(_, _ int) bool { return true }},
	{name: "one unknown to some", inject: func(c *cluster) {
		c.views = func(n *node) []model.InstanceInfo {
			if blind(n.i) {
				return c.list(c.nodes[one])
			}
			return c.listed
		}
	}, known: func(a, b int) bool { return b != one || !blind(a) }},
	{name: "one suspected by all but one", inject: func(c *cluster) {
		n, f := c.nodes[one], c.nodes[friend()]
		c.cut = func(a, b *node) bool { return (a == n || b == n) && a != f && b != f }
	}, known: func(a, b int) bool { return b != one || a == friend() }},
	{name: "list lags for half", extra: 1, inject: func(c *cluster) {
		n := c.addNode(sharingInstances)
		c.start(n)
		c.views = func(at *node) []model.InstanceInfo {
			if lowHalf(at.i) {
				return c.list(n)
			}
			return c.list(nil)
		}
	}, known: func(a, b int) bool { return b != sharingInstances || !lowHalf(a) }},
	{name: "two halves", inject: func(c *cluster) {
		c.cut = func(a, b *node) bool { return lowHalf(a.i) != lowHalf(b.i) }
	}, known: func(a, b int) bool { return lowHalf(a) == lowHalf(b) }},
}

// arrivals is the time to the next search, each of which asks all targets.
func arrivals(rng *rand.Rand, slots int) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(meanHold) / (sharingLoad * float64(slots)))
}

// measureEngine measures a policy of the core: a window with the views
// of the case, then the same with targets that have just restarted.
func measureEngine(t testing.TB, policy model.Policy, vc *viewCase, slots int) sharingResult {
	c := newShapedCluster(t, sharingInstances, slots, sharingTargets, 1, policy, 1)
	c.leads = 1000 // counted here, not checked
	var r sharingResult
	type key struct {
		n       *node
		request string
	}
	arrived := map[key]time.Duration{}
	counting, late := false, time.Duration(0)
	c.observe = func(n *node, in []model.Input, out []model.Output) {
		for _, x := range in {
			switch x := x.(type) {
			case model.SearchCall:
				arrived[key{n, x.RequestID}] = c.now
			case model.PeerInput:
				if m, ok := x.Message.(model.RelayRequest); ok {
					arrived[key{n, m.RequestID}] = c.now
				}
			}
		}
		for _, o := range out {
			if s, ok := o.(model.SendTarget); ok && counting {
				wait := c.now - arrived[key{n, s.RequestID}]
				r.waits = append(r.waits, wait)
				if c.now >= late {
					r.late = append(r.late, wait)
				}
			}
		}
	}
	var load func()
	load = func() {
		if n := c.entry(); n != nil {
			c.search(n, second)
		}
		c.after(arrivals(c.rng, slots), load)
	}
	c.run(2 * second)
	load()
	c.run(2 * second)
	vc.inject(c)
	for _, x := range c.targets {
		x.most, x.over = 0, 0
	}
	counting, late = true, c.now+window/2
	c.run(window)
	counting = false
	for _, x := range c.targets[:sharingTargets] {
		x.count(c.now)
		r.warm, r.over = max(r.warm, x.most), max(r.over, x.over)
		c.killTarget(x)
		c.startTarget(x)
		x.mostCold = 0
	}
	c.run(2 * second)
	for _, x := range c.targets[:sharingTargets] {
		r.cold = max(r.cold, x.mostCold)
	}
	return r
}

// shareRule says how many requests an instance may have at a target, given the
// members that it knows in the order of their rank for the target, and how many
// of them the target sustains. An instance without a share passes its work on
// to a random member that has one.
type shareRule func(ranked []int, self, level int) int

// equalShares gives each member the same share, and one request at least.
func equalShares(ranked []int, _, level int) int { return max(1, level/len(ranked)) }

// permits gives one request to each member in the order of the ranks until
// none is left.
func permits(ranked []int, self, level int) int {
	n := len(ranked)
	return (level + n - 1 - slices.Index(ranked, self)) / n
}

// sharingModel is one target and the instances that share it by a rule. What
// the rule needs is known at once, but for the level of a restarted target: an
// instance learns it from a broken connection, or after a probe interval.
type sharingModel struct {
	rng     *rand.Rand
	now     time.Duration
	seq     int
	events  events
	rule    shareRule
	slots   int
	ranked  [][]int // by instance
	queues  [][]time.Duration
	held    []int // by instance
	level   []int // as the instance knows it
	life    int
	running int
	over    time.Duration
	counted time.Duration
	done    int // completions in this life
	result  sharingResult
}

func (m *sharingModel) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{m.now + d, m.seq, run})
}

func (m *sharingModel) run(d time.Duration) {
	for end := m.now + d; len(m.events) > 0 && m.events[0].at <= end; {
		ev := heap.Pop(&m.events).(event)
		m.now = ev.at
		ev.run()
	}
}

func (m *sharingModel) arrive() {
	i := m.rng.IntN(len(m.ranked))
	at := i
	if m.rule(m.ranked[i], i, m.slots) == 0 {
		var holders []int
		for _, k := range m.ranked[i] {
			if m.rule(m.ranked[i], k, m.slots) > 0 {
				holders = append(holders, k)
			}
		}
		at = holders[m.rng.IntN(len(holders))]
	}
	m.queues[at] = append(m.queues[at], m.now)
	m.send(at)
	m.after(arrivals(m.rng, m.slots), m.arrive)
}

func (m *sharingModel) send(i int) {
	// Work that another view sent here waits for a share like any other; with
	// none the instance still does one at a time.
	for len(m.queues[i]) > 0 && m.held[i] < max(1, m.rule(m.ranked[i], i, m.level[i])) {
		m.result.waits = append(m.result.waits, m.now-m.queues[i][0])
		m.queues[i] = m.queues[i][1:]
		m.held[i]++
		life := m.life
		m.after(targetLag, func() { m.serve(i, life) })
	}
}

func (m *sharingModel) serve(i, sent int) {
	life := m.life
	if sent != life {
		m.end(i, true)
		return
	}
	m.count()
	m.running++
	if m.done >= 8*m.slots {
		m.result.warm = max(m.result.warm, m.running)
	} else if m.done < 8 && life > 0 {
		m.result.cold = max(m.result.cold, m.running)
	}
	m.after(serviceTime(m.rng), func() {
		if m.life == life {
			m.count()
			m.running--
			m.done++
			m.learn()
		}
		m.after(targetLag, func() { m.end(i, m.life != life) })
	})
}

func (m *sharingModel) count() {
	if m.running > m.slots {
		m.over += m.now - m.counted
	}
	m.counted = m.now
}

func (m *sharingModel) end(i int, reset bool) {
	m.held[i]--
	if reset {
		m.level[i] = m.sustained()
	}
	m.send(i)
}

func (m *sharingModel) sustained() int { return min(m.slots, 1+m.done/8) }

// learn raises the level that all know.
func (m *sharingModel) learn() {
	for i := range m.level {
		if m.level[i] < m.sustained() {
			m.level[i] = m.sustained()
		}
	}
}

func (m *sharingModel) restart() {
	m.life++
	m.running, m.done = 0, 0
	life := m.life
	m.after(500*ms+2*targetLag, func() {
		for i := range m.level {
			if m.life == life {
				m.level[i] = m.sustained()
			}
		}
	})
}

func measureModel(rule shareRule, vc *viewCase, slots int) sharingResult {
	var all sharingResult
	for target := range sharingTargets {
		n := sharingInstances + vc.extra
		m := &sharingModel{
			rng: rand.New(rand.NewPCG(1, uint64(target))), rule: rule, slots: slots, ranked: make([][]int, n),
			queues: make([][]time.Duration, n), held: make([]int, n), level: make([]int, n), done: 8 * slots,
		}
		for a := range n {
			m.level[a] = slots
			for b := range n {
				if a == b || vc.known(a, b) {
					m.ranked[a] = append(m.ranked[a], b)
				}
			}
			slices.SortFunc(m.ranked[a], func(x, y int) int { return cmp.Compare(score(target, y), score(target, x)) })
		}
		m.arrive()
		m.run(window)
		waits := m.result.waits
		m.count()
		over := m.over
		m.restart()
		m.run(2 * second)
		all.warm, all.cold = max(all.warm, m.result.warm), max(all.cold, m.result.cold)
		all.waits, all.over = append(all.waits, waits...), max(all.over, over)
		all.late = append(all.late, waits[len(waits)/2:]...)
	}
	return all
}

// BenchmarkSharing prints the largest work at once at a target, over its slots,
// for four ways of sharing targets while views of the fleet differ.
func BenchmarkSharing(b *testing.B) {
	for range b.N {
		var table strings.Builder
		fmt.Fprintf(&table, "%-22s %-28s %2s  %5s  %5s  %6s  %8s  %8s\n", "way", "case", "S", "warm", "cold", "over %", "p99 ms", "late p99")
		for _, slots := range []int{2, 16} {
			for _, way := range []struct {
				name    string
				measure func(vc *viewCase) sharingResult
			}{
				{"alone (engine)", func(vc *viewCase) sharingResult { return measureEngine(b, model.PolicyNoSharing, vc, slots) }},
				{"equal shares (model)", func(vc *viewCase) sharingResult { return measureModel(equalShares, vc, slots) }},
				{"permits (model)", func(vc *viewCase) sharingResult { return measureModel(permits, vc, slots) }},
				{"one lead (engine)", func(vc *viewCase) sharingResult { return measureEngine(b, model.PolicyFull, vc, slots) }},
			} {
				for i := range viewCases {
					r := way.measure(&viewCases[i])
					table.WriteString(r.row(way.name, viewCases[i].name, slots))
				}
			}
		}
		fmt.Print(table.String())
	}
}
