package platform

import (
	"errors"
	"fmt"
	"net/netip"
)

// Config configures one process, which serves several endpoints.
type Config struct {
	// Control is the IP address and port of the control endpoint.
	Control string
	// Listen holds the IP addresses and ports of the endpoints. Port 0 selects
	// a free port, here and in Control.
	Listen []string
}

// Validate returns an error for the first invalid setting.
func (c *Config) Validate() error {
	if len(c.Listen) == 0 {
		return errors.New("no endpoint; give at least one address to listen on")
	}
	for _, address := range append([]string{c.Control}, c.Listen...) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("address %q: use an IP address and a port", address)
		}
	}
	return nil
}

// Started holds the addresses that a process listens on. The command prints
// it as one line of JSON.
type Started struct {
	Control   string   `json:"control"`
	Endpoints []string `json:"endpoints"`
}
