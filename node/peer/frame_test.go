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

// valueRanges restricts generated values to those that the core can produce.
var valueRanges = rapid.MakeConfig{Types: map[reflect.Type]*rapid.Generator[any]{
	reflect.TypeFor[model.Execution]():    rapid.SampledFrom([]model.Execution{model.Unknown, model.NotRun, model.Ran}).AsAny(),
	reflect.TypeFor[model.MemberStatus](): rapid.SampledFrom([]model.MemberStatus{model.MemberStarting, model.MemberServing, model.MemberDraining}).AsAny(),
	reflect.TypeFor[time.Duration]():      rapid.Map(rapid.Int64Range(0, math.MaxInt64), func(n int64) time.Duration { return time.Duration(n) }).AsAny(),
	reflect.TypeFor[int]():                rapid.IntRange(0, math.MaxInt32).AsAny(),
}}

func messageGenerator[T model.PeerMessage]() *rapid.Generator[any] {
	return rapid.MakeCustom[T](valueRanges).AsAny()
}

var anyMessage = rapid.OneOf(
	messageGenerator[model.Exchange](), messageGenerator[model.PingRequest](), messageGenerator[model.PingReply](), messageGenerator[model.ConfigAnnounce](),
	messageGenerator[model.ConfigFetch](), messageGenerator[model.ConfigSet](), messageGenerator[model.LeadRelease](), messageGenerator[model.RelayRequest](),
	messageGenerator[model.RelayReply](), messageGenerator[model.RelayCancel](), messageGenerator[model.BookForward](), messageGenerator[model.BookOutcome](),
	messageGenerator[model.BookingHandover]())

// Guards against a field that is lost or swapped between Encode and Decode.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := anyMessage.Draw(t, "message").(model.PeerMessage)
		frame, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := proto.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		received := new(peerpb.Frame)
		if err := proto.Unmarshal(raw, received); err != nil {
			t.Fatal(err)
		}
		got, err := Decode(received)
		if err != nil {
			t.Fatal(err)
		}
		// Protobuf does not distinguish an empty slice from nil.
		emptyEqualsNil := cmp.FilterValues(func(a, b any) bool { return isEmptySlice(a) && isEmptySlice(b) }, cmp.Comparer(func(_, _ any) bool { return true }))
		if diff := cmp.Diff(want, got, emptyEqualsNil); diff != "" {
			t.Error(diff)
		}
	})
}

func isEmptySlice(v any) bool {
	r := reflect.ValueOf(v)
	return r.Kind() == reflect.Slice && r.Len() == 0
}

// Guards against an out-of-range value that is decoded as a valid one: an unknown
// execution must not become "not run".
func TestValuesOutOfRangeAreRefused(t *testing.T) {
	outcome := func(o *peerpb.RelayOutcome) *peerpb.Frame {
		return &peerpb.Frame{Message: &peerpb.Frame_RelayReply{RelayReply: &peerpb.RelayReply{Items: []*peerpb.RelayOutcome{o}}}}
	}
	for name, frame := range map[string]*peerpb.Frame{
		"unknown execution":          outcome(&peerpb.RelayOutcome{Execution: 3}),
		"error kind above 16 bits":   outcome(&peerpb.RelayOutcome{Error: 1 << 16}),
		"negative queue wait":        outcome(&peerpb.RelayOutcome{QueueWaitNs: -1}),
		"negative load":              outcome(&peerpb.RelayOutcome{Answer: &peerpb.TargetAnswer{Load: &peerpb.TargetLoad{InFlight: -1}}}),
		"no message":                 {},
		"Hello, which is no message": {Message: &peerpb.Frame_Hello{Hello: &peerpb.Hello{Instance: "b"}}},
	} {
		if message, err := Decode(frame); err == nil {
			t.Errorf("%s: got message %+v, want an error", name, message)
		}
	}
}

// Guards against a panic on a damaged frame, and against a decoded message that cannot
// be sent on.
func FuzzDecode(f *testing.F) {
	for seed := range 20 {
		if frame, err := Encode(anyMessage.Example(seed).(model.PeerMessage)); err == nil {
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
		reencoded, err := Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(reencoded); err != nil {
			t.Fatal(err)
		}
	})
}
