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
	// meanSlotTime is the mean time for which a request occupies a slot, as its
	// sender sees it: the mean of serviceTime plus the latency in both directions.
	meanSlotTime = (49*6*ms+40*ms)/50 + 2*targetLatency
	// sharingLoad is the offered load as a share of the slots.
	sharingLoad = 0.8
)

// sharingResult is the result of one way of sharing targets in one case.
type sharingResult struct {
	maxWarm, maxCold int             // largest number of requests in flight at any target: warm, and cold after a restart
	overloadedFor    time.Duration   // longest time that any target had more requests in flight than slots
	waits            []time.Duration // queueing times at the sender
	settledWaits     []time.Duration // waits in the second half of viewWindow, when the views have settled
}

// viewWindow is the time of the measurement with differing views, before the targets
// restart.
const viewWindow = 8 * second

// p99 returns the 99th percentile in ms. It sorts waits.
func p99(waits []time.Duration) float64 {
	slices.Sort(waits)
	if len(waits) == 0 {
		return 0
	}
	return float64(waits[len(waits)*99/100]) / float64(ms)
}

// row formats the result as a line of the table that BenchmarkSharing prints.
func (r *sharingResult) row(sharing, name string, slots int) string {
	return fmt.Sprintf("%-22s %-28s %2d  %5.2f  %5.2f  %6.1f  %8.1f  %8.1f\n", sharing, name, slots,
		float64(r.maxWarm)/float64(slots), float64(r.maxCold)/float64(slots), 100*float64(r.overloadedFor)/float64(viewWindow), p99(r.waits), p99(r.settledWaits))
}

// viewCase is a way in which the views of the fleet differ. inject sets up the case in a
// cluster. knows gives the views in the model: whether instance a knows instance b.
type viewCase struct {
	name    string
	inject  func(c *cluster)
	knows   func(a, b int) bool
	joining int // number of instances that join
}

// inLowerHalf reports whether the instance is in the lower half of the fleet.
func inLowerHalf(i int) bool { return i < sharingInstances/2 }

// score ranks the instances for a target as the core does: the instances in the target's
// data centre, which is dc0 for all targets here, rank first.
func score(target, instance int) float64 {
	s := float64(rank.Score(rank.Hash(fmt.Sprintf("s%d-0", target)), rank.Hash(fmt.Sprint("i", instance))))
	if instance%2 == 0 {
		s += 1 << 64
	}
	return s
}

// disputedLead is the instance that ranks first for the first target. In two cases the
// views differ on whether it is a member.
var disputedLead = slices.MaxFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, func(a, b int) int { return cmp.Compare(score(0, a), score(0, b)) })

// unawareOfLead reports whether the instance lacks disputedLead on its list in the case
// "one unknown to some".
func unawareOfLead(i int) bool { return i != disputedLead && i%4 >= 2 }

// onlyConnectedPeer returns the only instance with a link to disputedLead in the case "one
// suspected by all but one".
func onlyConnectedPeer() int { return (disputedLead + 1) % sharingInstances }

var viewCases = []viewCase{
	{name: "views agree", inject: func(*cluster) {}, knows: func(_, _ int) bool { return true }},
	// The instance lists of some instances lack disputedLead.
	{name: "one unknown to some", inject: func(c *cluster) {
		c.instanceList = func(n *node) []model.InstanceInfo {
			if unawareOfLead(n.index) {
				return c.completeList(c.nodes[disputedLead])
			}
			return c.platformList
		}
	}, knows: func(a, b int) bool { return b != disputedLead || !unawareOfLead(a) }},
	// disputedLead is cut off from all instances except onlyConnectedPeer.
	{name: "one suspected by all but one", inject: func(c *cluster) {
		n, f := c.nodes[disputedLead], c.nodes[onlyConnectedPeer()]
		c.isCut = func(a, b *node) bool { return (a == n || b == n) && a != f && b != f }
	}, knows: func(a, b int) bool { return b != disputedLead || a == onlyConnectedPeer() }},
	// An instance joins, and the instance lists of the lower half lack it.
	{name: "list lags for half", joining: 1, inject: func(c *cluster) {
		n := c.addNode(sharingInstances)
		c.start(n)
		c.instanceList = func(at *node) []model.InstanceInfo {
			if inLowerHalf(at.index) {
				return c.completeList(n)
			}
			return c.completeList(nil)
		}
	}, knows: func(a, b int) bool { return b != sharingInstances || !inLowerHalf(a) }},
	{name: "two halves", inject: func(c *cluster) {
		c.isCut = func(a, b *node) bool { return inLowerHalf(a.index) != inLowerHalf(b.index) }
	}, knows: func(a, b int) bool { return inLowerHalf(a) == inLowerHalf(b) }},
}

