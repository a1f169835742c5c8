package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"galenadyke.dev/node/settings"
	"galenadyke.dev/platform/platformtest"
	"galenadyke.dev/testbed/proc"
)

const (
	shards           = 6
	replicasPerShard = 2
	// plainServices is the number of services plain0, plain1, ... Each
	// configuration leads the plain route, /once/, to the next of them.
	plainServices          = 4
	serversPerPlainService = 2
	topK                   = 5
	minCoverage            = 0.6
	host                   = "soak.example"
	// The stated times after which a server receives no more requests: drainBound
	// if it drains, evacuateBound if its data centre is evacuated, configBound if
	// a new configuration has no route to it.
	drainBound    = 3 * time.Second
	evacuateBound = 5 * time.Second
	configBound   = 3 * time.Second
	// memoryMB is the setting memory_mb of the instances, the memory of the smallest
	// machines of the users.
	memoryMB = 184
	// stopBound is the stated time in which a graceful stop must end.
	stopBound = 6 * time.Second
)

// server is a stand-in server behind its proxy.
type server struct {
	*platformtest.Server
	proxy *proxy

	mu    sync.Mutex // guards the fields below
	seq   int        // sequence number of the latest announcement
	state string     // of the latest announcement
	// ends are the ends of the server's process. down is set until its next start.
	ends []time.Time
	down bool
}

// instance is one gateway process.
type instance struct {
	name, ip, settingsPath string
	store                  *proxy // between instance and store

	mu   sync.Mutex // guards the fields below
	proc *proc.Process
	// incarnation counts the starts of the process.
	incarnation int
	// killed reports whether kill has ended the current process, stopping
	// whether checkGracefulStop is stopping the instance.
	killed, stopping bool
}

func (i *instance) setStopping(stopping bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopping = stopping
}

func (i *instance) isStopping() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stopping
}

// kill ends the process with SIGKILL.
func (i *instance) kill() {
	i.mu.Lock()
	p := i.proc
	i.killed = true
	i.mu.Unlock()
	p.Kill()
}

// wasKilled reports whether kill killed process p. A process that was
// replaced meanwhile counts as killed: the instance has no record of it.
func (i *instance) wasKilled(p *proc.Process) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.killed || i.proc != p
}

func (i *instance) process() *proc.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.proc
}

func (i *instance) currentIncarnation() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation
}

// deployment holds the store, the servers and the instances of a run.
type deployment struct {
	dir, bin    string
	store       *platformtest.Store
	storeHTTP   *httptest.Server
	servers     map[string]*server // by id
	instances   []*instance
	httpServers []*httptest.Server // of servers
	// closing ends the supervision of processes.
	closing     atomic.Bool
	supervisors sync.WaitGroup
	// restarts are the servers that will start again.
	restarts sync.WaitGroup
	// plainStep is N+1 if the plain route of the latest published configuration
	// leads to the service plainN.
	plainStep int
	version   int // of the latest published configuration
	// configuration is the latest published configuration, as it is stored.
	configuration string
}

// The places are assigned round robin: serverPlaces to the servers of each
// service, instancePlaces to the instances. The last of instancePlaces has no
// servers, so that its instance delegates gathering to instances elsewhere.
var (
	serverPlaces   = []string{"ikeja", "lekki"}
	instancePlaces = []string{"ikeja", "lekki", "ikeja", "yaba"}
)

// newDeployment starts the store, the servers and the instances. On an error it
// also returns what it has started.
func newDeployment(dir, bin string, instances, addressOctet int) (*deployment, error) {
	d := &deployment{dir: dir, bin: bin, store: platformtest.NewStore(7), servers: make(map[string]*server)}
	d.storeHTTP = httptest.NewServer(d.store)
	for s := range shards {
		for r := range replicasPerShard {
			if err := d.addServer(fmt.Sprintf("shard%d", s), r, addressOctet); err != nil {
				return d, err
			}
		}
	}
	for s := range plainServices {
		for r := range serversPerPlainService {
			if err := d.addServer(fmt.Sprintf("plain%d", s), r, addressOctet); err != nil {
				return d, err
			}
		}
	}
	d.publish()
	for i := range instances {
		if err := d.addInstance(i, addressOctet); err != nil {
			return d, err
		}
	}
	return d, nil
}

// addServer starts a server with its proxy and announces it as ready. Only the
// replicas of one service hold the same three records of 16 bytes.
func (d *deployment) addServer(service string, replica, addressOctet int) error {
	id := fmt.Sprintf("%s-%d", service, replica)
	records := make([]byte, 0, 3*16)
	for k := range 3 {
		records = append(records, fmt.Sprintf("%c%c%-14s", 'a'+(len(id)*7+k*5+int(id[5])*3)%26, 'a'+k, service)...)
	}
	s := platformtest.NewServer(id, service, serverPlaces[replica%len(serverPlaces)], 4*time.Millisecond, records)
	h := httptest.NewServer(s)
	d.httpServers = append(d.httpServers, h)
	// The kernel assigns no port of this address, so that it is free for the next start.
	p, err := newProxy(fmt.Sprintf("127.78.%d.%d:9000", addressOctet, len(d.servers)+1), strings.TrimPrefix(h.URL, "http://"))
	if err != nil {
		return err
	}
	d.servers[id] = &server{Server: s, proxy: p}
	s.SetCrashText(crashText, func() { time.AfterFunc(crashDelay, func() { d.endServer(id) }) })
	d.announce(d.servers[id], "ready")
	return nil
}

