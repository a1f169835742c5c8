package query

import (
	"fmt"
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// BenchmarkSearch measures a whole search at the entry instance: admission, all
// sub-requests, a tick for each reply, and the answer to the call. With "own", the
// entry instance leads all targets; with "relay", other instances do. ns/sub is the
// time for each sub-request, including the time to build the replies.
func BenchmarkSearch(b *testing.B) {
	for _, groups := range []int{20, 30, 85} {
		for _, mode := range []string{"own", "relay"} {
			b.Run(fmt.Sprintf("%s/%d", mode, groups), func(b *testing.B) { benchSearch(b, groups, mode == "relay") })
		}
	}
}

func benchSearch(b *testing.B, groups int, relay bool) {
	s := newSim(2, groups, 2, 8, model.PolicyFull)
	s.set.Limits.HedgeFloor = 20 * time.Millisecond // above the reply time, so that no hedge is sent
	v := s.nodes[0].v
	for id := range v.leads {
		if !relay {
			v.leads[id] = "a"
		} else if v.leads[id] == "a" {
			v.leads[id] = "c"
		}
	}
	v.sim = &sim{}
	e := New(model.CoreConfig{Self: "a", Incarnation: 1, Seed: 1, Policy: model.PolicyFull}, v)
	var out []model.Output
	now := time.Second
	tick := func(c view.Changes) {
		out = out[:0]
		e.Tick(model.Now{Mono: now, Boot: now}, c, &out)
	}
	tick(view.Changes{Set: true})
	body := []byte("query")
	partitions := make([][]uint32, groups+1)
	for i := range partitions {
		partitions[i] = []uint32{uint32(i)}
	}
	part := func(t model.TargetID) []uint32 { return partitions[int(t[1]-'0')*10+int(t[2]-'0')+1] }
	var sent []model.Output
	var last model.Output
	reply := func(in model.Input) {
		e.Step(in)
		tick(view.Changes{})
		if len(out) > 0 {
			last = out[len(out)-1]
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.Step(model.SearchCall{Call: model.CallID(i), Route: "search", Budget: callBudget, Body: body})
		tick(view.Changes{})
		now += 5 * time.Millisecond
		sent = append(sent[:0], out...)
		for _, o := range sent {
			switch o := o.(type) {
			case model.SendTarget:
				reply(model.TargetReply{Work: o.Work, Execution: model.Ran, Latency: 5 * time.Millisecond,
					Answer: model.TargetAnswer{Snapshot: 7, Partitions: part(o.Target), Incarnation: 1, Body: body}})
			case model.SendPeer:
				m := o.Message.(model.RelayRequest)
				answer := model.RelayReply{Items: make([]model.RelayOutcome, 0, len(m.Items))}
				for _, it := range m.Items {
					answer.Items = append(answer.Items, model.RelayOutcome{Ref: it.Ref, Execution: model.Ran, Level: 8,
						Answer: model.TargetAnswer{Snapshot: 7, Partitions: part(it.Target), Incarnation: 1, Body: body}})
				}
				reply(model.PeerInput{From: o.To, Incarnation: 1, Message: answer})
			}
		}
		if a, ok := last.(model.SearchAnswer); !ok || a.Searched != groups {
			b.Fatalf("last output %+v, want a search answer that covers all partitions", last)
		}
	}
	subs := float64(b.N * groups)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/subs, "ns/sub")
}
