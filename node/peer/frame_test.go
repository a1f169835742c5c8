package peer

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"galenadyke.dev/core/model"
	"galenadyke.dev/node/peer/peerpb"
)

// ranges keeps drawn values within what the core can produce.
var ranges = rapid.MakeConfig{Types: map[reflect.Type]*rapid.Generator[any]{
	reflect.TypeFor[model.Execution]():    rapid.SampledFrom([]model.Execution{model.Unknown, model.NotRun, model.Ran}).AsAny(),
	reflect.TypeFor[model.MemberStatus](): rapid.SampledFrom([]model.MemberStatus{model.MemberStarting, model.MemberServing, model.MemberDraining}).AsAny(),
	reflect.TypeFor[time.Duration]():      rapid.Map(rapid.Int64Range(0, math.MaxInt64), func(n int64) time.Duration { return time.Duration(n) }).AsAny(),
	reflect.TypeFor[int]():                rapid.IntRange(0, math.MaxInt32).AsAny(),
}}

func drawn[T model.PeerMessage]() *rapid.Generator[any] {
	return rapid.MakeCustom[T](ranges).AsAny()
}

var everyMessage = rapid.OneOf(
	drawn[model.Exchange](), drawn[model.PingRequest](), drawn[model.PingReply](), drawn[model.ConfigAnnounce](),
	drawn[model.ConfigFetch](), drawn[model.ConfigSet](), drawn[model.LeadRelease](), drawn[model.RelayRequest](),
	drawn[model.RelayReply](), drawn[model.RelayCancel](), drawn[model.BookForward](), drawn[model.BookOutcome](),
	drawn[model.BookingHandover]())

// Guards against a field that is lost or mixed up on the way to a peer.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := everyMessage.Draw(t, "message").(model.PeerMessage)
		frame, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := proto.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		read := new(peerpb.Frame)
		if err := proto.Unmarshal(raw, read); err != nil {
			t.Fatal(err)
		}
		got, err := Decode(read)
		if err != nil {
			t.Fatal(err)
		}
		// Protobuf does not tell an empty slice from none.
		sameEmpty := cmp.FilterValues(func(a, b any) bool { return empty(a) && empty(b) }, cmp.Comparer(func(_, _ any) bool { return true }))
		if diff := cmp.Diff(want, got, sameEmpty); diff != "" {
			t.Error(diff)
		}
	})
}

func empty(v any) bool {
	r := reflect.ValueOf(v)
	return r.Kind() == reflect.Slice && r.Len() == 0
}

// Guards against values out of range that the core would take for others: an
// unknown execution must not become "not run".
func TestValuesOutOfRangeAreRefused(t *testing.T) {
	outcome := func(o *peerpb.RelayOutcome) *peerpb.Frame {
		return &peerpb.Frame{Message: &peerpb.Frame_RelayReply{RelayReply: &peerpb.RelayReply{Items: []*peerpb.RelayOutcome{o}}}}
	}
	for name, frame := range map[string]*peerpb.Frame{
		"execution": outcome(&peerpb.RelayOutcome{Execution: 3}),
		"kind":      outcome(&peerpb.RelayOutcome{Error: 1 << 16}),
		"wait":      outcome(&peerpb.RelayOutcome{QueueWaitNs: -1}),
		"load":      outcome(&peerpb.RelayOutcome{Answer: &peerpb.TargetAnswer{Load: &peerpb.TargetLoad{InFlight: -1}}}),
		"nothing":   {},
		"hello":     {Message: &peerpb.Frame_Hello{Hello: &peerpb.Hello{Instance: "b"}}},
	} {
		if message, err := Decode(frame); err == nil {
			t.Errorf("%s: read as %+v", name, message)
		}
	}
}

// Guards against a panic on a damaged frame.
func FuzzDecode(f *testing.F) {
	for seed := range 20 {
		if frame, err := Encode(everyMessage.Example(seed).(model.PeerMessage)); err == nil {
			raw, _ := proto.Marshal(frame)
			f.Add(raw)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame := new(peerpb.Frame)
		if proto.Unmarshal(raw, frame) != nil {
			return
		}
		message, err := Decode(frame)
		if err != nil {
			return
		}
		again, err := Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
