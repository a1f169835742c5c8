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

// fleet runs the control planes of whole engines in virtual time, without
// faults. The costs of the first instance are measured.
type fleet struct {
	now     time.Duration
	nodes   []*instance
	queue   map[time.Duration][]delivery
	set     *objects.Set
	raw     []byte
	watches []int // instances whose watch waits for a change
	measure bool
	cost    cost
	adopted int
	readied int // instances that became ready
}

type instance struct {
	e     *engine.Engine
	inbox []model.Input
	wake  time.Duration
}

type delivery struct {
	to    int
	from  int
	frame *peerpb.Frame // encoded form of a measured message
	in    model.Input
}

// cost is what the first instance spends.
type cost struct {
	busy               time.Duration
	sent, received     int // messages
	sentBytes, inBytes int
	reads, probes      int
}

const (
	tickStep  = time.Millisecond
	linkDelay = 2 * time.Millisecond
)

// sizes are numbers of instances and targets.
var sizes = [][2]int{
	{8, 2300}, {32, 2300}, {128, 2300}, {255, 2300}, {510, 2300},
	{32, 60}, {32, 230}, {32, 575}, {32, 1150},
}

func instanceID(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("entry-%03d", i)) }

func place(i int) string { return fmt.Sprintf("place-%d", i%7) }

// newSet returns a set of groups with two targets each, with three slots, in
// seven data centres, and a route over the first 85 groups.
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
	list := listOf(members)
	for i := range members {
		f.start(i, 1, list)
	}
	return f
}

func listOf(members int) model.InstanceList {
	list := model.InstanceList{OK: true}
	for i := range members {
		list.Instances = append(list.Instances, model.InstanceInfo{
			ID: instanceID(i), Address: fmt.Sprintf("10.9.%d.%d:7000", i/250, i%250+1), Place: model.PlaceID(place(i)),
		})
	}
	return list
}

// start starts a life of an instance.
func (f *fleet) start(i int, life model.Incarnation, list model.InstanceList) {
	n := &instance{e: engine.New(model.CoreConfig{
		Self: instanceID(i), Incarnation: life, Address: list.Instances[i].Address, Place: list.Instances[i].Place,
		Seed: uint64(i) + 1000*uint64(life), Policy: model.PolicyFull,
		BalancerDelay: 3 * time.Second, StopTimeout: 20 * time.Second,
	}), inbox: []model.Input{list}}
	if i < len(f.nodes) {
		f.nodes[i] = n
		return
	}
	f.nodes = append(f.nodes, n)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += tickStep
		for _, d := range f.queue[f.now] {
			n := f.nodes[d.to]
			in := d.in
			if d.frame != nil && d.to == 0 && f.measure {
				f.cost.received++
				f.cost.inBytes += proto.Size(d.frame)
				began := time.Now()
				raw, _ := proto.Marshal(d.frame)
				decoded := new(peerpb.Frame)
				_ = proto.Unmarshal(raw, decoded)
				m, _ := peer.Decode(decoded)
				f.cost.busy += time.Since(began)
				in = model.PeerInput{From: instanceID(d.from), Incarnation: 1, Message: m}
			}
			n.inbox = append(n.inbox, in)
		}
		delete(f.queue, f.now)
		for i, n := range f.nodes {
			if len(n.inbox) > 0 || n.wake <= f.now {
				f.tick(i, n)
			}
		}
	}
}

func (f *fleet) tick(i int, n *instance) {
	began := time.Now()
	for _, in := range n.inbox {
		n.e.Step(in)
	}
	n.inbox = n.inbox[:0]
	out := n.e.Tick(model.Now{Mono: f.now, Boot: f.now})
	n.wake = n.e.NextWake()
	if i == 0 && f.measure {
		f.cost.busy += time.Since(began)
	}
	for _, o := range out {
		f.carry(i, o)
	}
}

func (f *fleet) post(after time.Duration, d delivery) {
	at := f.now + after
	f.queue[at] = append(f.queue[at], d)
}

func (f *fleet) carry(i int, o model.Output) {
	switch o := o.(type) {
	case model.SendPeer:
		f.send(i, o)
	case model.ProbeTarget:
		if i == 0 && f.measure {
			f.cost.probes++
		}
		f.post(linkDelay, delivery{to: i, in: model.ProbeReply{Target: o.Target, OK: true, Report: model.TargetReport{
			Incarnation: 1, Versions: []model.VersionReport{
				{Version: 7, Total: 2300, Partitions: []uint32{1, 2}},
				{Version: 8, Total: 2300, Partitions: []uint32{1, 2}},
			},
		}}})
	case model.ReadConfig:
		f.read(i, o)
	case model.Ready:
		if o.Ready {
			f.readied++
		}
	case model.Event:
		if o.Name == "ConfigAccepted" {
			f.adopted++
		}
	}
}

