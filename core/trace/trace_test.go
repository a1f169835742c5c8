package trace

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// message draws a message of any type.
func message(t *rapid.T) model.PeerMessage {
	return rapid.OneOf(
		rapid.Make[model.Exchange]().AsAny(), rapid.Make[model.PingReply]().AsAny(),
		rapid.Make[model.RelayRequest]().AsAny(), rapid.Make[model.RelayReply]().AsAny(),
		rapid.Make[model.BookForward]().AsAny(), rapid.Make[model.BookOutcome]().AsAny(),
		rapid.Make[model.BookingHandover]().AsAny(), rapid.Make[model.ConfigSet]().AsAny(),
	).Draw(t, "message").(model.PeerMessage)
}

// Guards against a replay that differs from what was recorded.
func TestRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Record{
			Mono: time.Duration(rapid.Int64().Draw(t, "mono")),
			Boot: time.Duration(rapid.Int64().Draw(t, "boot")),
			Inputs: []model.Input{
				rapid.Make[model.SearchCall]().Draw(t, "search"), rapid.Make[model.BookCall]().Draw(t, "book"),
				rapid.Make[model.TargetReply]().Draw(t, "reply"), rapid.Make[model.ProbeReply]().Draw(t, "probe"),
				rapid.Make[model.InstanceList]().Draw(t, "list"), model.Shutdown{},
				model.PeerInput{From: "b", Incarnation: 9, Message: message(t)},
				model.ConfigResult{OK: true, Index: 3, Raw: []byte("refused")},
			},
			Outputs: []model.Output{
				rapid.Make[model.SendTarget]().Draw(t, "send"), rapid.Make[model.SearchAnswer]().Draw(t, "answer"),
				rapid.Make[model.BookAnswer]().Draw(t, "booked"), rapid.Make[model.Status]().Draw(t, "status"),
				model.SendPeer{To: "b", Address: "127.0.0.1:1", Message: message(t)}, model.Stopped{},
			},
		}
		var buf bytes.Buffer
		w, err := NewWriter(&buf, Header{Config: model.CoreConfig{Self: "a", Seed: 1 << 63}, Dropped: 2})
		if err == nil {
			err = w.Write(want)
		}
		if err != nil {
			t.Fatal(err)
		}
		r, header, err := NewReader(&buf)
		if err != nil {
			t.Fatal(err)
		}
		if header.Config.Seed != 1<<63 || header.Dropped != 2 {
			t.Errorf("header %+v", header)
		}
		got, err := r.Read()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if _, err := r.Read(); !errors.Is(err, io.EOF) {
			t.Errorf("after the last record: %v", err)
		}
	})
}

// Guards against a type of the model that a trace cannot hold.
func TestEveryTypeIsKnown(t *testing.T) {
	for _, known := range []types{inputTypes, outputTypes, messageTypes} {
		for name, typ := range known {
			value := reflect.New(typ).Elem()
			if f := value.FieldByName("Message"); f.IsValid() && f.Kind() == reflect.Interface {
				f.Set(reflect.ValueOf(model.PingRequest{Round: 1}))
			}
			var raw []byte
			var err error
			var back any
			switch v := value.Interface().(type) {
			case model.Input:
				if raw, err = EncodeInput(v); err == nil {
					back, err = DecodeInput(raw)
				}
			case model.Output:
				if raw, err = EncodeOutput(v); err == nil {
					back, err = DecodeOutput(raw)
				}
			case model.PeerMessage:
				in := model.PeerInput{Message: v}
				if raw, err = EncodeInput(in); err == nil {
					back, err = DecodeInput(raw)
					back = back.(model.PeerInput).Message
				}
			}
			if err != nil || !cmp.Equal(value.Interface(), back) {
				t.Errorf("%s: %v, %s", name, err, raw)
			}
		}
	}
}

// Guards against a replay that runs with another set than the recorded one.
func TestSetTravelsAsItsRawBytes(t *testing.T) {
	loaded, findings := objects.Load([]string{"../../examples/lagos"})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	raw, err := objects.Bundle(loaded.Set, 4)
	if err != nil {
		t.Fatal(err)
	}
	set, _ := objects.Parse(raw)
	for _, want := range []model.Input{
		model.ConfigResult{OK: true, Index: 7, Raw: raw, Set: set},
		model.PeerConfig{From: "b", Raw: raw, Set: set},
	} {
		line, err := EncodeInput(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeInput(line)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	_, err = DecodeInput([]byte(`{"type":"PeerConfig","value":{"Raw":"e30=","HasSet":true}}`))
	if err == nil || !strings.Contains(err.Error(), "does not pass the check") {
		t.Errorf("a set that fails the check: %v", err)
	}
}

// Guards against a panic on a damaged trace, and against a form that changes
// when it is written again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"format":1,"config":{},"dropped":0}` + "\n" +
		`{"mono":1,"boot":2,"inputs":[{"type":"PeerInput","value":{"From":"b","Incarnation":1,"Message":{"type":"PingReply","value":{"Alive":true}}}}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, h, err := NewReader(bytes.NewReader(raw))
		for err == nil {
			var rec, again Record
			if rec, err = r.Read(); err != nil {
				return
			}
			line, encodeErr := rec.MarshalJSON()
			if encodeErr != nil {
				t.Fatal(encodeErr)
			}
			if decodeErr := again.UnmarshalJSON(line); decodeErr != nil {
				t.Fatal(decodeErr)
			}
			if diff := cmp.Diff(rec, again); diff != "" {
				t.Fatal(h, diff)
			}
		}
	})
}
