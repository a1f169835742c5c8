package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"galenadyke.dev/node/settings"
	"galenadyke.dev/platform/platformtest"
	"galenadyke.dev/testbed/proc"
)

const (
	shards       = 6
	replicas     = 2
	plainSets    = 4 // successive configurations move the plain route along these services
	plainServers = 2
	topK         = 5
	minCoverage  = 0.6
	host         = "soak.example"
	// drainBound and evacuateBound are the stated times after which a server that
	// drains, or of an evacuated data centre, gets no request.
	drainBound    = 3 * time.Second
	evacuateBound = 5 * time.Second
	configBound   = 3 * time.Second
	// stopBound is the time that a graceful stop may take.
	stopBound = 6 * time.Second
)

// server is a stand-in server behind its proxy.
type server struct {
	*platformtest.Server
	proxy *proxy
	seq   int
}

// instance is one gateway process.
type instance struct {
	name, ip, settings string
	store              *proxy

	mu   sync.Mutex // guards what follows
	proc *proc.Process
	life int
	// killed is set while the present process was killed by the run, stopping
	// while it stops gracefully.
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

// kill ends the process at once.
func (i *instance) kill() {
	i.mu.Lock()
	p := i.proc
	i.killed = true
	i.mu.Unlock()
	p.Kill()
}

// wasKilled reports whether the run killed the process. A process that was
// replaced meanwhile counts as killed: its record is gone.
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

func (i *instance) currentLife() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.life
}

// world is everything that a run consists of.
type world struct {
	dir, bin  string
	store     *platformtest.Store
	storeHTTP *httptest.Server
	servers   map[string]*server // by id
	instances []*instance
	started   []*httptest.Server
	// closing ends the supervision of processes.
	closing     atomic.Bool
	supervising sync.WaitGroup
	set         int // of the plain route in the configuration published last
	version     int
}

// places alternate over the servers. An instance in the last of instancePlaces
// has no server near it, and lets others gather.
var (
	places         = []string{"ikeja", "lekki"}
	instancePlaces = []string{"ikeja", "lekki", "ikeja", "yaba"}
)

