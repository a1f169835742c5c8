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

// drawMessage draws a peer message of one of several types.
func drawMessage(t *rapid.T) model.PeerMessage {
	return rapid.OneOf(
		rapid.Make[model.Exchange]().AsAny(), rapid.Make[model.PingReply]().AsAny(),
		rapid.Make[model.RelayRequest]().AsAny(), rapid.Make[model.RelayReply]().AsAny(),
		rapid.Make[model.BookForward]().AsAny(), rapid.Make[model.BookOutcome]().AsAny(),
		rapid.Make[model.BookingHandover]().AsAny(), rapid.Make[model.ConfigSet]().AsAny(),
	).Draw(t, "message").(model.PeerMessage)
}

// Guards against records that change when they are written and read again.
func TestRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Record{
			Mono: time.Duration(rapid.Int64().Draw(t, "mono")),
			Boot: time.Duration(rapid.Int64().Draw(t, "boot")),
			Inputs: []model.Input{
				rapid.Make[model.SearchCall]().Draw(t, "search"), rapid.Make[model.BookCall]().Draw(t, "book"),
				rapid.Make[model.TargetReply]().Draw(t, "reply"), rapid.Make[model.ProbeReply]().Draw(t, "probe"),
				rapid.Make[model.InstanceList]().Draw(t, "list"), model.Shutdown{},
				model.PeerInput{From: "b", Incarnation: 9, Message: drawMessage(t)},
				model.ConfigResult{OK: true, Index: 3, Raw: []byte("refused")},
			},
			Outputs: []model.Output{
				rapid.Make[model.SendTarget]().Draw(t, "send"), rapid.Make[model.SearchAnswer]().Draw(t, "answer"),
				rapid.Make[model.BookAnswer]().Draw(t, "booked"), rapid.Make[model.Status]().Draw(t, "status"),
				model.SendPeer{To: "b", Address: "127.0.0.1:1", Message: drawMessage(t)}, model.Stopped{},
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
			t.Errorf("header: got %+v, want seed 1<<63 and 2 dropped records", header)
		}
		got, err := r.Read()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if _, err := r.Read(); !errors.Is(err, io.EOF) {
			t.Errorf("Read after the last record: got error %v, want io.EOF", err)
		}
	})
}

// Guards against a registered type that does not survive encoding and decoding.
func TestRegisteredTypesRoundTrip(t *testing.T) {
	for _, registry := range []typeRegistry{inputTypes, outputTypes, messageTypes} {
		for name, goType := range registry {
			value := reflect.New(goType).Elem()
			if f := value.FieldByName("Message"); f.IsValid() && f.Kind() == reflect.Interface {
				f.Set(reflect.ValueOf(model.PingRequest{Round: 1}))
			}
			var raw []byte
			var err error
			var decoded any
			switch v := value.Interface().(type) {
			case model.Input:
				if raw, err = EncodeInput(v); err == nil {
					decoded, err = DecodeInput(raw)
				}
			case model.Output:
				if raw, err = EncodeOutput(v); err == nil {
					decoded, err = DecodeOutput(raw)
				}
			case model.PeerMessage:
				in := model.PeerInput{Message: v}
				if raw, err = EncodeInput(in); err == nil {
					decoded, err = DecodeInput(raw)
					decoded = decoded.(model.PeerInput).Message
				}
			}
			if err != nil || !cmp.Equal(value.Interface(), decoded) {
				t.Errorf("%s: got error %v, want none and the same value after decoding; encoded as %s", name, err, raw)
			}
		}
	}
}

// Guards against a replay that uses a configuration set other than the recorded one.
func TestSetIsRestoredFromRawBytes(t *testing.T) {
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
	if err == nil || !strings.Contains(err.Error(), "fails validation") {
		t.Errorf("a set that fails validation: got error %v, want one that says so", err)
	}
}

// Guards against a panic on a damaged trace, and against a record that changes when it
// is written and read again.
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
