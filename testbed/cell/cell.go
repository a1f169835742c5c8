package cell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/testbed/platform"
	"galenadyke.dev/testbed/proc"
	"galenadyke.dev/testbed/target"
	"galenadyke.dev/testbed/units"
)

// Cell is a running deployment. Its methods are called from one goroutine.
type Cell struct {
	Spec Spec
	// Set is the set that was published last.
	Set *objects.Set
	// Config and List are the platform stand-ins.
	Config, List *Platform
	// Targets holds one process for each place.
	Targets map[string]*TargetProcess
	// Instances holds the daemons.
	Instances []*Instance

	generation uint64
}

// Platform is a process of the platform stand-in.
type Platform struct {
	*proc.Process
	started platform.Started
}

// TargetProcess is a process of the target stand-in.
type TargetProcess struct {
	*proc.Process
	control string
	names   []string
}

// Instance is a daemon.
type Instance struct {
	*proc.Process
	ID, Place string
	// Entry is the base URL for callers.
	Entry string

	peer     string // address of the gRPC listener
	settings string // path
	platform int    // endpoint of the platform
}

// settingsFile is the JSON form of a daemon's settings.
type settingsFile struct {
	Instance         string         `json:"instance"`
	Place            string         `json:"place"`
	HTTPListen       string         `json:"http_listen"`
	GRPCListen       string         `json:"grpc_listen"`
	ConfigURL        string         `json:"config_url"`
	ConfigKey        string         `json:"config_key"`
	InstancesURL     string         `json:"instances_url"`
	InstancesService string         `json:"instances_service"`
	Policy           model.Policy   `json:"policy"`
	Seed             uint64         `json:"seed"`
	FixedHedgeDelay  units.Duration `json:"fixed_hedge_delay"`
	BalancerDelay    units.Duration `json:"balancer_delay"`
	StopTimeout      units.Duration `json:"stop_timeout"`
	LogLevel         string         `json:"log_level"`
}

// Start starts all processes, publishes the first set and waits until every
// instance is ready. On an error it ends what it started.
func Start(ctx context.Context, spec Spec) (*Cell, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	spec.network = nextNetwork()
	c := &Cell{Spec: spec, Targets: make(map[string]*TargetProcess)}
	if err := c.start(ctx); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Cell) start(ctx context.Context) error {
	var err error
	endpoints := 1
	if c.Spec.OwnEndpoints {
		endpoints = max(1, c.Spec.Instances)
	}
	if c.Config, err = c.startPlatform("config-service", endpoints); err != nil {
		return err
	}
	if c.List, err = c.startPlatform("instance-list", endpoints); err != nil {
		return err
	}
	byPlace := c.Spec.layout()
	addresses := make(map[string]string)
	for _, place := range c.Spec.Places {
		if len(byPlace[place]) == 0 {
			continue
		}
		if err := c.startTargets(place, byPlace[place], addresses); err != nil {
			return err
		}
	}
	c.Set = c.Spec.set(byPlace, addresses)
	if err := c.Publish(ctx, func(*objects.Set) {}); err != nil {
		return err
	}
	for i := range c.Spec.Instances {
		in, err := c.prepareInstance(i)
		if err != nil {
			return err
		}
		c.Instances = append(c.Instances, in)
	}
	if err := c.PublishInstances(ctx); err != nil {
		return err
	}
	for _, in := range c.Instances {
		if err := c.StartInstance(in); err != nil {
			return err
		}
	}
	return c.AwaitInForce(ctx, startTimeout)
}

func (c *Cell) startPlatform(name string, endpoints int) (*Platform, error) {
	listen := strings.TrimSuffix(strings.Repeat("127.0.0.1:0,", endpoints), ",")
	p, err := proc.Start(c.Spec.Dir, name, filepath.Join(c.Spec.Bin, "testbed-platform"), "-listen", listen)
	if err != nil {
		return nil, err
	}
	pl := &Platform{Process: p}
	return pl, p.ReadJSON(startTimeout, &pl.started)
}

func (c *Cell) startTargets(place string, targets []target.Config, addresses map[string]string) error {
	path := filepath.Join(c.Spec.Dir, "targets-"+place+".json")
	if err := writeJSON(path, target.ProcessConfig{Control: "127.0.0.1:0", Targets: targets}); err != nil {
		return err
	}
	p, err := proc.Start(c.Spec.Dir, "targets-"+place, filepath.Join(c.Spec.Bin, "testbed-target"), "-config", path)
	if err != nil {
		return err
	}
	tp := &TargetProcess{Process: p}
	c.Targets[place] = tp
	var started target.Started
	if err := p.ReadJSON(startTimeout, &started); err != nil {
		return err
	}
	tp.control = "http://" + started.Control
	for _, t := range targets {
		tp.names = append(tp.names, t.Name)
		addresses[t.Name] = started.Targets[t.Name]
	}
	return nil
}

