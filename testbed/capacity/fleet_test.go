package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenadyke.dev/core/engine"
	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/node/peer"
	"galenadyke.dev/node/peer/peerpb"
)

// fleet simulates instances without faults in virtual time. Each instance runs
// a complete engine; the fleet delivers messages, probe replies and
// configuration. If measure is set, the costs of the first instance are
// recorded.
type fleet struct {
	now          time.Duration
	instances    []*instance
	queue        map[time.Duration][]delivery // by time of delivery
	set          *objects.Set
	raw          []byte // encoded set
	waitingReads []int  // indexes of instances whose configuration read waits for a change
	measure      bool
	cost         cost
	accepted     int // instances that accepted the last published set
	becameReady  int // instances that became ready
}

type instance struct {
	e        *engine.Engine
	inbox    []model.Input // inputs of the next tick
	nextWake time.Duration // virtual time of the next tick without inputs
}

// delivery is an input on its way to an instance. to and from are indexes of
// instances; from is set only for peer messages.
type delivery struct {
	to    int
	from  int
	frame *peerpb.Frame // protobuf form of in, only for measured messages
	in    model.Input
}

// cost is the measured cost of the first instance. reads counts the
// configuration reads of the whole fleet.
type cost struct {
	busy                     time.Duration // in the engine and the codec, wall clock
	sent, received           int           // messages
	sentBytes, receivedBytes int
	reads, probes            int
}

const (
	tickInterval = time.Millisecond
	linkDelay    = 2 * time.Millisecond // one way, also of probes and configuration reads
)

// fleetSizes holds pairs of a number of instances and a number of targets.
var fleetSizes = [][2]int{
	{8, 2300}, {32, 2300}, {128, 2300}, {255, 2300}, {510, 2300},
	{32, 60}, {32, 230}, {32, 575}, {32, 1150},
}

func instanceID(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("entry-%03d", i)) }

func place(i int) string { return fmt.Sprintf("place-%d", i%7) }