func newWorld(dir, bin string, instances, base int) (*world, error) {
	w := &world{dir: dir, bin: bin, store: platformtest.NewStore(7), servers: make(map[string]*server)}
	w.storeHTTP = httptest.NewServer(w.store)
	for s := range shards {
		for r := range replicas {
			if err := w.addServer(fmt.Sprintf("shard%d", s), r); err != nil {
				return w, err
			}
		}
	}
	for s := range plainSets {
		for r := range plainServers {
			if err := w.addServer(fmt.Sprintf("plain%d", s), r); err != nil {
				return w, err
			}
		}
	}
	w.publish()
	for i := range instances {
		if err := w.addInstance(i, base); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) addServer(service string, replica int) error {
	id := fmt.Sprintf("%s-%d", service, replica)
	records := make([]byte, 0, 3*16)
	for k := range 3 {
		records = append(records, fmt.Sprintf("%c%c%-14s", 'a'+(len(id)*7+k*5+int(id[5])*3)%26, 'a'+k, service)...)
	}
	s := platformtest.NewServer(id, service, places[replica%len(places)], 4*time.Millisecond, records)
	h := httptest.NewServer(s)
	w.started = append(w.started, h)
	p, err := newProxy("127.0.0.1:0", strings.TrimPrefix(h.URL, "http://"))
	if err != nil {
		return err
	}
	w.servers[id] = &server{Server: s, proxy: p}
	w.announce(w.servers[id], "ready")
	return nil
}

// announce writes the server's entry.
func (w *world) announce(s *server, state string) {
	s.seq++
	w.store.Put("servers/"+s.ID, s.Entry(s.proxy.address(), state, s.seq))
}

// publish writes the next configuration: the plain route moves to the next set
// of servers, and stays there at the last one.
func (w *world) publish() {
	w.version += 3
	w.set = min(w.set+1, plainSets)
	type object = map[string]any
	var names []string
	for s := range shards {
		names = append(names, fmt.Sprintf("shard%d", s))
	}
	services := []object{}
	for _, n := range append([]string{fmt.Sprintf("plain%d", w.set-1)}, names...) {
		services = append(services, object{"name": n, "max_connections": 64, "warmup_per_s": 0})
	}
	raw, err := json.Marshal(object{"version": w.version, "services": services, "limits": object{"max_body_bytes": 65536}, "routes": []object{
		{"name": "all", "hostname": host, "prefix": "/all/", "route_type": "safe", "timeout_ms": 1500, "target_latency_ms": 400,
			"max_attempts": 2, "priority": 1, "gather": names, "top_k": topK, "min_coverage": minCoverage},
		{"name": "once", "hostname": host, "prefix": "/once/", "route_type": "unsafe", "timeout_ms": 1500, "target_latency_ms": 400,
			"max_attempts": 3, "priority": 2, "service": fmt.Sprintf("plain%d", w.set-1)},
	}})
	if err != nil {
		panic(err) // cannot fail: plain values only
	}
	w.store.Put("op/config", string(raw))
}

// addInstance prepares an instance with an address of its own, and starts it.
func (w *world) addInstance(i, base int) error {
	in := &instance{name: fmt.Sprintf("front-%d", i), ip: fmt.Sprintf("127.77.%d.%d", base, i+1)}
	var err error
	if in.store, err = newProxy("127.0.0.1:0", strings.TrimPrefix(w.storeHTTP.URL, "http://")); err != nil {
		return err
	}
	s := settings.GatewayDefaults()
	s.Instance, s.Place, s.Store = in.name, instancePlaces[i%len(instancePlaces)], in.store.address()
	s.CallerListen, s.ReadyListen, s.ControlListen, s.PeerListen = in.ip+":8000", in.ip+":8001", in.ip+":8002", in.ip+":8003"
	s.Seeds = []string{fmt.Sprintf("127.77.%d.1:8002", base), fmt.Sprintf("127.77.%d.2:8002", base)}
	in.settings = filepath.Join(w.dir, in.name+".json")
	if err := os.WriteFile(in.settings, s.JSON(), 0o600); err != nil {
		return err
	}
	w.instances = append(w.instances, in)
	if err := w.start(in); err != nil {
		return err
	}
	w.supervising.Go(func() { w.supervise(in) })
	return nil
}

// restartDelay is the time after which a process that has ended is started
// again, as on the platform.
const restartDelay = 50 * time.Millisecond

// supervise starts the process of an instance again whenever it has ended.
func (w *world) supervise(in *instance) {
	for {
		in.process().Wait()
		time.Sleep(restartDelay)
		if w.closing.Load() {
			return
		}
		if err := w.start(in); err != nil {
			return // the run ends when the instance does not become ready
		}
	}
}

// start starts the process of an instance.
func (w *world) start(in *instance) error {
	p, err := proc.StartLogged(w.dir, in.name, w.bin, "gateway", "--settings", in.settings)
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.proc, in.killed = p, false
	in.life++
	return nil
}

// waitReady waits until all instances say that they are ready.
func (w *world) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, in := range w.instances {
		for !ready(in) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", in.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func ready(in *instance) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + in.ip + ":8001/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that the run started, by their ids.
func (w *world) close() {
	w.closing.Store(true)
	for _, in := range w.instances {
		if p := in.process(); p != nil {
			p.Kill()
		}
	}
	w.supervising.Wait()
	for _, in := range w.instances {
		in.process().Kill() // started while the others were ended
		in.store.close()
	}
	for _, s := range w.servers {
		s.proxy.close()
	}
	for _, h := range w.started {
		h.CloseClientConnections()
		h.Close()
	}
	w.storeHTTP.CloseClientConnections()
	w.storeHTTP.Close()
}
