package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"galenadyke.dev/core/model"
)

// Exporter is the destination of spans.
type Exporter string

// The span exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStderr Exporter = "stderr"
	ExporterFile   Exporter = "file"
)

// Spans holds the settings of the span export. Both kinds of daemon have them.
type Spans struct {
	// SpanExporter is none, stderr or file. SpanFile is the path for the exporter
	// file; the other exporters ignore it.
	SpanExporter Exporter `json:"span_exporter"`
	SpanFile     string   `json:"span_file"`
}

func (s Spans) validateSpans(c *checker) {
	c.checkOneOf("span_exporter", string(s.SpanExporter), string(ExporterNone), string(ExporterStderr), string(ExporterFile))
	if s.SpanExporter == ExporterFile {
		c.checkNotEmpty("span_file", s.SpanFile)
	}
}

// Duration is a time.Duration that JSON represents as a string with a unit.
type Duration time.Duration

// MarshalJSON writes d in the form of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string with a unit, for example "6ms". Other values are
// errors.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("a duration is a string with a unit")
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration", text)
	}
	*d = Duration(value)
	return nil
}

// Settings holds the settings of galenadyked run. They do not change while the
// process runs.
type Settings struct {
	// Instance is the unique id of this instance.
	Instance string `json:"instance"`
	// Place is the data centre that the process runs in.
	Place string `json:"place"`
	// HTTPListen is the IP address and port for callers.
	HTTPListen string `json:"http_listen"`
	// GRPCListen is the IP address and port for other instances, which reach
	// this instance at exactly this address.
	GRPCListen string `json:"grpc_listen"`
	// ConfigURL and ConfigKey locate the published set in the configuration
	// service.
	ConfigURL string `json:"config_url"`
	ConfigKey string `json:"config_key"`
	// InstancesURL and InstancesService locate the platform's instance list.
	InstancesURL     string `json:"instances_url"`
	InstancesService string `json:"instances_service"`
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes; 0 sets no
	// limit. MaxConnections bounds the connections that callers may have open. They also take at
	// most half of the descriptors of the process.
	MemoryMB       int `json:"memory_mb"`
	MaxConnections int `json:"max_connections"`
	// Policy is "full", or the name of a baseline policy for measurements.
	Policy model.Policy `json:"policy"`
	// Seed is the seed of the core's random number generators; 0 takes a seed
	// from crypto/rand.
	Seed uint64 `json:"seed"`
	// FixedHedgeDelay is the delay before a hedge under the policy "fixed-hedge";
	// the other policies ignore it.
	FixedHedgeDelay Duration `json:"fixed_hedge_delay"`
	// BalancerDelay is how long a stopping instance keeps serving while the
	// balancer removes it from rotation.
	BalancerDelay Duration `json:"balancer_delay"`
	// StopTimeout is the maximum duration of a graceful stop.
	StopTimeout Duration `json:"stop_timeout"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	Spans
	// TraceRing is the maximum number of recorded inputs that GET /v1/trace
	// returns; 0 records nothing.
	TraceRing int `json:"trace_ring"`
}

// Defaults returns the default settings. Instance, Place and SpanFile are empty: the first
// two have no default, and the default exporter needs no file.
func Defaults() Settings {
	return Settings{
		HTTPListen:       "127.0.0.1:8080",
		GRPCListen:       "127.0.0.1:8081",
		ConfigURL:        "http://127.0.0.1:8500",
		ConfigKey:        "galenadyke/set",
		InstancesURL:     "http://127.0.0.1:8500",
		InstancesService: "galenadyke",
		Policy:           model.PolicyFull,
		FixedHedgeDelay:  Duration(10 * time.Millisecond),
		BalancerDelay:    Duration(3 * time.Second),
		StopTimeout:      Duration(20 * time.Second),
		MemoryMB:         256,
		MaxConnections:   DefaultMaxConnections,
		LogLevel:         "info",
		Spans:            Spans{SpanExporter: ExporterNone},
		TraceRing:        4096,
	}
}

// Load reads and checks a settings file. The settings are valid only if there
// are no findings.
func Load(path string) (Settings, []Finding) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []Finding{{
			Message: err.Error(),
			Remedy:  "name a readable file; `galenadyked settings` prints one to start from",
		}}
	}
	return Parse(raw)
}

// Parse reads and checks settings in JSON. Missing fields keep their defaults.
// The settings are valid only if there are no findings.
func Parse(raw []byte) (Settings, []Finding) {
	s := Defaults()
	findings := decode(raw, s.fields())
	return s, mergeFindings(findings, s.Validate())
}

// mergeFindings appends the findings of Validate to those of decode, except for
// fields that could not be decoded.
func mergeFindings(findings, validated []Finding) []Finding {
	undecoded := make(map[string]bool, len(findings))
	for _, f := range findings {
		undecoded[f.Field] = true
	}
	for _, f := range validated {
		if !undecoded[f.Field] {
			findings = append(findings, f)
		}
	}
	return findings
}

// JSON returns the settings as an indented JSON document.
func (s Settings) JSON() []byte {
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err) // cannot fail: the struct has plain fields only
	}
	return append(raw, '\n')
}

// CoreConfig returns the configuration of the decision core. seed is used instead of
// s.Seed, which may be 0.
func (s Settings) CoreConfig(incarnation model.Incarnation, seed uint64) model.CoreConfig {
	return model.CoreConfig{
		Self:            model.InstanceID(s.Instance),
		Incarnation:     incarnation,
		Address:         s.GRPCListen,
		Place:           model.PlaceID(s.Place),
		Seed:            seed,
		Policy:          s.Policy,
		FixedHedgeDelay: time.Duration(s.FixedHedgeDelay),
		BalancerDelay:   time.Duration(s.BalancerDelay),
		StopTimeout:     time.Duration(s.StopTimeout),
	}
}

// fields maps the JSON names to pointers to the fields.
func (s *Settings) fields() map[string]any {
	return map[string]any{
		"instance": &s.Instance, "place": &s.Place,
		"http_listen": &s.HTTPListen, "grpc_listen": &s.GRPCListen,
		"config_url": &s.ConfigURL, "config_key": &s.ConfigKey,
		"instances_url": &s.InstancesURL, "instances_service": &s.InstancesService,
		"memory_mb": &s.MemoryMB, "max_connections": &s.MaxConnections,
		"policy": &s.Policy, "seed": &s.Seed, "fixed_hedge_delay": &s.FixedHedgeDelay,
		"balancer_delay": &s.BalancerDelay, "stop_timeout": &s.StopTimeout,
		"log_level": &s.LogLevel, "span_exporter": &s.SpanExporter, "span_file": &s.SpanFile,
		"trace_ring": &s.TraceRing,
	}
}

// decode reads one JSON object into fields. It reads field by field, so that it
// reports the faults of all fields and not only the first.
func decode(raw []byte, fields map[string]any) []Finding {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if delimiter, err := dec.Token(); err != nil || delimiter != json.Delim('{') {
		return []Finding{notAnObject(err)}
	}
	var findings []Finding
	seen := make(map[string]bool, len(fields))
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return append(findings, notAnObject(err))
		}
		name, _ := key.(string)
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return append(findings, notAnObject(err))
		}
		if f := decodeField(fields, seen, name, value); f != nil {
			findings = append(findings, *f)
		}
	}
	if _, err := dec.Token(); err != nil {
		return append(findings, notAnObject(err))
	}
	if dec.More() {
		findings = append(findings, Finding{Message: "the file has data after the settings", Remedy: "keep one JSON object in the file"})
	}
	return findings
}

// decodeField reads the value of a setting. It returns nil if the value could be
// read. seen holds the names read so far, to which decodeField adds name.
func decodeField(fields map[string]any, seen map[string]bool, name string, value json.RawMessage) *Finding {
	target, known := fields[name]
	switch {
	case !known:
		return &Finding{Field: name, Message: "is not a setting", Remedy: "remove it; `galenadyked settings` prints all settings"}
	case seen[name]:
		return &Finding{Field: name, Message: "is given twice", Remedy: "keep one of the two"}
	}
	seen[name] = true
	if string(value) == "null" {
		return &Finding{Field: name, Message: "is null", Remedy: "give a value, or leave the field out for its default"}
	}
	if err := json.Unmarshal(value, target); err != nil {
		return &Finding{Field: name, Message: err.Error(), Remedy: "use the form that `galenadyked settings` prints"}
	}
	return nil
}

// notAnObject returns the finding for a file that is not a single JSON object.
// err may be nil.
func notAnObject(err error) Finding {
	message := "the file is not a single JSON object"
	if err != nil {
		message += ": " + err.Error()
	}
	return Finding{Message: message, Remedy: "start from the output of `galenadyked settings`"}
}
