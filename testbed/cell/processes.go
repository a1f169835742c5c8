package cell

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"galenadyke.dev/ctl/client"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/testbed/proc"
	"galenadyke.dev/testbed/target"
)

func (c *Cell) startPlatform(name string, endpoints int) (*Platform, error) {
	listen := strings.TrimSuffix(strings.Repeat("127.0.0.1:0,", endpoints), ",")
	p, err := proc.Start(c.Spec.Dir, name, filepath.Join(c.Spec.Bin, "testbed-platform"), "-listen", listen)
	if err != nil {
		return nil, err
	}
	platform := &Platform{Process: p}
	return platform, p.ReadJSON(startTimeout, &platform.started)
}

// startTargets starts the target process of a place and adds the address of each
// of its targets to addresses, by target name.
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
	tp.controlURL = "http://" + started.Control
	for _, t := range targets {
		tp.names = append(tp.names, t.Name)
		addresses[t.Name] = started.Targets[t.Name]
	}
	return nil
}

// prepareInstance writes the settings file of the instance with index i without
// starting it.
func (c *Cell) prepareInstance(i int) (*Instance, error) {
	host := fmt.Sprintf("127.%d.250.%d", c.Spec.networkOctet, i+1)
	listen, err := freeAddresses(host, 2)
	if err != nil {
		return nil, err
	}
	caller, err := client.New(listen[0])
	if err != nil {
		return nil, err
	}
	in := &Instance{
		ID: fmt.Sprintf("entry-%d", i+1), Place: c.Spec.Places[i%len(c.Spec.Places)],
		Entry: "http://" + listen[0], peerAddress: listen[1], caller: caller,
	}
	if c.Spec.OwnEndpoints {
		in.platformEndpoint = i
	}
	in.settingsPath = filepath.Join(c.Spec.Dir, in.ID+".json")
	file := settings.Defaults()
	file.Instance, file.Place = in.ID, in.Place
	file.HTTPListen, file.GRPCListen = listen[0], in.peerAddress
	file.ConfigURL, file.ConfigKey = "http://"+c.ConfigService.started.Endpoints[in.platformEndpoint], configKey
	file.InstancesURL, file.InstancesService = "http://"+c.InstanceList.started.Endpoints[in.platformEndpoint], serviceName
	file.Policy, file.Seed = c.Spec.Policy, c.Spec.Seed+uint64(i)
	file.FixedHedgeDelay = settings.Duration(c.Spec.FixedHedgeDelay)
	file.BalancerDelay = settings.Duration(c.Spec.BalancerDelay)
	file.StopTimeout = settings.Duration(c.Spec.StopTimeout)
	file.LogLevel = c.Spec.LogLevel
	return in, writeJSON(in.settingsPath, file)
}

// StartInstance starts the process of an instance. An earlier process of the
// instance must have ended.
func (c *Cell) StartInstance(in *Instance) error {
	p, err := proc.Start(c.Spec.Dir, in.ID, filepath.Join(c.Spec.Bin, "galenadyked"), "run", "--settings", in.settingsPath)
	if err != nil {
		return err
	}
	in.Process = p
	return nil
}

// freeAddresses returns n addresses of the host with free ports that the kernel
// has assigned. Nothing listens on them when it returns.
func freeAddresses(host string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // closed only after the last call of Listen, so that all ports differ
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
