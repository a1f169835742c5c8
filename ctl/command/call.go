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
	// defaultSearchDeadline equals the latency target of the design page.
	defaultSearchDeadline  = 140 * time.Millisecond
	defaultBookingDeadline = 2 * time.Second
	// maxPayloadBytes bounds a payload read from a file or standard input.
	maxPayloadBytes = 16 << 20
)

// callFlags are the flags that search and book share.
type callFlags struct {
	instance  string
	route     string
	payload   string
	requestID string
	deadline  time.Duration
	json      bool
}

// register adds the flags to f. payloadFlag is the name of the flag that holds
// the payload: query or booking.
func (c *callFlags) register(f *flag.FlagSet, payloadFlag string, deadline time.Duration) {
	f.StringVar(&c.instance, "instance", "", "IP address and port of an instance")
	f.StringVar(&c.route, "route", "", "name of the route")
	f.StringVar(&c.payload, payloadFlag, "{}", "JSON value, @FILE, or - for standard input")
	f.StringVar(&c.requestID, "request-id", "", "request id; the instance makes one if it is empty")
	f.DurationVar(&c.deadline, "deadline", deadline, "time allowed for the call, with a unit")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// prepare checks the flags and returns a client of the instance and the payload.
// Every error counts as wrong usage, also a payload file that cannot be read.
func (c *callFlags) prepare(f *flag.FlagSet, stdin io.Reader) (*client.Client, json.RawMessage, error) {
	args, err := positionalArgs(f)
	switch {
	case err != nil:
		return nil, nil, err
	case len(args) > 0:
		return nil, nil, fmt.Errorf("unexpected argument %q", args[0])
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

// readPayload resolves the value of the payload flag: JSON text, @FILE, or - for
// standard input.
func readPayload(value string, stdin io.Reader) ([]byte, error) {
	reader := stdin
	if name, ok := strings.CutPrefix(value, "@"); ok {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		reader = file
	} else if value != "-" {
		return []byte(value), nil
	}
	raw, err := io.ReadAll(io.LimitReader(reader, maxPayloadBytes+1))
	if err == nil && len(raw) > maxPayloadBytes {
		err = fmt.Errorf("the payload is larger than %d bytes", maxPayloadBytes)
	}
	return raw, err
}

// failCall prints a failed call to standard output, as a table or as JSON.
// bookingID appears only in the JSON form and may be empty.
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
	t.row(string(callErr.Execution), strings.TrimSpace(callErr.ID+" "+callErr.Kind), orDash(callErr.RequestID), callErr.Message)
	if err := t.flush(); err != nil {
		return env.fail(c, err)
	}
	return subcommands.ExitFailure
}