// announce writes the server's entry to the store, with the given state. A server that is
// down does so at its next start.
func (d *deployment) announce(s *server, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	if !s.down {
		s.seq++
		d.store.Put("servers/"+s.ID, s.Entry(s.proxy.address, state, s.seq))
	}
}

// publish writes the next configuration to the store. Its plain route leads to
// the next plain service, or stays at the last one.
func (d *deployment) publish() {
	d.version += 3
	d.plainStep = min(d.plainStep+1, plainServices)
	type object = map[string]any
	var names []string
	for s := range shards {
		names = append(names, fmt.Sprintf("shard%d", s))
	}
	services := []object{}
	for _, n := range append([]string{fmt.Sprintf("plain%d", d.plainStep-1)}, names...) {
		services = append(services, object{"name": n, "max_connections": 64, "warmup_per_s": 0})
	}
	raw, err := json.Marshal(object{"version": d.version, "services": services, "limits": object{"max_body_bytes": 65536}, "routes": []object{
		{"name": "all", "hostname": host, "prefix": "/all/", "route_type": "safe", "timeout_ms": 1500, "target_latency_ms": 400,
			"max_attempts": 2, "priority": 1, "gather": names, "top_k": topK, "min_coverage": minCoverage},
		{"name": "once", "hostname": host, "prefix": "/once/", "route_type": "unsafe", "timeout_ms": 1500, "target_latency_ms": 400,
			"max_attempts": 3, "priority": 2, "service": fmt.Sprintf("plain%d", d.plainStep-1)},
	}})
	if err != nil {
		panic(err) // cannot fail: plain values only
	}
	d.configuration = string(raw)
	d.store.Put("op/config", d.configuration)
}

// restoreStore makes the store come back from its copy. After a delay operators and servers
// write again what the copy lacks.
func (d *deployment) restoreStore(delay time.Duration) {
	d.store.Restore()
	time.Sleep(delay)
	d.store.Put("op/config", d.configuration)
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		d.announce(d.servers[id], "ready")
	}
}

// addInstance starts an instance with its own address and keeps it running.
func (d *deployment) addInstance(i, addressOctet int) error {
	in := &instance{name: fmt.Sprintf("front-%d", i), ip: fmt.Sprintf("127.77.%d.%d", addressOctet, i+1)}
	var err error
	if in.store, err = newProxy("127.0.0.1:0", strings.TrimPrefix(d.storeHTTP.URL, "http://")); err != nil {
		return err
	}
	s := settings.GatewayDefaults()
	s.Instance, s.Place, s.Store = in.name, instancePlaces[i%len(instancePlaces)], in.store.address
	s.CallerListen, s.ReadyListen, s.ControlListen, s.PeerListen = in.ip+":8000", in.ip+":8001", in.ip+":8002", in.ip+":8003"
	s.MemoryMB = memoryMB
	s.Seeds = []string{fmt.Sprintf("127.77.%d.1:8002", addressOctet), fmt.Sprintf("127.77.%d.2:8002", addressOctet)}
	in.settingsPath = filepath.Join(d.dir, in.name+".json")
	if err := os.WriteFile(in.settingsPath, s.JSON(), 0o600); err != nil {
		return err
	}
	d.instances = append(d.instances, in)
	if err := d.start(in); err != nil {
		return err
	}
	d.supervisors.Go(func() { d.supervise(in) })
	return nil
}

// restartDelay is the time between the end of a process and its restart, as on
// the platform.
const restartDelay = 50 * time.Millisecond

// supervise restarts the process of an instance whenever it ends, until the
// deployment closes.
func (d *deployment) supervise(in *instance) {
	for {
		in.process().Wait()
		time.Sleep(restartDelay)
		if d.closing.Load() {
			return
		}
		if err := d.start(in); err != nil {
			return // waitReady then reports that the instance is not ready
		}
	}
}

// start starts the process of an instance.
func (d *deployment) start(in *instance) error {
	p, err := proc.StartLogged(d.dir, in.name, d.bin, "gateway", "--settings", in.settingsPath)
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.proc, in.killed = p, false
	in.incarnation++
	return nil
}

// waitReady waits until all instances report that they are ready.
func (d *deployment) waitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, in := range d.instances {
		for !ready(in) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", in.name, timeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// ready reports whether the instance answers its readiness check with status
// 200.
func ready(in *instance) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + in.ip + ":8001/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close kills all processes that the run has started, by their process ids, and
// stops the proxies and HTTP servers.
func (d *deployment) close() {
	d.closing.Store(true)
	d.restarts.Wait()
	for _, in := range d.instances {
		if p := in.process(); p != nil {
			p.Kill()
		}
	}
	d.supervisors.Wait()
	for _, in := range d.instances {
		in.process().Kill() // may have been started after the first loop
		in.store.close()
	}
	for _, s := range d.servers {
		s.proxy.close()
	}
	for _, h := range d.httpServers {
		h.CloseClientConnections()
		h.Close()
	}
	d.storeHTTP.CloseClientConnections()
	d.storeHTTP.Close()
}
