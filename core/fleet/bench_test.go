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

// bench is one instance among many whose members are all serving.
type bench struct {
	f   *Fleet
	now time.Duration
	out []model.Output
	hb  uint64
}

func newBench(members, groups, replicas int) *bench {
	b := &bench{now: time.Second, hb: 2}
	b.f = New(model.CoreConfig{Self: instance(0), Incarnation: 1, Address: "10.0.0.1:1", Place: "dc0", Seed: 1})
	list := model.InstanceList{OK: true}
	for i := range members {
		list.Instances = append(list.Instances, model.InstanceInfo{
			ID: instance(i), Address: "10.0.0.1:1", Place: model.PlaceID(fmt.Sprintf("dc%d", i%7)),
		})
	}
	set := newSet(1, "bench", groups, replicas)
	for g := range set.Groups {
		for r := range set.Groups[g].Targets {
			set.Groups[g].Targets[r].Place = fmt.Sprintf("dc%d", (g+r)%7)
		}
	}
	b.tick(list, model.PeerConfig{From: instance(1), Set: set})
	all := model.Exchange{Round: 1}
	for i := 1; i < members; i++ {
		all.Members = append(all.Members, b.state(i, model.MemberServing))
	}
	b.tick(b.from(1, all))
	b.f.out = &b.out
	b.f.setSelfStatus(model.MemberServing)
	b.tick()
	b.f.memberRumors = rumors[*member]{}
	return b
}

func (b *bench) state(i int, s model.MemberStatus) model.MemberState {
	return model.MemberState{ID: instance(i), Incarnation: 1, Heartbeat: b.hb, Status: s}
}

func (b *bench) from(i int, m model.PeerMessage) model.PeerInput {
	return model.PeerInput{From: instance(i), Incarnation: 1, Message: m}
}

func (b *bench) tick(inputs ...model.Input) int {
	for _, in := range inputs {
		b.f.Step(in)
	}
	b.out = b.out[:0]
	return len(b.f.Tick(model.Now{Mono: b.now, Boot: b.now}, &b.out).Targets)
}

func BenchmarkIdleTick(b *testing.B) {
	f := newBench(510, 1150, 2)
	b.ReportAllocs()
	for b.Loop() {
		f.tick()
	}
}

// BenchmarkExchange answers one request that names 32 origins.
func BenchmarkExchange(b *testing.B) {
	f := newBench(510, 1150, 2)
	msg := model.Exchange{Round: 1, Members: []model.MemberState{f.state(1, model.MemberServing)}}
	for i := range seenChunk {
		msg.Seen = append(msg.Seen, model.SeenUpTo{Origin: instance(i + 2), Incarnation: 1, Number: 2})
	}
	b.ReportAllocs()
	for b.Loop() {
		f.tick(f.from(1, msg))
	}
}

// BenchmarkLeaveAndJoin lets one member drain and serve again.
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
			f := newBench(510, 1150, 2)
			touched, ticks := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				member := 1 + ticks%500
				f.hb++
				b.StopTimer()
				f.tick(f.from(1, model.Exchange{Members: []model.MemberState{f.state(member, step.first)}}))
				f.hb++
				b.StartTimer()
				touched += f.tick(f.from(1, model.Exchange{Members: []model.MemberState{f.state(member, step.measure)}}))
				b.StopTimer()
				f.hb++
				f.tick(f.from(1, model.Exchange{Members: []model.MemberState{f.state(member, model.MemberServing)}}))
				b.StartTimer()
				ticks++
			}
			b.ReportMetric(float64(touched)/float64(ticks), "targets/op")
		})
	}
}

// BenchmarkExchangeBytes compares the bytes that one instance sends for its
// state exchange in 30 s of a steady fleet, in which one target a second
// changes its level, with those of sending its whole state each time.
func BenchmarkExchangeBytes(b *testing.B) {
	for _, n := range []int{8, 64, 256, 510} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var diff, full, messages int
				stream := newStream(b)
				p := newPump(b, n, newSet(1, "bytes", 1150, 2))
				p.run(20 * time.Second)
				p.sent = func(i int, m model.PeerMessage) {
					if m, ok := m.(model.Exchange); ok && i == 0 {
						messages++
						diff += stream.size(b, m)
						if messages%20 == 1 {
							full += 20 * stream.size(b, wholeState(p.nodes[0].f))
						}
					}
				}
				for i := range 30 {
					p.level(i%n, 1+i%2)
					p.run(time.Second)
				}
				b.ReportMetric(float64(diff)/30, "diff-B/s")
				b.ReportMetric(float64(full)/30, "full-B/s")
				b.ReportMetric(float64(messages)/30, "msgs/s")
			}
		})
	}
}

