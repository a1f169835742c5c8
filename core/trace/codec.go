package trace

import (
	"encoding/json"
	"fmt"
	"reflect"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// envelope is a value with the name of its type.
type envelope struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// types maps the names of types to the types.
type types map[string]reflect.Type

// typesOf lists each type by an example.
func typesOf[T any](examples ...T) types {
	t := make(types, len(examples))
	for _, e := range examples {
		t[reflect.TypeOf(e).Name()] = reflect.TypeOf(e)
	}
	return t
}

var (
	inputTypes = typesOf[model.Input](
		model.SearchCall{}, model.BookCall{}, model.IssueBookingIDs{}, model.CancelCall{},
		model.TargetReply{}, model.ProbeReply{}, model.PeerInput{}, model.PeerDown{},
		model.ConfigResult{}, model.PeerConfig{}, model.InstanceList{}, model.StatusCall{},
		model.Shutdown{})
	outputTypes = typesOf[model.Output](
		model.SendTarget{}, model.CancelTarget{}, model.ProbeTarget{}, model.SendPeer{},
		model.ReadConfig{}, model.SearchAnswer{}, model.BookAnswer{}, model.BookingIDs{},
		model.Ready{}, model.Event{}, model.Status{}, model.Stopped{})
	messageTypes = typesOf[model.PeerMessage](
		model.Exchange{}, model.PingRequest{}, model.PingReply{}, model.ConfigAnnounce{},
		model.ConfigFetch{}, model.ConfigSet{}, model.LeadRelease{}, model.RelayRequest{},
		model.RelayReply{}, model.RelayCancel{}, model.BookForward{}, model.BookOutcome{},
		model.BookingHandover{})
)

// The forms of values that plain JSON does not cover: those that hold a message
// or a set.
type (
	peerInputForm struct {
		From        model.InstanceID
		Incarnation model.Incarnation
		Message     envelope
	}
	sendPeerForm struct {
		To      model.InstanceID
		Address string
		Message envelope
	}
	// configForm is the form of ConfigResult and PeerConfig. HasSet tells a
	// value that passed the check from one that did not.
	configForm struct {
		From   model.InstanceID `json:",omitempty"`
		OK     bool             `json:",omitempty"`
		Index  uint64           `json:",omitempty"`
		Raw    []byte
		HasSet bool
	}
)

// EncodeInput returns the envelope of an input.
func EncodeInput(in model.Input) ([]byte, error) { return marshal(encodeInput(in)) }

// EncodeOutput returns the envelope of an output.
func EncodeOutput(out model.Output) ([]byte, error) { return marshal(encodeOutput(out)) }

// DecodeInput reads what EncodeInput returns.
func DecodeInput(raw []byte) (model.Input, error) {
	var e envelope
	if err := decodeStrict(raw, &e); err != nil {
		return nil, err
	}
	return decodeInput(e)
}

// DecodeOutput reads what EncodeOutput returns.
func DecodeOutput(raw []byte) (model.Output, error) {
	var e envelope
	if err := decodeStrict(raw, &e); err != nil {
		return nil, err
	}
	return decodeOutput(e)
}

func marshal(e envelope, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return json.Marshal(e)
}

func encodeInput(in model.Input) (envelope, error) {
	switch in := in.(type) {
	case model.PeerInput:
		message, err := seal(messageTypes, in.Message, in.Message)
		if err != nil {
			return envelope{}, err
		}
		return seal(inputTypes, in, peerInputForm{From: in.From, Incarnation: in.Incarnation, Message: message})
	case model.ConfigResult:
		return seal(inputTypes, in, configForm{OK: in.OK, Index: in.Index, Raw: in.Raw, HasSet: in.Set != nil})
	case model.PeerConfig:
		return seal(inputTypes, in, configForm{From: in.From, Raw: in.Raw, HasSet: in.Set != nil})
	default:
		return seal(inputTypes, in, in)
	}
}

func encodeOutput(out model.Output) (envelope, error) {
	if out, ok := out.(model.SendPeer); ok {
		message, err := seal(messageTypes, out.Message, out.Message)
		if err != nil {
			return envelope{}, err
		}
		return seal(outputTypes, out, sendPeerForm{To: out.To, Address: out.Address, Message: message})
	}
	return seal(outputTypes, out, out)
}

// seal wraps the form of a value.
func seal(known types, value, form any) (envelope, error) {
	t := reflect.TypeOf(value)
	if t == nil || known[t.Name()] != t {
		return envelope{}, fmt.Errorf("a trace cannot hold %T; add the type to package trace", value)
	}
	raw, err := json.Marshal(form)
	return envelope{Type: t.Name(), Value: raw}, err
}

func decodeInput(e envelope) (model.Input, error) {
	switch e.Type {
	case "PeerInput":
		var form peerInputForm
		if err := decodeStrict(e.Value, &form); err != nil {
			return nil, err
		}
		message, err := unseal[model.PeerMessage](messageTypes, form.Message)
		return model.PeerInput{From: form.From, Incarnation: form.Incarnation, Message: message}, err
	case "ConfigResult":
		form, set, err := decodeConfig(e.Value)
		return model.ConfigResult{OK: form.OK, Index: form.Index, Raw: form.Raw, Set: set}, err
	case "PeerConfig":
		form, set, err := decodeConfig(e.Value)
		return model.PeerConfig{From: form.From, Raw: form.Raw, Set: set}, err
	default:
		return unseal[model.Input](inputTypes, e)
	}
}

func decodeOutput(e envelope) (model.Output, error) {
	if e.Type == "SendPeer" {
		var form sendPeerForm
		if err := decodeStrict(e.Value, &form); err != nil {
			return nil, err
		}
		message, err := unseal[model.PeerMessage](messageTypes, form.Message)
		return model.SendPeer{To: form.To, Address: form.Address, Message: message}, err
	}
	return unseal[model.Output](outputTypes, e)
}

func decodeConfig(raw []byte) (configForm, *objects.Set, error) {
	var form configForm
	if err := decodeStrict(raw, &form); err != nil || !form.HasSet {
		return form, nil, err
	}
	set, findings := objects.Parse(form.Raw)
	if set == nil {
		return form, nil, fmt.Errorf("the recorded set does not pass the check: %v", findings)
	}
	return form, set, nil
}

func unseal[T any](known types, e envelope) (T, error) {
	var none T
	t, ok := known[e.Type]
	if !ok {
		return none, fmt.Errorf("type %q is not known; replay the trace with the release that recorded it", e.Type)
	}
	value := reflect.New(t)
	if err := decodeStrict(e.Value, value.Interface()); err != nil {
		return none, fmt.Errorf("%s: %w", e.Type, err)
	}
	return value.Elem().Interface().(T), nil
}
