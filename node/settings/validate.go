package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"galenadyke.dev/core/model"
)

// Bounds of the settings.
const (
	maxDuration  = 10 * time.Minute // longest value of any duration setting
	minTraceRing = 0                // smallest trace_ring, in inputs
	maxTraceRing = 1 << 20          // largest trace_ring, in inputs
)

// namePattern matches names that need no quoting in a booking id, a URL or a
// log line.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Finding is one fault of the settings. Field is the JSON name of the setting,
// empty for a fault of the whole file.
type Finding struct {
	Field   string `json:"field"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns "field: message; remedy", without "field: " if Field is empty.
func (f Finding) String() string {
	if f.Field == "" {
		return f.Message + "; " + f.Remedy
	}
	return f.Field + ": " + f.Message + "; " + f.Remedy
}

// checker collects findings. Each check method adds a finding if the value is not valid.
type checker struct{ findings []Finding }

func (c *checker) report(field, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{Field: field, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// Validate returns the faults of all settings, none if they are valid.
func (s Settings) Validate() []Finding {
	c := &checker{}
	c.checkName("instance", s.Instance)
	c.checkName("place", s.Place)
	httpAddr := c.checkAddress("http_listen", s.HTTPListen)
	grpcAddr := c.checkAddress("grpc_listen", s.GRPCListen)
	if grpcAddr.IsValid() && grpcAddr.Addr().IsUnspecified() {
		c.report("grpc_listen", "give the address at which other instances reach this one", "%q is an unspecified address", s.GRPCListen)
	}
	if httpAddr.IsValid() && httpAddr == grpcAddr {
		c.report("grpc_listen", "use another port", "is the same as http_listen")
	}
	c.checkBaseURL("config_url", s.ConfigURL)
	c.checkNotEmpty("config_key", s.ConfigKey)
	c.checkBaseURL("instances_url", s.InstancesURL)
	c.checkNotEmpty("instances_service", s.InstancesService)
	c.checkOneOf("policy", string(s.Policy), string(model.PolicyFull), string(model.PolicyNaive),
		string(model.PolicyFixedHedge), string(model.PolicyNoSharing))
	c.checkNotNegative("memory_mb", float64(s.MemoryMB))
	c.checkPositive("max_connections", s.MaxConnections)
	c.checkDuration("fixed_hedge_delay", s.FixedHedgeDelay, 0)
	if s.Policy == model.PolicyFixedHedge && s.FixedHedgeDelay == 0 {
		c.report("fixed_hedge_delay", "give the delay of the baseline, for example 10ms", "is 0 with the policy %q", s.Policy)
	}
	c.checkDuration("balancer_delay", s.BalancerDelay, 0)
	c.checkDuration("stop_timeout", s.StopTimeout, time.Millisecond)
	if s.StopTimeout <= s.BalancerDelay {
		c.report("stop_timeout", "make it longer than balancer_delay", "%v is not longer than balancer_delay (%v)",
			time.Duration(s.StopTimeout), time.Duration(s.BalancerDelay))
	}
	c.checkOneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	s.validateSpans(c)
	if s.TraceRing < minTraceRing || s.TraceRing > maxTraceRing {
		c.report("trace_ring", fmt.Sprintf("use %d to %d; 0 records nothing", minTraceRing, maxTraceRing), "%d is out of range", s.TraceRing)
	}
	return c.findings
}

func (c *checker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.report(field, "use 1 to 63 letters, digits, dots, dashes or underscores, starting with a letter or digit", "%q is not a name", value)
	}
}

func (c *checker) checkNotEmpty(field, value string) {
	if value == "" {
		c.report(field, "give a value", "is empty")
	}
}

// checkAddress returns an IP address with a port above 0, or the zero AddrPort
// after a finding.
func (c *checker) checkAddress(field, value string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.report(field, "give an IP address and a port, for example 10.0.0.1:8080; host names are refused", "%q is not an address", value)
		return netip.AddrPort{}
	}
	if addr.Port() == 0 {
		c.report(field, "give a port above 0", "%q has no fixed port", value)
		return netip.AddrPort{}
	}
	return addr
}

// checkBaseURL checks an HTTP or HTTPS URL with an IP address as its host and
// without query, fragment and user.
func (c *checker) checkBaseURL(field, value string) {
	const remedy = "give a URL such as http://10.0.0.1:8500 with an IP address as host; host names are refused"
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.report(field, remedy, "%q is not a base URL", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.report(field, remedy, "host %q is not an IP address", u.Hostname())
	}
	if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		c.report(field, remedy, "%q has more than a scheme, host and path", value)
	}
}

func (c *checker) checkOneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.report(field, fmt.Sprintf("use one of %q", allowed), "%q is not known", value)
}

func (c *checker) checkDuration(field string, value Duration, minimum time.Duration) {
	if d := time.Duration(value); d < minimum || d > maxDuration {
		c.report(field, fmt.Sprintf("use %v to %v", minimum, maxDuration), "%v is out of range", d)
	}
}
