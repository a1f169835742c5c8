package engine_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"galenadyke.dev/core/engine"
	"galenadyke.dev/core/model"
	"galenadyke.dev/core/trace"
)

var update = flag.Bool("update", false, "record the traces of all incidents again")

// incident is a failure from the design page. run reproduces the failure in a cluster and
// calls record with the instance whose trace is recorded.
type incident struct {
	name      string
	instances int
	slots     int
	run       func(c *cluster, record func(*node))
}

// bookAt sends a booking to an instance.
func (c *cluster) bookAt(n *node, id model.BookingID) *callerCall {
	call := c.newCall(n, 400*ms)
	call.booking = id
	n.step(model.BookCall{Call: call.id, RequestID: call.requestID, Booking: id, Route: "book", Budget: call.budget, Body: []byte(id.String())})
	return call
}

// bookingID returns a new booking id of an instance.
func (c *cluster) bookingID(n *node) model.BookingID {
	call := c.newCall(n, second)
	n.step(model.IssueBookingIDs{Call: call.id, Count: 1})
	return call.answers[0].(model.BookingIDs).IDs[0]
}

// onFirstStep runs action at the first occurrence of a step.
func (c *cluster) onFirstStep(wanted string, action func(n, peer *node, tgt *target)) {
	c.stepHook = func(name string, n, peer *node, tgt *target) {
		if name == wanted {
			c.stepHook = func(string, *node, *node, *target) {}
			action(n, peer, tgt)
		}
	}
}

// searchEvery10ms sends count searches at intervals of 10 ms.
func (c *cluster) searchEvery10ms(n *node, count int) {
	for range count {
		c.search(n, 200*ms)
		c.run(10 * ms)
	}
}

var incidents = []incident{
	{"booking-target-dies-after-write", 2, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		id := c.bookingID(c.nodes[0])
		c.onFirstStep("SendTarget booking", func(_, _ *node, tgt *target) { c.after(3*ms, func() { c.killTarget(tgt) }) })
		c.bookAt(c.nodes[0], id)
		c.run(second)
		c.bookAt(c.nodes[0], id)
		c.run(second / 2)
	}},
	{"place-leaves-with-work", 2, 1, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		for _, tgt := range c.targets {
			tgt.fixedServiceTime = 30 * ms
		}
		c.searchEvery10ms(c.nodes[0], 4)
		id := c.bookingID(c.nodes[0])
		c.bookAt(c.nodes[0], id)
		c.publish(c.makeSet(2, 1, ""))
		c.searchEvery10ms(c.nodes[0], 20)
		c.run(second)
		c.searchEvery10ms(c.nodes[0], 5)
		c.run(second / 2)
	}},
	{"lead-pauses", 3, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		c.searchEvery10ms(c.nodes[1], 4)
		c.nodes[0].pause()
		c.searchEvery10ms(c.nodes[1], 10)
		c.run(3 * second)
		c.nodes[0].resume()
		c.run(3 * second)
		c.searchEvery10ms(c.nodes[0], 3)
		c.run(second / 2)
	}},
	{"target-restarts-unnoticed", 2, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		c.searchEvery10ms(c.nodes[0], 24)
		for _, tgt := range c.targets {
			c.startTarget(tgt) // no connection breaks, because all are idle
		}
		c.run(50 * ms)
		c.searchEvery10ms(c.nodes[0], 10)
		c.run(second)
	}},
	{"version-retired", 2, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		c.repartition()
		for range 20 {
			c.search(c.nodes[0], 200*ms)
			c.run(100 * ms)
		}
		c.run(second / 2)
	}},
	{"racing-publications", 3, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		low, high := c.makeSet(2, 0, "s0-0"), c.makeSet(2, 0, "s1-0")
		if c.setsByRaw[low].Newer(c.setsByRaw[high]) {
			low, high = high, low
		}
		c.publish(high)
		c.run(20 * ms)
		c.publish(low) // the earlier set in the order of sets is written last
		c.run(second)
		c.search(c.nodes[0], 200*ms)
		c.run(second)
	}},
	{"service-outage-at-start", 2, 2, func(c *cluster, record func(*node)) {
		c.run(2 * second)
		c.readService = serviceDownFor(nil)
		n := c.addNode(2)
		c.start(n)
		record(n)
		c.run(4 * second)
		c.search(n, 200*ms)
		c.run(second / 2)
	}},
	{"late-and-duplicate-answers", 2, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		c.duplicateMessages = true
		c.searchEvery10ms(c.nodes[0], 5)
		c.targets[1].fixedServiceTime = 300 * ms
		c.targets[0].fixedServiceTime = 300 * ms
		c.search(c.nodes[0], 200*ms)
		c.run(second)
		c.bookAt(c.nodes[0], c.bookingID(c.nodes[0]))
		c.bookAt(c.nodes[0], c.bookingID(c.nodes[0]))
		c.run(second)
	}},
	{"stop-with-work", 3, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		id := c.bookingID(c.nodes[0])
		c.bookAt(c.nodes[0], id)
		c.run(100 * ms)
		for _, tgt := range c.targets {
			tgt.fixedServiceTime = 50 * ms
		}
		c.search(c.nodes[0], 200*ms)
		c.search(c.nodes[1], 200*ms)
		c.nodes[0].step(model.Shutdown{})
		c.search(c.nodes[0], 200*ms)
		c.run(2 * second)
	}},
	{"booking-repeated-elsewhere", 3, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		id := c.bookingID(c.nodes[0])
		c.bookAt(c.nodes[1], id)
		c.bookAt(c.nodes[2], id)
		c.run(200 * ms)
		c.bookAt(c.nodes[0], id)
		c.run(100 * ms)
	}},
	{"instance-isolated", 3, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		c.readService, c.isCut = serviceDownFor(c.nodes[0]), linksOf(c.nodes[0])
		c.run(3 * second)
		c.search(c.nodes[0], 200*ms)
		c.run(second)
		c.healNetwork()
		c.run(2 * second)
		c.search(c.nodes[0], 200*ms)
		c.run(second / 2)
	}},
	{"lead-crashes", 3, 2, func(c *cluster, record func(*node)) {
		record(c.nodes[0])
		c.run(600 * ms)
		c.nodes[2].kill()
		c.searchEvery10ms(c.nodes[0], 3)
		c.run(5 * second)
		c.searchEvery10ms(c.nodes[0], 3)
		c.run(second / 2)
	}},
}

