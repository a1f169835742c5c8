package fleet

import (
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// fixture is one instance in a fleet whose members are all serving.
type fixture struct {
	f         *Fleet
	now       time.Duration
	out       []model.Output
	heartbeat uint64 // of the states that peers send
}

func newFixture(members, groups, replicas int) *fixture {
	fx := &fixture{now: time.Second, heartbeat: 2}
	fx.f = New(model.CoreConfig{Self: instanceID(0), Incarnation: 1, Address: "10.0.0.1:1", Place: "dc0", Seed: 1})
	list := model.InstanceList{OK: true}
	for i := range members {
		list.Instances = append(list.Instances, model.InstanceInfo{
			ID: instanceID(i), Address: "10.0.0.1:1", Place: model.PlaceID(fmt.Sprintf("dc%d", i%7)),
		})
	}
	set := newSet(1, "bench", groups, replicas)
	for g := range set.Groups {
		for r := range set.Groups[g].Targets {
			set.Groups[g].Targets[r].Place = fmt.Sprintf("dc%d", (g+r)%7)
		}
	}
	fx.tick(list, model.PeerConfig{From: instanceID(1), Set: set})
	all := model.Exchange{Round: 1}
	for i := 1; i < members; i++ {
		all.Members = append(all.Members, fx.memberState(i, model.MemberServing))
	}
	fx.tick(fx.peerInput(1, all))
	fx.f.out = &fx.out
	fx.f.setSelfStatus(model.MemberServing)
	fx.tick()
	fx.f.memberPushes = pushQueue[*member]{}
	return fx
}

func (fx *fixture) memberState(i int, s model.MemberStatus) model.MemberState {
	return model.MemberState{ID: instanceID(i), Incarnation: 1, Heartbeat: fx.heartbeat, Status: s}
}

func (fx *fixture) peerInput(i int, m model.PeerMessage) model.PeerInput {
	return model.PeerInput{From: instanceID(i), Incarnation: 1, Message: m}
}

// tick runs one tick with the inputs and returns the number of changed targets.
func (fx *fixture) tick(inputs ...model.Input) int {
	for _, in := range inputs {
		fx.f.Step(in)
	}
	fx.out = fx.out[:0]
	return len(fx.f.Tick(model.Now{Mono: fx.now, Boot: fx.now}, &fx.out).Targets)
}

func BenchmarkIdleTick(b *testing.B) {
	fx := newFixture(510, 1150, 2)
	b.ReportAllocs()
	for b.Loop() {
		fx.tick()
	}
}

// BenchmarkExchange answers a request whose version vector names 32 origins.
func BenchmarkExchange(b *testing.B) {
	fx := newFixture(510, 1150, 2)
	msg := model.Exchange{Round: 1, Members: []model.MemberState{fx.memberState(1, model.MemberServing)}}
	for i := range maxSeenEntries {
		msg.Seen = append(msg.Seen, model.SeenUpTo{Origin: instanceID(i + 2), Incarnation: 1, Number: 2})
	}
	b.ReportAllocs()
	for b.Loop() {
		fx.tick(fx.peerInput(1, msg))
	}
}

// BenchmarkLeaveAndJoin measures the tick in which a member starts to drain, and
// the tick in which it serves again.
func BenchmarkLeaveAndJoin(b *testing.B) {
	for _, step := range []struct {
		name    string
		first   model.MemberStatus
		measure model.MemberStatus
	}{
		{"leave", model.MemberServing, model.MemberDraining},
		{"join", model.MemberDraining, model.MemberServing},
	} {
		b.Run(step.name, func(b *testing.B) {
			fx := newFixture(510, 1150, 2)
			changed, ticks := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				member := 1 + ticks%500
				fx.heartbeat++
				b.StopTimer()
				fx.tick(fx.peerInput(1, model.Exchange{Members: []model.MemberState{fx.memberState(member, step.first)}}))
				fx.heartbeat++
				b.StartTimer()
				changed += fx.tick(fx.peerInput(1, model.Exchange{Members: []model.MemberState{fx.memberState(member, step.measure)}}))
				b.StopTimer()
				fx.heartbeat++
				fx.tick(fx.peerInput(1, model.Exchange{Members: []model.MemberState{fx.memberState(member, model.MemberServing)}}))
				b.StartTimer()
				ticks++
			}
			b.ReportMetric(float64(changed)/float64(ticks), "targets/op")
		})
	}
}