// newSet returns a set and its encoded form. Each group has two targets with
// three slots, in two of seven data centres. One route covers the first 85
// groups.
func newSet(b testing.TB, generation uint64, targets int) (*objects.Set, []byte) {
	set := &objects.Set{Limits: objects.DefaultLimits()}
	for i := range 7 {
		set.Places = append(set.Places, objects.Place{Name: place(i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	route := objects.Route{Name: "search", Kind: objects.RouteSearch}
	for g := range targets / 2 {
		group := objects.TargetGroup{Name: fmt.Sprintf("group-%04d", g), Service: "search", ConnectTime: 6 * time.Millisecond}
		for r := range 2 {
			group.Targets = append(group.Targets, objects.Target{
				Name: fmt.Sprintf("group-%04d-%c", g, 'a'+r), Place: place(g + r),
				Address: fmt.Sprintf("10.%d.%d.%d:7001", r+1, g/250, g%250+1), Slots: 3, Connections: 30,
			})
		}
		set.Groups = append(set.Groups, group)
		if g < 85 {
			route.Groups = append(route.Groups, group.Name)
		}
	}
	set.Routes = []objects.Route{route}
	return bundle(b, set, generation)
}

// bundle encodes the set with the given generation and returns the decoded and
// the encoded form.
func bundle(b testing.TB, set *objects.Set, generation uint64) (*objects.Set, []byte) {
	raw, err := objects.Bundle(set, generation)
	if err != nil {
		b.Fatal(err)
	}
	parsed, findings := objects.Parse(raw)
	if parsed == nil {
		b.Fatal(findings)
	}
	return parsed, raw
}

func newFleet(b testing.TB, members, targets int) *fleet {
	f := &fleet{queue: map[time.Duration][]delivery{}}
	f.set, f.raw = newSet(b, 1, targets)
	list := instanceList(members)
	for i := range members {
		f.start(i, 1, list)
	}
	return f
}

func instanceList(members int) model.InstanceList {
	list := model.InstanceList{OK: true}
	for i := range members {
		list.Instances = append(list.Instances, model.InstanceInfo{
			ID: instanceID(i), Address: fmt.Sprintf("10.9.%d.%d:7000", i/250, i%250+1), Place: model.PlaceID(place(i)),
		})
	}
	return list
}

// start starts instance i, or replaces it with a new incarnation.
func (f *fleet) start(i int, incarnation model.Incarnation, list model.InstanceList) {
	inst := &instance{e: engine.New(model.CoreConfig{
		Self: instanceID(i), Incarnation: incarnation, Address: list.Instances[i].Address, Place: list.Instances[i].Place,
		Seed: uint64(i) + 1000*uint64(incarnation), Policy: model.PolicyFull,
		BalancerDelay: 3 * time.Second, StopTimeout: 20 * time.Second,
	}), inbox: []model.Input{list}}
	if i < len(f.instances) {
		f.instances[i] = inst
		return
	}
	f.instances = append(f.instances, inst)
}

// run advances virtual time by the given duration.
func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; {
		f.now += tickInterval
		for _, d := range f.queue[f.now] {
			inst := f.instances[d.to]
			in := d.in
			if d.frame != nil && d.to == 0 && f.measure {
				f.cost.received++
				f.cost.receivedBytes += proto.Size(d.frame)
				began := time.Now()
				raw, _ := proto.Marshal(d.frame)
				decoded := new(peerpb.Frame)
				_ = proto.Unmarshal(raw, decoded)
				m, _ := peer.Decode(decoded)
				f.cost.busy += time.Since(began)
				in = model.PeerInput{From: instanceID(d.from), Incarnation: 1, Message: m}
			}
			inst.inbox = append(inst.inbox, in)
		}
		delete(f.queue, f.now)
		for i, inst := range f.instances {
			if len(inst.inbox) > 0 || inst.nextWake <= f.now {
				f.tick(i, inst)
			}
		}
	}
}

func (f *fleet) tick(i int, inst *instance) {
	began := time.Now()
	for _, in := range inst.inbox {
		inst.e.Step(in)
	}
	inst.inbox = inst.inbox[:0]
	out := inst.e.Tick(model.Now{Mono: f.now, Boot: f.now})
	inst.nextWake = inst.e.NextWake()
	if i == 0 && f.measure {
		f.cost.busy += time.Since(began)
	}
	for _, o := range out {
		f.handleOutput(i, o)
	}
}

// schedule delivers an input after the given delay.
func (f *fleet) schedule(delay time.Duration, d delivery) {
	at := f.now + delay
	f.queue[at] = append(f.queue[at], d)
}

// handleOutput executes an output of instance i.
func (f *fleet) handleOutput(i int, o model.Output) {
	switch o := o.(type) {
	case model.SendPeer:
		f.send(i, o)
	case model.ProbeTarget:
		if i == 0 && f.measure {
			f.cost.probes++
		}
		f.schedule(linkDelay, delivery{to: i, in: model.ProbeReply{Target: o.Target, OK: true, Report: model.TargetReport{
			Incarnation: 1, Versions: []model.VersionReport{
				{Version: 7, Total: 2300, Partitions: []uint32{1, 2}},
				{Version: 8, Total: 2300, Partitions: []uint32{1, 2}},
			},
		}}})
	case model.ReadConfig:
		f.readConfig(i, o)
	case model.Ready:
		if o.Ready {
			f.becameReady++
		}
	case model.Event:
		if o.Name == "ConfigAccepted" {
			f.accepted++
		}
	}
}

// readConfig answers a read after linkDelay if the generation of the set differs
// from the index in the read. Otherwise the read waits for a publication, at most
// for o.Wait.
func (f *fleet) readConfig(i int, o model.ReadConfig) {
	f.cost.reads++
	if o.Index != f.set.Generation {
		f.schedule(linkDelay, delivery{to: i, in: model.ConfigResult{OK: true, Index: f.set.Generation, Raw: f.raw, Set: f.set}})
		return
	}
	f.waitingReads = append(f.waitingReads, i)
	f.schedule(o.Wait, delivery{to: i, in: model.ConfigResult{OK: true, Index: o.Index}})
}

// publish replaces the set and completes all waiting reads with it.
func (f *fleet) publish(set *objects.Set, raw []byte) {
	f.set, f.raw = set, raw
	f.accepted = 0
	for at, list := range f.queue {
		f.queue[at] = slices.DeleteFunc(list, func(d delivery) bool {
			_, isRead := d.in.(model.ConfigResult)
			return isRead
		})
	}
	for _, i := range f.waitingReads {
		f.schedule(linkDelay, delivery{to: i, in: model.ConfigResult{OK: true, Index: set.Generation, Raw: raw, Set: set}})
	}
	f.waitingReads = nil
}

// send delivers a peer message after linkDelay. If measure is set, it measures
// the encoding of messages from the first instance, and also encodes messages to
// the first instance, so that run can measure their decoding. Sets are not
// encoded.
func (f *fleet) send(i int, o model.SendPeer) {
	var to int
	if _, err := fmt.Sscanf(string(o.To), "entry-%d", &to); err != nil {
		return
	}
	if to >= len(f.instances) {
		return // not started yet
	}
	d := delivery{to: to, from: i, in: model.PeerInput{From: instanceID(i), Incarnation: 1, Message: o.Message}}
	if m, ok := o.Message.(model.ConfigSet); ok {
		d.in = model.PeerConfig{From: instanceID(i), Raw: m.Raw, Set: f.set}
	} else if f.measure && (i == 0 || to == 0) {
		began := time.Now()
		frame, err := peer.Encode(o.Message)
		if err == nil {
			raw, _ := proto.Marshal(frame)
			if i == 0 {
				f.cost.busy += time.Since(began)
				f.cost.sentBytes += len(raw)
			}
			d.frame = frame
		}
	}
	if i == 0 && f.measure {
		f.cost.sent++
	}
	f.schedule(linkDelay, d)
}

// BenchmarkControl measures the cost of the control plane of one instance in the
// steady state. The cost includes the codec for messages, but not the sockets.
func BenchmarkControl(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, size[0], size[1])
				f.run(15 * time.Second)
				f.measure, f.cost = true, cost{}
				const seconds = 20
				f.run(seconds * time.Second)
				c := f.cost
				b.ReportMetric(100*c.busy.Seconds()/seconds, "core-%")
				b.ReportMetric(float64(c.sentBytes)/seconds, "sent-B/s")
				b.ReportMetric(float64(c.receivedBytes)/seconds, "received-B/s")
				b.ReportMetric(float64(c.sent)/seconds, "sent-msgs/s")
				b.ReportMetric(float64(c.probes)/seconds, "probes/s")
				b.ReportMetric(float64(c.reads)/seconds, "fleet-reads/s")
			}
		})
	}
}

