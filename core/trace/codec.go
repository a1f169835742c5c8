package trace

import (
	"encoding/json"
	"fmt"
	"reflect"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// envelope is the JSON form of a value together with the name of its type.
type envelope struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// typeRegistry maps the names that a trace uses for types to the types.
type typeRegistry map[string]reflect.Type

// newTypeRegistry returns a registry of the types of the given values.
func newTypeRegistry[T any](examples ...T) typeRegistry {
	registry := make(typeRegistry, len(examples))
	for _, e := range examples {
		registry[reflect.TypeOf(e).Name()] = reflect.TypeOf(e)
	}
	return registry
}

var (
	inputTypes = newTypeRegistry[model.Input](
		model.SearchCall{}, model.BookCall{}, model.IssueBookingIDs{}, model.CancelCall{},
		model.TargetReply{}, model.ProbeReply{}, model.PeerInput{}, model.PeerDown{},
		model.ConfigResult{}, model.PeerConfig{}, model.InstanceList{}, model.StatusCall{},
		model.Shutdown{})
	outputTypes = newTypeRegistry[model.Output](
		model.SendTarget{}, model.CancelTarget{}, model.ProbeTarget{}, model.SendPeer{},
		model.ReadConfig{}, model.SearchAnswer{}, model.BookAnswer{}, model.BookingIDs{},
		model.Ready{}, model.Event{}, model.Status{}, model.Stopped{})
	messageTypes = newTypeRegistry[model.PeerMessage](
		model.Exchange{}, model.PingRequest{}, model.PingReply{}, model.ConfigAnnounce{},
		model.ConfigFetch{}, model.ConfigSet{}, model.LeadRelease{}, model.RelayRequest{},
		model.RelayReply{}, model.RelayCancel{}, model.BookForward{}, model.BookOutcome{},
		model.BookingHandover{})
)

// JSON forms of the inputs and outputs that encoding/json cannot restore by itself,
// because they hold a peer message or a configuration set.
type (
	peerInputJSON struct {
		From        model.InstanceID
		Incarnation model.Incarnation
		Message     envelope
	}
	sendPeerJSON struct {
		To      model.InstanceID
		Address string
		Message envelope
	}
	// configJSON is the form of ConfigResult and PeerConfig. HasSet is true if the
	// value holds a set, that is, if Raw passed validation.
	configJSON struct {
		From   model.InstanceID `json:",omitempty"`
		OK     bool             `json:",omitempty"`
		Index  uint64           `json:",omitempty"`
		Raw    []byte
		HasSet bool
	}
)

// EncodeInput returns an input as JSON, together with the name of its type. It
// returns an error if this type, or that of the peer message in it, is not
// registered.
func EncodeInput(in model.Input) ([]byte, error) { return marshalEnvelope(encodeInput(in)) }

// EncodeOutput returns an output as JSON, together with the name of its type. It
// returns an error if this type, or that of the peer message in it, is not
// registered.
func EncodeOutput(out model.Output) ([]byte, error) { return marshalEnvelope(encodeOutput(out)) }

// DecodeInput decodes what EncodeInput returns. It returns an error for unknown types
// and fields, and for a configuration set that fails validation.
func DecodeInput(raw []byte) (model.Input, error) {
	var e envelope
	if err := decodeStrict(raw, &e); err != nil {
		return nil, err
	}
	return decodeInput(e)
}

// DecodeOutput decodes what EncodeOutput returns. It returns an error for unknown
// types and fields.
func DecodeOutput(raw []byte) (model.Output, error) {
	var e envelope
	if err := decodeStrict(raw, &e); err != nil {
		return nil, err
	}
	return decodeOutput(e)
}

func marshalEnvelope(e envelope, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return json.Marshal(e)
}

func encodeInput(in model.Input) (envelope, error) {
	switch in := in.(type) {
	case model.PeerInput:
		message, err := newEnvelope(messageTypes, in.Message, in.Message)
		if err != nil {
			return envelope{}, err
		}
		return newEnvelope(inputTypes, in, peerInputJSON{From: in.From, Incarnation: in.Incarnation, Message: message})
	case model.ConfigResult:
		return newEnvelope(inputTypes, in, configJSON{OK: in.OK, Index: in.Index, Raw: in.Raw, HasSet: in.Set != nil})
	case model.PeerConfig:
		return newEnvelope(inputTypes, in, configJSON{From: in.From, Raw: in.Raw, HasSet: in.Set != nil})
	default:
		return newEnvelope(inputTypes, in, in)
	}
}

func encodeOutput(out model.Output) (envelope, error) {
	if out, ok := out.(model.SendPeer); ok {
		message, err := newEnvelope(messageTypes, out.Message, out.Message)
		if err != nil {
			return envelope{}, err
		}
		return newEnvelope(outputTypes, out, sendPeerJSON{To: out.To, Address: out.Address, Message: message})
	}
	return newEnvelope(outputTypes, out, out)
}

// newEnvelope returns an envelope with the type of value and the JSON encoding of
// jsonValue. It returns an error if the type is not in the registry.
func newEnvelope(registry typeRegistry, value, jsonValue any) (envelope, error) {
	valueType := reflect.TypeOf(value)
	if valueType == nil || registry[valueType.Name()] != valueType {
		return envelope{}, fmt.Errorf("type %T cannot be recorded; register it in package trace", value)
	}
	raw, err := json.Marshal(jsonValue)
	return envelope{Type: valueType.Name(), Value: raw}, err
}

func decodeInput(e envelope) (model.Input, error) {
	switch e.Type {
	case "PeerInput":
		var payload peerInputJSON
		if err := decodeStrict(e.Value, &payload); err != nil {
			return nil, err
		}
		message, err := decodeEnvelope[model.PeerMessage](messageTypes, payload.Message)
		return model.PeerInput{From: payload.From, Incarnation: payload.Incarnation, Message: message}, err
	case "ConfigResult":
		payload, set, err := decodeConfig(e.Value)
		return model.ConfigResult{OK: payload.OK, Index: payload.Index, Raw: payload.Raw, Set: set}, err
	case "PeerConfig":
		payload, set, err := decodeConfig(e.Value)
		return model.PeerConfig{From: payload.From, Raw: payload.Raw, Set: set}, err
	default:
		return decodeEnvelope[model.Input](inputTypes, e)
	}
}

func decodeOutput(e envelope) (model.Output, error) {
	if e.Type == "SendPeer" {
		var payload sendPeerJSON
		if err := decodeStrict(e.Value, &payload); err != nil {
			return nil, err
		}
		message, err := decodeEnvelope[model.PeerMessage](messageTypes, payload.Message)
		return model.SendPeer{To: payload.To, Address: payload.Address, Message: message}, err
	}
	return decodeEnvelope[model.Output](outputTypes, e)
}

func decodeConfig(raw []byte) (configJSON, *objects.Set, error) {
	var payload configJSON
	if err := decodeStrict(raw, &payload); err != nil || !payload.HasSet {
		return payload, nil, err
	}
	set, findings := objects.Parse(payload.Raw)
	if set == nil {
		return payload, nil, fmt.Errorf("the recorded set fails validation: %v", findings)
	}
	return payload, set, nil
}

func decodeEnvelope[T any](registry typeRegistry, e envelope) (T, error) {
	var none T
	valueType, ok := registry[e.Type]
	if !ok {
		return none, fmt.Errorf("unknown type %q; replay the trace with the release that recorded it", e.Type)
	}
	value := reflect.New(valueType)
	if err := decodeStrict(e.Value, value.Interface()); err != nil {
		return none, fmt.Errorf("%s: %w", e.Type, err)
	}
	return value.Elem().Interface().(T), nil
}