// wholeState is an exchange without version vectors.
func wholeState(f *Fleet) model.Exchange {
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

// stream counts the bytes of messages in gob, whose description of the types
// is sent only once. The field numbers and variable-length integers are close
// to the protocol buffers that the daemons use.
type stream struct {
	bytes int
	enc   *gob.Encoder
}

func newStream(b *testing.B) *stream {
	s := &stream{}
	s.enc = gob.NewEncoder(s)
	s.size(b, model.Exchange{})
	return s
}

func (s *stream) Write(p []byte) (int, error) {
	s.bytes += len(p)
	return len(p), nil
}

func (s *stream) size(b *testing.B, m model.Exchange) int {
	before := s.bytes
	if err := s.enc.Encode(m); err != nil {
		b.Fatal(err)
	}
	return s.bytes - before
}

// BenchmarkFleet runs a whole fleet in virtual time and reports the reads at
// the configuration service, the oldest confirmation, and the times until a
// new set is in force everywhere, until the targets of a seventh of the
// instances, which end at once, are led again, and until a new instance is
// ready while the service is down.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 64, 256, 510} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				p := newPump(b, n, newSet(1, "a", 50, 2))
				p.run(10 * time.Second)
				b.ReportMetric(float64(p.readsIn(10*time.Second))/10, "reads/s")
				worst, unready := p.ages(10 * time.Second)
				b.ReportMetric(worst.Seconds(), "max-age-s")
				b.ReportMetric(float64(unready), "not-ready")
				b.ReportMetric(p.spread(newSet(2, "b", 50, 2)).Seconds(), "spread-s")
				b.ReportMetric(p.loss(7).Seconds(), "takeover-s")
				p.service = func(int) *objects.Set { return nil }
				p.run(20 * time.Second)
				b.ReportMetric(float64(p.readsIn(10*time.Second))/10, "reads-down/s")
				b.ReportMetric(p.joinTime().Seconds(), "join-down-s")
				p.publish(sets["b"])
				b.ReportMetric(float64(p.readsIn(5*time.Second))/5, "reads-back/s")
			}
		})
	}
}

// BenchmarkPartition cuts two fifths of a fleet off while the service is down,
// and reports the time until they have stopped and, after healing, the time
// until each target has one active lead.
func BenchmarkPartition(b *testing.B) {
	for _, n := range []int{8, 64, 510} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				p := newPump(b, n, newSet(1, "a", 50, 2))
				p.run(10 * time.Second)
				p.service = func(int) *objects.Set { return nil }
				p.run(3 * time.Second)
				minority := 2 * n / 5
				p.split(minority)
				b.ReportMetric(p.until(func() bool {
					return !slices.ContainsFunc(p.nodes[:minority], func(n *node) bool { return n.f.ready.OK })
				}).Seconds(), "stop-s")
				b.ReportMetric(p.until(p.led).Seconds(), "takeover-s")
				p.run(10 * time.Second)
				p.heal()
				b.ReportMetric(p.until(func() bool { return p.allReady() && p.led() }).Seconds(), "heal-s")
			}
		})
	}
}

// until runs until the condition holds, for 30 s at most.
func (p *pump) until(ok func() bool) time.Duration {
	start := p.now
	for !ok() && p.now < start+30*time.Second {
		p.run(10 * step)
	}
	return p.now - start
}

// led reports whether each target has one active lead.
func (p *pump) led() bool {
	for id := range p.nodes[0].f.byTarget {
		if len(p.activeLeads(id)) != 1 {
			return false
		}
	}
	return true
}

func (p *pump) readsIn(d time.Duration) int {
	before := 0
	for _, n := range p.nodes {
		before += n.reads
	}
	p.run(d)
	for _, n := range p.nodes {
		before -= n.reads
	}
	return -before
}

// ages samples all confirmations every 100 ms and returns the oldest one and
// the number of samples in which an instance was not ready.
func (p *pump) ages(d time.Duration) (worst time.Duration, unready int) {
	for end := p.now + d; p.now < end; p.run(100 * time.Millisecond) {
		for _, n := range p.nodes {
			worst = max(worst, p.now-n.f.confirmedAt)
			if !n.ready {
				unready++
			}
		}
	}
	return worst, unready
}

// loss ends one instance in every count at once and returns the time until
// each target has one active lead again.
func (p *pump) loss(count int) time.Duration {
	for i := 3; i < len(p.nodes); i += count {
		p.nodes[i].up = false
	}
	return p.until(p.led)
}

// joinTime adds an instance and returns the time until it is ready.
func (p *pump) joinTime() time.Duration {
	p.add()
	n := p.nodes[len(p.nodes)-1]
	return p.until(func() bool { return n.ready })
}

// spread publishes a set and returns the time until it is in force everywhere.
func (p *pump) spread(s *objects.Set) time.Duration {
	p.publish(s)
	return p.until(func() bool {
		return !slices.ContainsFunc(p.nodes, func(n *node) bool { return n.f.set != s })
	})
}