// read answers at once if the set is new to the reader, else after the watch.
func (f *fleet) read(i int, o model.ReadConfig) {
	f.cost.reads++
	if o.Index != f.set.Generation {
		f.post(linkDelay, delivery{to: i, in: model.ConfigResult{OK: true, Index: f.set.Generation, Raw: f.raw, Set: f.set}})
		return
	}
	f.watches = append(f.watches, i)
	f.post(o.Wait, delivery{to: i, in: model.ConfigResult{OK: true, Index: o.Index}})
}

// publish makes the waiting watches return the new set.
func (f *fleet) publish(set *objects.Set, raw []byte) {
	f.set, f.raw = set, raw
	f.adopted = 0
	for at, list := range f.queue {
		f.queue[at] = slices.DeleteFunc(list, func(d delivery) bool {
			_, isRead := d.in.(model.ConfigResult)
			return isRead
		})
	}
	for _, i := range f.watches {
		f.post(linkDelay, delivery{to: i, in: model.ConfigResult{OK: true, Index: set.Generation, Raw: raw, Set: set}})
	}
	f.watches = nil
}

func (f *fleet) send(i int, o model.SendPeer) {
	var to int
	if _, err := fmt.Sscanf(string(o.To), "entry-%d", &to); err != nil {
		return
	}
	if to >= len(f.nodes) {
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
	f.post(linkDelay, d)
}

// BenchmarkControl measures what control costs one instance in the steady
// state, the codec of its messages included and the sockets not.
func BenchmarkControl(b *testing.B) {
	for _, size := range sizes {
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
				b.ReportMetric(float64(c.inBytes)/seconds, "received-B/s")
				b.ReportMetric(float64(c.sent)/seconds, "sent-msgs/s")
				b.ReportMetric(float64(c.probes)/seconds, "probes/s")
				b.ReportMetric(float64(c.reads)/seconds, "fleet-reads/s")
			}
		})
	}
}

// BenchmarkMemory measures the heap that the core of one instance holds.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, size[0], size[1])
				f.run(12 * time.Second)
				for i := range f.nodes {
					if i > 1 {
						f.nodes[i].e = nil
					}
				}
				f.queue = nil
				with := heap()
				f.nodes[1].e = nil
				without := heap()
				b.ReportMetric(float64(with-without), "core-B")
				b.ReportMetric(float64(len(f.raw)), "set-B")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkChange measures the time from a publication until the last
// instance has it in force, without the check of the set.
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
				for f.adopted < members && f.now < began+20*time.Second {
					f.run(tickStep)
					if p99 == 0 && 100*f.adopted >= 99*members {
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

// BenchmarkReturn starts a seventh of the fleet at once beside the others and
// measures the time until all of it is ready, and the busiest second of the
// first instance, which was there before.
func BenchmarkReturn(b *testing.B) {
	for _, members := range []int{56, 126, 252, 510} {
		b.Run(fmt.Sprintf("instances=%d", members), func(b *testing.B) {
			for b.Loop() {
				before := members - members/7
				f := newFleet(b, before, 2300)
				f.run(15 * time.Second)
				list := listOf(members)
				for i := range before {
					f.post(linkDelay, delivery{to: i, in: list})
				}
				for i := before; i < members; i++ {
					f.start(i, 1, list)
				}
				f.measure, f.readied = true, 0
				var ready time.Duration
				var peak cost
				for second := range 10 {
					f.cost = cost{}
					for range 100 {
						f.run(10 * tickStep)
						if ready == 0 && f.readied >= members-before {
							ready = time.Duration(second)*time.Second + f.now%time.Second
						}
					}
					peak.sentBytes = max(peak.sentBytes, f.cost.sentBytes)
					peak.inBytes = max(peak.inBytes, f.cost.inBytes)
					peak.busy = max(peak.busy, f.cost.busy)
					peak.reads = max(peak.reads, f.cost.reads)
				}
				b.ReportMetric(ready.Seconds(), "all-ready-s")
				b.ReportMetric(float64(peak.sentBytes), "peak-sent-B/s")
				b.ReportMetric(float64(peak.inBytes), "peak-received-B/s")
				b.ReportMetric(100*peak.busy.Seconds(), "peak-core-%")
				b.ReportMetric(float64(peak.reads), "peak-fleet-reads/s")
			}
		})
	}
}