// BenchmarkExchangeBytes measures the bytes that one instance sends for its
// state exchange in 30 s of a steady fleet, in which one target a second changes
// its level (diff-B/s), and the bytes that it would send if each message carried
// its whole state (full-B/s).
func BenchmarkExchangeBytes(b *testing.B) {
	for _, n := range []int{8, 64, 256, 510} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var diffBytes, fullBytes, messages int
				counter := newGobCounter(b)
				tc := newTestCluster(b, n, newSet(1, "bytes", 1150, 2))
				tc.run(20 * time.Second)
				tc.onSend = func(i int, m model.PeerMessage) {
					if m, ok := m.(model.Exchange); ok && i == 0 {
						messages++
						diffBytes += counter.size(b, m)
						if messages%20 == 1 {
							fullBytes += 20 * counter.size(b, fullExchange(tc.nodes[0].f))
						}
					}
				}
				for i := range 30 {
					tc.reportFirstLevel(i%n, 1+i%2)
					tc.run(time.Second)
				}
				b.ReportMetric(float64(diffBytes)/30, "diff-B/s")
				b.ReportMetric(float64(fullBytes)/30, "full-B/s")
				b.ReportMetric(float64(messages)/30, "msgs/s")
			}
		})
	}
}

// fullExchange returns an exchange with the states of all members and targets.
func fullExchange(f *Fleet) model.Exchange {
	msg := model.Exchange{Config: f.configState()}
	for _, m := range f.listed {
		msg.Members = append(msg.Members, f.memberState(m))
	}
	for _, g := range f.groups {
		for _, t := range g.targets {
			msg.Targets = append(msg.Targets, t.state)
		}
	}
	return msg
}

// gobCounter counts the bytes of messages in gob encoding. Type descriptions are
// sent once and not counted. The field numbers and variable-length integers of
// gob come close to the protocol buffers that the daemons use.
type gobCounter struct {
	bytes int
	enc   *gob.Encoder
}

func newGobCounter(b *testing.B) *gobCounter {
	counter := &gobCounter{}
	counter.enc = gob.NewEncoder(counter)
	counter.size(b, model.Exchange{})
	return counter
}

func (counter *gobCounter) Write(p []byte) (int, error) {
	counter.bytes += len(p)
	return len(p), nil
}

func (counter *gobCounter) size(b *testing.B, m model.Exchange) int {
	before := counter.bytes
	if err := counter.enc.Encode(m); err != nil {
		b.Fatal(err)
	}
	return counter.bytes - before
}

// BenchmarkFleet runs a whole fleet in virtual time and reports:
//
//   - reads/s, reads-down/s, reads-back/s: reads of the configuration service
//     in steady operation, while it is down, and after it returns
//   - max-age-s: age of the oldest confirmation
//   - not-ready: number of samples, over all instances, in which one was not ready
//   - spread-s: time until a new set is in force everywhere
//   - takeover-s: time until each target has one active lead after a seventh of
//     the instances crashed at once
//   - join-down-s: time until a new instance is ready while the service is down
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 64, 256, 510} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				tc := newTestCluster(b, n, newSet(1, "a", 50, 2))
				tc.run(10 * time.Second)
				b.ReportMetric(float64(tc.readsIn(10*time.Second))/10, "reads/s")
				worst, unready := tc.confirmationAges(10 * time.Second)
				b.ReportMetric(worst.Seconds(), "max-age-s")
				b.ReportMetric(float64(unready), "not-ready")
				b.ReportMetric(tc.adoptionTime(newSet(2, "b", 50, 2)).Seconds(), "spread-s")
				b.ReportMetric(tc.takeoverTime(7).Seconds(), "takeover-s")
				tc.readService = func(int) *objects.Set { return nil }
				tc.run(20 * time.Second)
				b.ReportMetric(float64(tc.readsIn(10*time.Second))/10, "reads-down/s")
				b.ReportMetric(tc.joinTime().Seconds(), "join-down-s")
				tc.publish(sets["b"])
				b.ReportMetric(float64(tc.readsIn(5*time.Second))/5, "reads-back/s")
			}
		})
	}
}