// recordIncident runs an incident and returns its trace.
func recordIncident(t testing.TB, in *incident) []byte {
	c := newCluster(t, in.instances, in.slots, 1)
	c.maxLeads = in.instances
	var buf bytes.Buffer
	in.run(c, func(n *node) { n.recordTo(&buf) })
	return buf.Bytes()
}

// replay replays a trace and reports a test error for each statement of the outcome that
// does not hold.
func replay(t *testing.T, raw []byte, outcome *trace.Outcome) trace.Summary {
	t.Helper()
	sum, err := trace.Replay(bytes.NewReader(raw), func(cfg model.CoreConfig) trace.Engine { return engine.New(cfg) },
		func(tick *trace.Tick) { outcome.Observe(tick.At, tick.Outputs) })
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range outcome.Failures() {
		t.Error(line)
	}
	return sum
}

func readOutcome(t *testing.T, path string) *trace.Outcome {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	o, err := trace.ParseOutcome(bytes.NewReader(raw))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return o
}

// Guards against a release that no longer handles a recorded incident as its outcome
// states. The recorded outputs are those of the release that recorded the trace. A
// difference from them is therefore only logged. -update records all traces again.
func TestRecordedIncidents(t *testing.T) {
	if *update {
		for i := range incidents {
			path := filepath.Join("testdata", incidents[i].name+".trace")
			if err := os.WriteFile(path, recordIncident(t, &incidents[i]), 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
	paths, _ := filepath.Glob("testdata/*.trace")
	if len(paths) < len(incidents) {
		t.Errorf("got %d traces, want at least %d, one for each incident; record them with -update", len(paths), len(incidents))
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			sum := replay(t, raw, readOutcome(t, strings.TrimSuffix(path, ".trace")+".outcome"))
			if !sum.Compared || sum.Ticks == 0 {
				t.Errorf("got %d ticks, compared: %v; want ticks, all compared", sum.Ticks, sum.Compared)
			}
			if len(sum.Differences) > 0 {
				t.Logf("the outputs of %d of %d ticks differ from the recorded outputs, which the recorded inputs answer; "+
					"check that TestReplayGivesTheSameOutputs passes, then record the traces with -update", len(sum.Differences), sum.Ticks)
			}
		})
	}
}

// Guards against an engine whose outputs depend on more than its configuration, inputs and
// times, and against a trace format that loses some of these. The replay of a new
// recording must return exactly the recorded outputs and satisfy the outcome.
func TestReplayGivesTheSameOutputs(t *testing.T) {
	for i := range incidents {
		in := &incidents[i]
		t.Run(in.name, func(t *testing.T) {
			raw := recordIncident(t, in)
			sum := replay(t, raw, readOutcome(t, filepath.Join("testdata", in.name+".outcome")))
			if !sum.Compared || len(sum.Differences) > 0 {
				t.Errorf("got outputs that differ in %d of %d ticks, want none; first: %+v", len(sum.Differences), sum.Ticks, sum.Differences[:min(1, len(sum.Differences))])
			}
		})
	}
	names := make([]string, len(incidents))
	for i := range incidents {
		names[i] = incidents[i].name
	}
	if slices.Sort(names); len(slices.Compact(names)) != len(incidents) {
		t.Error("got two incidents with the same name, want unique names")
	}
}