// nextArrival draws the time until the next search. Each search asks all targets.
func nextArrival(rng *rand.Rand, slots int) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(meanSlotTime) / (sharingLoad * float64(slots)))
}

// measureEngine measures a policy of the core, first for viewWindow with the views of the
// case, then with targets that have just restarted.
func measureEngine(t testing.TB, policy model.Policy, vc *viewCase, slots int) sharingResult {
	c := newClusterOf(t, sharingInstances, slots, sharingTargets, 1, policy, 1)
	c.maxLeads = 1000 // leads at the same time are measured here, not checked
	var result sharingResult
	type arrivalKey struct {
		n       *node
		request string
	}
	arrivedAt := map[arrivalKey]time.Duration{}
	counting, settledAt := false, time.Duration(0)
	c.tickHook = func(n *node, inputs []model.Input, outputs []model.Output) {
		for _, input := range inputs {
			switch input := input.(type) {
			case model.SearchCall:
				arrivedAt[arrivalKey{n, input.RequestID}] = c.now
			case model.PeerInput:
				if relay, ok := input.Message.(model.RelayRequest); ok {
					arrivedAt[arrivalKey{n, relay.RequestID}] = c.now
				}
			}
		}
		for _, output := range outputs {
			if send, ok := output.(model.SendTarget); ok && counting {
				wait := c.now - arrivedAt[arrivalKey{n, send.RequestID}]
				result.waits = append(result.waits, wait)
				if c.now >= settledAt {
					result.settledWaits = append(result.settledWaits, wait)
				}
			}
		}
	}
	var load func()
	load = func() {
		if n := c.pickReadyInstance(); n != nil {
			c.search(n, second)
		}
		c.after(nextArrival(c.rng, slots), load)
	}
	c.run(2 * second)
	load()
	c.run(2 * second)
	vc.inject(c)
	for _, tgt := range c.targets {
		tgt.maxInFlight, tgt.overloadedFor = 0, 0
	}
	counting, settledAt = true, c.now+viewWindow/2
	c.run(viewWindow)
	counting = false
	for _, tgt := range c.targets[:sharingTargets] {
		tgt.accountOverload(c.now)
		result.maxWarm, result.overloadedFor = max(result.maxWarm, tgt.maxInFlight), max(result.overloadedFor, tgt.overloadedFor)
		c.killTarget(tgt)
		c.startTarget(tgt)
		tgt.maxColdInFlight = 0
	}
	c.run(2 * second)
	for _, tgt := range c.targets[:sharingTargets] {
		result.maxCold = max(result.maxCold, tgt.maxColdInFlight)
	}
	return result
}

// shareRule returns the number of requests that the instance self may have in flight at a
// target. ranked holds the members that the instance knows, ordered by their rank for the
// target; level is the number of requests that the target sustains. An instance without a
// share forwards its work to a random member that has one.
type shareRule func(ranked []int, self, level int) int

// equalShares gives each member the same share, but at least one request.
func equalShares(ranked []int, _, level int) int { return max(1, level/len(ranked)) }

// permits distributes the requests of the level one by one over the members, in the order
// of their ranks.
func permits(ranked []int, self, level int) int {
	n := len(ranked)
	return (level + n - 1 - slices.Index(ranked, self)) / n
}

// sharingModel simulates one target and the instances that share it by a rule. Instances
// know the inputs of the rule without delay, except for the level of a restarted target:
// they learn it from a broken connection or after a probe interval.
type sharingModel struct {
	rng           *rand.Rand
	now           time.Duration
	seq           int
	events        events
	rule          shareRule
	slots         int
	ranked        [][]int           // by instance
	queues        [][]time.Duration // arrival times of waiting requests, by instance
	slotsHeld     []int             // by instance
	knownLevel    []int             // level of the target as known by the instance
	incarnation   int
	inFlight      int
	overloadedFor time.Duration
	countedAt     time.Duration // time up to which overloadedFor is complete
	completed     int           // requests completed in this incarnation
	result        sharingResult
}

func (m *sharingModel) after(delay time.Duration, action func()) {
	m.seq++
	heap.Push(&m.events, event{m.now + delay, m.seq, action})
}

func (m *sharingModel) run(duration time.Duration) {
	for end := m.now + duration; len(m.events) > 0 && m.events[0].at <= end; {
		ev := heap.Pop(&m.events).(event)
		m.now = ev.at
		ev.action()
	}
}