// BenchmarkPartition partitions two fifths of a fleet from the rest while the
// service is down. It reports the time until the minority is not ready (stop-s),
// the time after that until each target has one active lead (takeover-s), and
// the time from healing until all instances are ready and each target has one
// active lead (heal-s).
func BenchmarkPartition(b *testing.B) {
	for _, n := range []int{8, 64, 510} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				tc := newTestCluster(b, n, newSet(1, "a", 50, 2))
				tc.run(10 * time.Second)
				tc.readService = func(int) *objects.Set { return nil }
				tc.run(3 * time.Second)
				minority := 2 * n / 5
				tc.partitionAt(minority)
				b.ReportMetric(tc.timeUntil(func() bool {
					return !slices.ContainsFunc(tc.nodes[:minority], func(n *node) bool { return n.f.ready.OK })
				}).Seconds(), "stop-s")
				b.ReportMetric(tc.timeUntil(tc.eachTargetHasOneLead).Seconds(), "takeover-s")
				tc.run(10 * time.Second)
				tc.heal()
				b.ReportMetric(tc.timeUntil(func() bool { return tc.allReady() && tc.eachTargetHasOneLead() }).Seconds(), "heal-s")
			}
		})
	}
}

// timeUntil runs until the condition holds, for 30 s at most, and returns the
// time that this took.
func (tc *testCluster) timeUntil(ok func() bool) time.Duration {
	start := tc.now
	for !ok() && tc.now < start+30*time.Second {
		tc.run(10 * step)
	}
	return tc.now - start
}

// eachTargetHasOneLead reports whether each target has exactly one active lead.
func (tc *testCluster) eachTargetHasOneLead() bool {
	for id := range tc.nodes[0].f.byTarget {
		if len(tc.activeLeads(id)) != 1 {
			return false
		}
	}
	return true
}

// readsIn runs for d and returns the number of reads of the configuration service
// in this time.
func (tc *testCluster) readsIn(d time.Duration) int {
	reads := 0
	for _, n := range tc.nodes {
		reads += n.reads
	}
	tc.run(d)
	for _, n := range tc.nodes {
		reads -= n.reads
	}
	return -reads
}

// confirmationAges samples all instances every 100 ms for d. It returns the age of
// the oldest confirmation and the number of samples of an instance that was not
// ready.
func (tc *testCluster) confirmationAges(d time.Duration) (oldest time.Duration, unready int) {
	for end := tc.now + d; tc.now < end; tc.run(100 * time.Millisecond) {
		for _, n := range tc.nodes {
			oldest = max(oldest, tc.now-n.f.confirmedAt)
			if !n.ready {
				unready++
			}
		}
	}
	return oldest, unready
}

// takeoverTime crashes every nth instance, from the fourth on, at once and returns
// the time until each target has one active lead again.
func (tc *testCluster) takeoverTime(nth int) time.Duration {
	for i := 3; i < len(tc.nodes); i += nth {
		tc.nodes[i].up = false
	}
	return tc.timeUntil(tc.eachTargetHasOneLead)
}

// joinTime adds an instance and returns the time until it is ready.
func (tc *testCluster) joinTime() time.Duration {
	tc.addInstance()
	n := tc.nodes[len(tc.nodes)-1]
	return tc.timeUntil(func() bool { return n.ready })
}

// adoptionTime publishes a set and returns the time until it is in force
// everywhere.
func (tc *testCluster) adoptionTime(s *objects.Set) time.Duration {
	tc.publish(s)
	return tc.timeUntil(func() bool {
		return !slices.ContainsFunc(tc.nodes, func(n *node) bool { return n.f.set != s })
	})
}
