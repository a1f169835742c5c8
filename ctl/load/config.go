package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

const (
	// MaxRate is the highest rate of a run, in calls per second. It keeps a
	// mistaken option from overwhelming a tier.
	MaxRate = 20_000.0
	// MaxDuration is the greatest length of a run, for the same reason.
	MaxDuration = 10 * time.Minute
	// maxIDsPerRequest is the largest number of booking ids that a run asks for in
	// one request.
	maxIDsPerRequest = 1000
)

// Config configures a run.
type Config struct {
	// Entries are the base URLs of instances, for example
	// http://127.0.0.1:8080. Each call goes to a random instance.
	Entries []string
	// Rate is the mean number of calls per second.
	Rate     float64
	Duration time.Duration
	// Seed fixes the schedule and the entry of each call.
	Seed     uint64
	Route    string
	Deadline time.Duration
	// Query is the JSON value to search for. It is also sent as the content of
	// each booking.
	Query string
	// BookingShare is the share of calls that are bookings, 0 to 1.
	BookingShare float64
	BookingRoute string
	// MaxInFlight bounds the calls in progress. A call that would exceed it
	// is not sent and counts as dropped.
	MaxInFlight int
	// TargetCounts are the URLs at which the testbed's targets report how
	// often each booking ran. With them, the run checks the answers to the
	// bookings.
	TargetCounts []string
}

// DefaultConfig returns the default settings of the command.
func DefaultConfig() Config {
	return Config{
		Entries:      []string{"http://127.0.0.1:8080"},
		Rate:         50,
		Duration:     10 * time.Second,
		Seed:         1,
		Route:        "rigging-desk",
		Deadline:     140 * time.Millisecond,
		Query:        `{"text":"iroko"}`,
		BookingRoute: "order-desk",
		MaxInFlight:  4096,
	}
}

// Validate returns an error for the first invalid setting.
func (c *Config) Validate() error {
	if len(c.Entries) == 0 {
		return errors.New("no entry; give the base URL of at least one instance")
	}
	for _, list := range [][]string{c.Entries, c.TargetCounts} {
		for _, entry := range list {
			if err := checkURL(entry); err != nil {
				return err
			}
		}
	}
	switch {
	case c.Rate <= 0 || c.Rate > MaxRate:
		return fmt.Errorf("rate %v: use more than 0 and at most %v calls per second", c.Rate, MaxRate)
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return fmt.Errorf("duration %v: use more than 0 and at most %v", c.Duration, MaxDuration)
	case c.Deadline < time.Millisecond:
		return fmt.Errorf("deadline %v: use at least 1ms", c.Deadline)
	case c.BookingShare < 0 || c.BookingShare > 1:
		return fmt.Errorf("booking share %v: use 0 to 1", c.BookingShare)
	case c.MaxInFlight < 1:
		return fmt.Errorf("in-flight limit %d: use at least 1", c.MaxInFlight)
	case !json.Valid([]byte(c.Query)):
		return errors.New("the query is not JSON")
	}
	return nil
}

// checkURL accepts plain HTTP URLs whose host is an IP address.
func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("%q: use a URL such as http://10.0.0.1:8080", text)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return fmt.Errorf("%q: use an IP address; host names are refused", text)
	}
	return nil
}