// BenchmarkMemory measures the heap memory of the core of one instance.
func BenchmarkMemory(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, size[0], size[1])
				f.run(12 * time.Second)
				for i := range f.instances {
					if i > 1 {
						f.instances[i].e = nil
					}
				}
				f.queue = nil
				heapWithCore := heapBytes()
				f.instances[1].e = nil
				heapWithoutCore := heapBytes()
				b.ReportMetric(float64(heapWithCore-heapWithoutCore), "core-B")
				b.ReportMetric(float64(len(f.raw)), "set-B")
				runtime.KeepAlive(f)
			}
		})
	}
}

// heapBytes returns the allocated heap after garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkChange measures the times from a publication until the set is in
// force at 99 % of the instances and at all of them. It waits at most 20 s. The
// time to check the set is not included.
func BenchmarkChange(b *testing.B) {
	for _, members := range []int{8, 32, 128, 255, 510} {
		b.Run(fmt.Sprintf("instances=%d", members), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, members, 230)
				f.run(15 * time.Second)
				next := *f.set
				set, raw := bundle(b, &next, 2)
				began := f.now
				f.publish(set, raw)
				var p99 time.Duration
				for f.accepted < members && f.now < began+20*time.Second {
					f.run(tickInterval)
					if p99 == 0 && 100*f.accepted >= 99*members {
						p99 = f.now - began
					}
				}
				b.ReportMetric(float64((f.now - began).Milliseconds()), "last-ms")
				b.ReportMetric(float64(p99.Milliseconds()), "p99-ms")
				b.ReportMetric(float64(len(f.raw)), "set-B")
			}
		})
	}
}

// BenchmarkReturn adds a seventh of the fleet at once to a running fleet. It
// measures the time until all new instances are ready, and the maximum cost per
// second of the first instance, which was running before.
func BenchmarkReturn(b *testing.B) {
	for _, members := range []int{56, 126, 252, 510} {
		b.Run(fmt.Sprintf("instances=%d", members), func(b *testing.B) {
			for b.Loop() {
				oldMembers := members - members/7
				f := newFleet(b, oldMembers, 2300)
				f.run(15 * time.Second)
				list := instanceList(members)
				for i := range oldMembers {
					f.schedule(linkDelay, delivery{to: i, in: list})
				}
				for i := oldMembers; i < members; i++ {
					f.start(i, 1, list)
				}
				f.measure, f.becameReady = true, 0
				var ready time.Duration
				var peak cost
				for second := range 10 {
					f.cost = cost{}
					for range 100 {
						f.run(10 * tickInterval)
						if ready == 0 && f.becameReady >= members-oldMembers {
							ready = time.Duration(second)*time.Second + f.now%time.Second
						}
					}
					peak.sentBytes = max(peak.sentBytes, f.cost.sentBytes)
					peak.receivedBytes = max(peak.receivedBytes, f.cost.receivedBytes)
					peak.busy = max(peak.busy, f.cost.busy)
					peak.reads = max(peak.reads, f.cost.reads)
				}
				b.ReportMetric(ready.Seconds(), "all-ready-s")
				b.ReportMetric(float64(peak.sentBytes), "peak-sent-B/s")
				b.ReportMetric(float64(peak.receivedBytes), "peak-received-B/s")
				b.ReportMetric(100*peak.busy.Seconds(), "peak-core-%")
				b.ReportMetric(float64(peak.reads), "peak-fleet-reads/s")
			}
		})
	}
}