// prepareInstance writes the settings of an instance.
func (c *Cell) prepareInstance(i int) (*Instance, error) {
	host := fmt.Sprintf("127.%d.250.%d", c.Spec.network, i+1)
	ports, err := freeAddresses(host, 2)
	if err != nil {
		return nil, err
	}
	in := &Instance{
		ID: fmt.Sprintf("entry-%d", i+1), Place: c.Spec.Places[i%len(c.Spec.Places)],
		Entry: "http://" + ports[0], peer: ports[1],
	}
	if c.Spec.OwnEndpoints {
		in.platform = i
	}
	in.settings = filepath.Join(c.Spec.Dir, in.ID+".json")
	return in, writeJSON(in.settings, settingsFile{
		Instance: in.ID, Place: in.Place, HTTPListen: ports[0], GRPCListen: in.peer,
		ConfigURL: "http://" + c.Config.started.Endpoints[in.platform], ConfigKey: configKey,
		InstancesURL: "http://" + c.List.started.Endpoints[in.platform], InstancesService: serviceName,
		Policy: c.Spec.Policy, Seed: c.Spec.Seed + uint64(i), FixedHedgeDelay: c.Spec.FixedHedgeDelay,
		BalancerDelay: c.Spec.BalancerDelay, StopTimeout: c.Spec.StopTimeout, LogLevel: c.Spec.LogLevel,
	})
}

// StartInstance starts a daemon, also one that has ended.
func (c *Cell) StartInstance(in *Instance) error {
	p, err := proc.Start(c.Spec.Dir, in.ID, filepath.Join(c.Spec.Bin, "galenadyked"), "run", "--settings", in.settings)
	if err != nil {
		return err
	}
	in.Process = p
	return nil
}

// freeAddresses asks the kernel for free ports of an address.
func freeAddresses(host string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // all stay open until the last is chosen
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func writeJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// Publish publishes the set with the next generation after edit has changed
// it.
func (c *Cell) Publish(ctx context.Context, edit func(*objects.Set)) error {
	edit(c.Set)
	c.generation++
	raw, err := objects.Bundle(c.Set, c.generation)
	if err != nil {
		return err
	}
	set, findings := objects.Parse(raw)
	if len(findings) > 0 {
		return fmt.Errorf("the bundle does not pass the check: %v", findings)
	}
	c.Set.Generation, c.Set.Digest = set.Generation, set.Digest
	return c.PublishRaw(ctx, raw)
}

// PublishRaw publishes bytes that need not be a set.
func (c *Cell) PublishRaw(ctx context.Context, raw []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut,
		"http://"+c.Config.started.Control+"/v1/publish/"+configKey, strings.NewReader(string(raw)))
	if err != nil {
		return err
	}
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("publish: status %d", answer.StatusCode)
	}
	return nil
}

// PublishStepsInForce publishes the set with n steps of its order in force.
func (c *Cell) PublishStepsInForce(ctx context.Context, n int) error {
	return c.Publish(ctx, func(s *objects.Set) { s.Orders[0].InForce = n })
}

// PublishInstances puts all instances that are not marked as leaving on the
// platform's list, and those as leaving.
func (c *Cell) PublishInstances(ctx context.Context, leaving ...*Instance) error {
	list := make([]platform.Instance, 0, len(c.Instances))
	for _, in := range c.Instances {
		entry := platform.Instance{ID: in.ID, Address: in.peer, Place: in.Place}
		for _, l := range leaving {
			entry.Leaving = entry.Leaving || l == in
		}
		list = append(list, entry)
	}
	return call(ctx, http.MethodPut, "http://"+c.List.started.Control+"/v1/instances/"+serviceName, "", list, nil)
}

// SetFaults sets the faults of a platform stand-in, at all its endpoints if
// none is named.
func (p *Platform) SetFaults(ctx context.Context, f platform.Faults, endpoints ...int) error {
	request := platform.FaultsRequest{Endpoints: endpoints, Faults: f}
	return call(ctx, http.MethodPut, "http://"+p.started.Control+"/v1/faults", "", request, nil)
}

// Reads returns the number of reads at all endpoints.
func (p *Platform) Reads(ctx context.Context) (int, error) {
	var all platform.AllCounts
	err := call(ctx, http.MethodGet, "http://"+p.started.Control+"/v1/counts", "", nil, &all)
	reads := 0
	for _, e := range all.Endpoints {
		reads += e.KV + e.Health
	}
	return reads, err
}

// Entries returns the base URLs of the running instances.
func (c *Cell) Entries() []string {
	var entries []string
	for _, in := range c.Instances {
		if in.Process != nil && in.Running() {
			entries = append(entries, in.Entry)
		}
	}
	return entries
}

// Status reads the status of an instance.
func (in *Instance) Status(ctx context.Context) (Status, error) {
	var s Status
	err := call(ctx, http.MethodGet, in.Entry+"/v1/status", "", nil, &s)
	return s, err
}

