package command

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"galenadyke.dev/ctl/client"
	"github.com/google/subcommands"
)

const (
	// defaultSearchDeadline is the latency target of the design page.
	defaultSearchDeadline  = 140 * time.Millisecond
	defaultBookingDeadline = 2 * time.Second
	// maxPayloadBytes bounds a body that is read from a file.
	maxPayloadBytes = 16 << 20
)

// callFlags are the flags of commands that call an instance.
type callFlags struct {
	instance  string
	route     string
	payload   string
	requestID string
	deadline  time.Duration
	json      bool
}

// register adds the flags. The payload flag has the name of what it carries.
func (c *callFlags) register(f *flag.FlagSet, payload string, deadline time.Duration) {
	f.StringVar(&c.instance, "instance", "", "IP address and port of an instance")
	f.StringVar(&c.route, "route", "", "name of the route")
	f.StringVar(&c.payload, payload, "{}", "JSON value, @FILE, or - for standard input")
	f.StringVar(&c.requestID, "request-id", "", "request id; the instance makes one if it is empty")
	f.DurationVar(&c.deadline, "deadline", deadline, "time allowed for the call, with a unit")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// open checks the flags and returns a client and the payload. Its error is
// one of usage.
func (c *callFlags) open(f *flag.FlagSet, stdin io.Reader) (*client.Client, json.RawMessage, error) {
	rest, err := positional(f)
	switch {
	case err != nil:
		return nil, nil, err
	case len(rest) > 0:
		return nil, nil, fmt.Errorf("unexpected argument %q", rest[0])
	case c.route == "":
		return nil, nil, errors.New("name the route with --route")
	case c.deadline < time.Millisecond:
		return nil, nil, errors.New("give a --deadline of at least 1ms")
	}
	payload, err := readPayload(c.payload, stdin)
	if err != nil {
		return nil, nil, err
	}
	if !json.Valid(payload) {
		return nil, nil, errors.New("the payload is not one valid JSON value")
	}
	cl, err := client.New(c.instance)
	if err != nil {
		return nil, nil, fmt.Errorf("--instance: %w", err)
	}
	return cl, payload, nil
}

func readPayload(payload string, stdin io.Reader) ([]byte, error) {
	from := stdin
	if name, ok := strings.CutPrefix(payload, "@"); ok {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		from = file
	} else if payload != "-" {
		return []byte(payload), nil
	}
	raw, err := io.ReadAll(io.LimitReader(from, maxPayloadBytes+1))
	if err == nil && len(raw) > maxPayloadBytes {
		err = fmt.Errorf("the payload is larger than %d bytes", maxPayloadBytes)
	}
	return raw, err
}

// failCall prints the error of a call.
func (env Environment) failCall(c subcommands.Command, err error, asJSON bool, bookingID string) subcommands.ExitStatus {
	var callErr *client.Error
	if !errors.As(err, &callErr) {
		return env.fail(c, err)
	}
	if asJSON {
		if err := env.printJSON(struct {
			BookingID string        `json:"booking_id,omitempty"`
			Error     *client.Error `json:"error"`
		}{bookingID, callErr}); err != nil {
			return env.fail(c, err)
		}
		return subcommands.ExitFailure
	}
	t := newTable(env.Stdout, "EXECUTION", "ERROR", "REQUEST", "MESSAGE")
	t.row(string(callErr.Execution), strings.TrimSpace(callErr.ID+" "+callErr.Kind), dash(callErr.RequestID), callErr.Message)
	if err := t.flush(); err != nil {
		return env.fail(c, err)
	}
	return subcommands.ExitFailure
}
