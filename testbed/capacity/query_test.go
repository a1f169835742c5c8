package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenadyke.dev/core/model"
	"galenadyke.dev/node/peer"
	"galenadyke.dev/node/peer/peerpb"
)

const (
	queryBytes  = 256
	answerBytes = 1024
)

// search starts a search at the first instance. It returns the relay requests
// that the instance sends and the number of sub-requests that it sends to
// targets directly.
func (f *fleet) search(b *testing.B, call model.CallID) (relays []model.RelayRequest, direct int) {
	inst := f.instances[0]
	inst.e.Step(model.SearchCall{Call: call, RequestID: "request", Route: "search", Budget: 140 * time.Millisecond, Body: make([]byte, queryBytes)})
	for _, o := range inst.e.Tick(model.Now{Mono: f.now, Boot: f.now}) {
		switch o := o.(type) {
		case model.SendPeer:
			if m, ok := o.Message.(model.RelayRequest); ok {
				relays = append(relays, m)
			}
		case model.SendTarget:
			direct++
		case model.SearchAnswer:
			b.Fatalf("search was answered at once: got error %+v, want sub-requests", o.Error)
		}
	}
	return relays, direct
}

// BenchmarkFanOut measures what one search over 85 groups costs between
// instances: messages, encoded bytes of requests and replies, and the time of
// the codec at both ends. The answer from each target has 1 KiB.
func BenchmarkFanOut(b *testing.B) {
	for _, members := range []int{8, 32, 128, 255, 510} {
		b.Run(fmt.Sprintf("instances=%d", members), func(b *testing.B) {
			f := newFleet(b, members, 2300)
			f.run(15 * time.Second)
			var messages, requests, replies, searches int
			var codec time.Duration
			for b.Loop() {
				relays, _ := f.search(b, model.CallID(searches+1))
				searches++
				messages += len(relays)
				for _, m := range relays {
					reply := model.RelayReply{}
					for _, item := range m.Items {
						reply.Items = append(reply.Items, model.RelayOutcome{
							Ref: item.Ref, Execution: model.Ran, QueueWait: time.Millisecond, Level: 3,
							Answer: model.TargetAnswer{Snapshot: 8, Partitions: []uint32{1, 2}, Incarnation: 1, Body: make([]byte, answerBytes)},
						})
					}
					began := time.Now()
					requests += transcode(b, m)
					replies += transcode(b, reply)
					codec += time.Since(began)
				}
				f.run(200 * time.Millisecond) // long enough for the search to end without answers
			}
			searchCount := float64(searches)
			b.ReportMetric(float64(messages)/searchCount, "messages/search")
			b.ReportMetric(float64(requests)/searchCount, "request-B/search")
			b.ReportMetric(float64(replies)/searchCount, "reply-B/search")
			b.ReportMetric(float64(codec.Microseconds())/searchCount, "codec-us/search")
		})
	}
}

// transcode encodes and decodes a message and returns its size in bytes.
func transcode(b *testing.B, m model.PeerMessage) int {
	frame, err := peer.Encode(m)
	if err != nil {
		b.Fatal(err)
	}
	raw, err := proto.Marshal(frame)
	if err != nil {
		b.Fatal(err)
	}
	decoded := new(peerpb.Frame)
	if err := proto.Unmarshal(raw, decoded); err != nil {
		b.Fatal(err)
	}
	if _, err := peer.Decode(decoded); err != nil {
		b.Fatal(err)
	}
	return len(raw)
}

// BenchmarkInFlight measures the heap memory of the core per sub-request of the
// searches in flight. Each search has 85 sub-requests. 33 searches are in flight
// if an instance gets 235 searches per second and each search takes 140 ms.
func BenchmarkInFlight(b *testing.B) {
	for _, searches := range []int{8, 16, 33, 66, 132} {
		b.Run(fmt.Sprintf("searches=%d", searches), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, 32, 2300)
				f.run(15 * time.Second)
				heapBefore := heapBytes()
				for i := range searches {
					f.search(b, model.CallID(i+1))
				}
				b.ReportMetric(float64(heapBytes()-heapBefore)/float64(searches*85), "B/sub-request")
				runtime.KeepAlive(f)
			}
		})
	}
}