func (m *sharingModel) arrive() {
	receiver := m.rng.IntN(len(m.ranked))
	holder := receiver
	if m.rule(m.ranked[receiver], receiver, m.slots) == 0 {
		var holders []int
		for _, member := range m.ranked[receiver] {
			if m.rule(m.ranked[receiver], member, m.slots) > 0 {
				holders = append(holders, member)
			}
		}
		holder = holders[m.rng.IntN(len(holders))]
	}
	m.queues[holder] = append(m.queues[holder], m.now)
	m.send(holder)
	m.after(nextArrival(m.rng, m.slots), m.arrive)
}

func (m *sharingModel) send(instance int) {
	// Work forwarded by an instance with a different view waits for a share too. An
	// instance without a share still sends one request at a time.
	for len(m.queues[instance]) > 0 && m.slotsHeld[instance] < max(1, m.rule(m.ranked[instance], instance, m.knownLevel[instance])) {
		m.result.waits = append(m.result.waits, m.now-m.queues[instance][0])
		m.queues[instance] = m.queues[instance][1:]
		m.slotsHeld[instance]++
		incarnation := m.incarnation
		m.after(targetLatency, func() { m.serve(instance, incarnation) })
	}
}

func (m *sharingModel) serve(instance, targetIncarnation int) {
	incarnation := m.incarnation
	if targetIncarnation != incarnation {
		m.release(instance, true)
		return
	}
	m.accountOverload()
	m.inFlight++
	if m.completed >= 8*m.slots {
		m.result.maxWarm = max(m.result.maxWarm, m.inFlight)
	} else if m.completed < 8 && incarnation > 0 {
		m.result.maxCold = max(m.result.maxCold, m.inFlight)
	}
	m.after(serviceTime(m.rng), func() {
		if m.incarnation == incarnation {
			m.accountOverload()
			m.inFlight--
			m.completed++
			m.raiseKnownLevels()
		}
		m.after(targetLatency, func() { m.release(instance, m.incarnation != incarnation) })
	})
}

func (m *sharingModel) accountOverload() {
	if m.inFlight > m.slots {
		m.overloadedFor += m.now - m.countedAt
	}
	m.countedAt = m.now
}

func (m *sharingModel) release(instance int, reset bool) {
	m.slotsHeld[instance]--
	if reset {
		m.knownLevel[instance] = m.sustainedLevel()
	}
	m.send(instance)
}

func (m *sharingModel) sustainedLevel() int { return min(m.slots, 1+m.completed/8) }

// raiseKnownLevels raises the level known to each instance to the sustained level, if it
// is lower.
func (m *sharingModel) raiseKnownLevels() {
	for i := range m.knownLevel {
		if m.knownLevel[i] < m.sustainedLevel() {
			m.knownLevel[i] = m.sustainedLevel()
		}
	}
}

func (m *sharingModel) restart() {
	m.incarnation++
	m.inFlight, m.completed = 0, 0
	incarnation := m.incarnation
	m.after(500*ms+2*targetLatency, func() {
		for i := range m.knownLevel {
			if m.incarnation == incarnation {
				m.knownLevel[i] = m.sustainedLevel()
			}
		}
	})
}

func measureModel(rule shareRule, vc *viewCase, slots int) sharingResult {
	var total sharingResult
	for target := range sharingTargets {
		instances := sharingInstances + vc.joining
		m := &sharingModel{
			rng: rand.New(rand.NewPCG(1, uint64(target))), rule: rule, slots: slots, ranked: make([][]int, instances),
			queues: make([][]time.Duration, instances), slotsHeld: make([]int, instances), knownLevel: make([]int, instances), completed: 8 * slots,
		}
		for a := range instances {
			m.knownLevel[a] = slots
			for b := range instances {
				if a == b || vc.knows(a, b) {
					m.ranked[a] = append(m.ranked[a], b)
				}
			}
			slices.SortFunc(m.ranked[a], func(x, y int) int { return cmp.Compare(score(target, y), score(target, x)) })
		}
		m.arrive()
		m.run(viewWindow)
		waits := m.result.waits
		m.accountOverload()
		overloadedFor := m.overloadedFor
		m.restart()
		m.run(2 * second)
		total.maxWarm, total.maxCold = max(total.maxWarm, m.result.maxWarm), max(total.maxCold, m.result.maxCold)
		total.waits, total.overloadedFor = append(total.waits, waits...), max(total.overloadedFor, overloadedFor)
		total.settledWaits = append(total.settledWaits, waits[len(waits)/2:]...)
	}
	return total
}

// BenchmarkSharing prints, for four ways of sharing targets while the views of the fleet
// differ, the largest number of requests in flight at a target, relative to its slots, and
// the overload and queueing times.
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