// AwaitInForce waits until every running instance is ready with the set that
// was published last.
func (c *Cell) AwaitInForce(ctx context.Context, timeout time.Duration) error {
	return Await(ctx, timeout, func() error {
		for _, in := range c.Instances {
			if !in.Running() {
				continue
			}
			s, err := in.Status(ctx)
			switch {
			case err != nil:
				return fmt.Errorf("%s: %w", in.ID, err)
			case !s.Ready:
				return fmt.Errorf("%s is not ready: %s", in.ID, s.Reason)
			case s.Digest != c.Set.Digest:
				return fmt.Errorf("%s has generation %d in force, want %d", in.ID, s.Generation, c.Set.Generation)
			}
		}
		return nil
	})
}

// AwaitComplete waits until every running instance answers a search with full
// coverage. A new instance finds its targets by probes, so that its first
// answers may be partial.
func (c *Cell) AwaitComplete(ctx context.Context, timeout time.Duration) error {
	const budget = 500 * time.Millisecond
	return Await(ctx, timeout, func() error {
		for _, entry := range c.Entries() {
			answer, err := Search(ctx, entry, "", "{}", budget)
			switch {
			case err != nil:
				return err
			case answer.Error != nil:
				return answer.Error
			case answer.Coverage.Fraction != 1:
				return fmt.Errorf("%s misses %v", entry, answer.Coverage.Missing)
			}
		}
		return nil
	})
}

// Await polls check until it returns nil. The error is the last one of check.
func Await(ctx context.Context, timeout time.Duration, check func() error) error {
	// pollInterval is short against the times that are waited for.
	const pollInterval = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not reached within %v: %w", timeout, err)
		case <-time.After(pollInterval):
		}
	}
}

// Counts returns the counts of all targets, by name.
func (c *Cell) Counts(ctx context.Context) (map[string]target.Counts, error) {
	counts := make(map[string]target.Counts)
	for _, tp := range c.Targets {
		var all target.AllCounts
		if err := call(ctx, http.MethodGet, tp.control+"/v1/counts", "", nil, &all); err != nil {
			return nil, err
		}
		for _, one := range all.Targets {
			counts[one.Name] = one
		}
	}
	return counts, nil
}

// CountURLs returns the addresses at which the targets' counts can be read.
func (c *Cell) CountURLs() []string {
	var urls []string
	for _, place := range c.Spec.Places {
		if tp := c.Targets[place]; tp != nil {
			urls = append(urls, tp.control+"/v1/counts")
		}
	}
	return urls
}

// Mark starts a new counter for the requests that arrive from now on.
func (c *Cell) Mark(ctx context.Context, label string) error {
	return c.eachTargetProcess(func(tp *TargetProcess) error {
		return call(ctx, http.MethodPost, tp.control+"/v1/mark", "", target.MarkRequest{Label: label}, nil)
	})
}

// ResetCounts starts all counts at zero.
func (c *Cell) ResetCounts(ctx context.Context) error {
	return c.eachTargetProcess(func(tp *TargetProcess) error {
		return call(ctx, http.MethodPost, tp.control+"/v1/reset", "", nil, nil)
	})
}

// Change changes the named targets, or all if none is named.
func (c *Cell) Change(ctx context.Context, change target.Change) error {
	wanted := change.Targets
	return c.eachTargetProcess(func(tp *TargetProcess) error {
		change.Targets = nil
		for _, name := range tp.names {
			for _, w := range wanted {
				if name == w {
					change.Targets = append(change.Targets, name)
				}
			}
		}
		if len(wanted) > 0 && len(change.Targets) == 0 {
			return nil
		}
		return call(ctx, http.MethodPost, tp.control+"/v1/change", "", change, nil)
	})
}

// TargetsIn returns the names of the targets in a data centre.
func (c *Cell) TargetsIn(place string) []string { return slices.Clone(c.Targets[place].names) }

func (c *Cell) eachTargetProcess(f func(*TargetProcess) error) error {
	for _, place := range c.Spec.Places {
		if tp := c.Targets[place]; tp != nil {
			if err := f(tp); err != nil {
				return err
			}
		}
	}
	return nil
}

// Stop stops the instances and then the stand-ins by SIGTERM. The error tells
// which did not stop gracefully.
func (c *Cell) Stop() error {
	// The margin covers the end of the process after its own bound.
	timeout := c.Spec.StopTimeout.D() + 2*time.Second
	errs := make([]error, len(c.Instances))
	var all sync.WaitGroup
	for i, in := range c.Instances {
		if in.Process != nil && in.Running() {
			all.Go(func() { errs[i] = in.Stop(timeout) })
		}
	}
	all.Wait()
	for _, p := range c.standIns() {
		if p.Running() {
			errs = append(errs, p.Stop(5*time.Second))
		}
	}
	return errors.Join(errs...)
}

func (c *Cell) standIns() []*proc.Process {
	var all []*proc.Process
	for _, tp := range c.Targets {
		all = append(all, tp.Process)
	}
	for _, p := range []*Platform{c.Config, c.List} {
		if p != nil {
			all = append(all, p.Process)
		}
	}
	return all
}

// Kill ends all processes at once.
func (c *Cell) Kill() {
	for _, in := range c.Instances {
		if in.Process != nil {
			in.Kill()
		}
	}
	for _, p := range c.standIns() {
		p.Kill()
	}
}
