package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"galenadyke.dev/platform/platformtest"
)

// Config configures a run.
type Config struct {
	// Seed determines the faults and their order.
	Seed uint64
	// Duration is the time after which no new phase of faults begins. The run
	// ends with the check that follows the last phase.
	Duration  time.Duration
	Instances int
	// Dir is the directory for settings files and logs, Bin the path of the
	// daemon.
	Dir, Bin string
	// AddressOctet is the third octet of the loopback addresses. Runs at the
	// same time need different ones.
	AddressOctet int
}

// Result is the outcome of a run.
type Result struct {
	// Violations describes each violated guarantee, with the time of detection.
	Violations []string
	// Sent counts the requests that callers sent, Served the responses with
	// status 200.
	Sent, Served int64
	// Faults lists the injected faults and the checks in order.
	Faults []string
}

const (
	// recoveryDelay is the time that instances have to recover from faults, from
	// the time when all are ready. After it, every request must be answered.
	recoveryDelay = 4 * time.Second
	// readyTimeout bounds the start of an instance on a busy machine.
	readyTimeout = 20 * time.Second
	// callersPerInstance is the number of callers that send requests to each
	// instance concurrently.
	callersPerInstance = 2
)

// runner injects faults, ends them and then checks the guarantees that hold
// without faults.
type runner struct {
	cfg        Config
	deployment *deployment
	rng        *rand.Rand
	// floodRNG, restoreRNG and crashRNG draw the floods, the restores of the store and the
	// crashing requests, so that the other faults of a seed stay the same.
	floodRNG, restoreRNG, crashRNG *rand.Rand
	report                         *report
	// undisturbed is set while no fault is active, so that every request must be
	// answered.
	undisturbed atomic.Bool
	faults      []string
	// background waits for graceful stops that have not ended, and for frozen
	// processes that have not been continued.
	background sync.WaitGroup
}

// Run alternates phases of overlapping faults with checks of undisturbed
// instances. Violated guarantees are part of the result; an error means that the
// run could not start.
func Run(cfg Config) (Result, error) {
	d, err := newDeployment(cfg.Dir, cfg.Bin, cfg.Instances, cfg.AddressOctet)
	defer d.close()
	if err != nil {
		return Result{}, err
	}
	r := &runner{cfg: cfg, deployment: d, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), floodRNG: rand.New(rand.NewPCG(cfg.Seed, 2)),
		restoreRNG: rand.New(rand.NewPCG(cfg.Seed, 3)), crashRNG: rand.New(rand.NewPCG(cfg.Seed, 4)), report: &report{}}
	if err := d.waitReady(readyTimeout); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watching := r.watchMemory(ctx)
	var callers []*caller
	var running sync.WaitGroup
	for _, in := range d.instances {
		for range callersPerInstance {
			c := newCaller(d, in, len(callers), r.report, &r.undisturbed)
			callers = append(callers, c)
			running.Go(func() { c.run(ctx) })
		}
	}
	for end := time.Now().Add(cfg.Duration); time.Now().Before(end); {
		c := r.startCrashing()
		r.injectFaults()
		err := r.recoverAndCheck(c)
		r.log("%s", c.stop())
		if err != nil {
			r.report.addViolation("%v", err)
			break
		}
	}
	cancel()
	running.Wait()
	<-watching
	time.Sleep(requestTimeout) // until requests in flight at servers have ended
	for _, c := range callers {
		c.checkExecutions()
	}
	return Result{Violations: r.report.violations, Sent: r.report.sent.Load(), Served: r.report.served.Load(), Faults: r.faults}, nil
}

// log adds a fault or check to the result.
func (r *runner) log(format string, args ...any) {
	r.faults = append(r.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// injectFaults injects 6 to 13 random faults with pauses of less than 400 ms, so
// that they overlap.
func (r *runner) injectFaults() {
	kinds := []func(){r.kill, r.terminate, r.freeze, r.sendHUP, r.disturbStore, r.disturbServer, r.shedRequests, r.dropAnswers, r.publish, r.forgetHistory, r.failStore}
	r.floodAnswers()
	r.deployment.store.Copy()
	for range 6 + r.rng.IntN(8) {
		kinds[r.rng.IntN(len(kinds))]()
		time.Sleep(time.Duration(r.rng.IntN(400)) * time.Millisecond)
		if r.restoreRNG.IntN(12) == 0 {
			r.restoreStore()
		}
	}
}

// restoreStore makes the store lose what was written since its copy, which is written again
// up to 1 s later.
func (r *runner) restoreStore() {
	delay := time.Duration(r.restoreRNG.IntN(1000)) * time.Millisecond
	r.log("the store comes back from a copy, and what it lacks is written again after %v", delay)
	r.deployment.restoreStore(delay)
}

func (r *runner) randomInstance() *instance {
	return r.deployment.instances[r.rng.IntN(len(r.deployment.instances))]
}

func (r *runner) randomServer() *server {
	ids := slices.Sorted(maps.Keys(r.deployment.servers))
	return r.deployment.servers[ids[r.rng.IntN(len(ids))]]
}

func (r *runner) kill() {
	in := r.randomInstance()
	r.log("kill %s", in.name)
	in.kill()
}

// terminate stops an instance gracefully, with SIGTERM, in the background. The
// stop must end within stopBound unless the instance is killed meanwhile.
func (r *runner) terminate() {
	in := r.randomInstance()
	p := in.process()
	r.log("terminate %s", in.name)
	r.background.Go(func() {
		if err := p.Stop(stopBound); err != nil && !in.wasKilled(p) {
			r.report.addViolation("graceful stop: %v", err)
		}
	})
}

// freeze stops a process with SIGSTOP and continues it after 0.2 to 2 s.
func (r *runner) freeze() {
	in := r.randomInstance()
	d := time.Duration(200+r.rng.IntN(1800)) * time.Millisecond
	r.log("freeze %s for %v", in.name, d)
	p := in.process()
	_ = p.Signal(syscall.SIGSTOP) // fails only if the process has ended
	r.background.Go(func() {
		time.Sleep(d)
		_ = p.Signal(syscall.SIGCONT)
	})
}

// sendHUP sends SIGHUP, on which an instance reloads its settings.
func (r *runner) sendHUP() {
	in := r.randomInstance()
	r.log("hup %s", in.name)
	_ = in.process().Signal(syscall.SIGHUP)
}

// disturbStore sets the mode of the proxy between an instance and the store.
func (r *runner) disturbStore() {
	in := r.randomInstance()
	m := mode(r.rng.IntN(int(modeCount)))
	r.log("store of %s: mode %d", in.name, m)
	in.store.setMode(m)
}

// disturbServer sets the mode of the proxy in front of a server.
func (r *runner) disturbServer() {
	s := r.randomServer()
	m := mode(r.rng.IntN(int(modeCount)))
	r.log("server %s: mode %d", s.ID, m)
	s.proxy.setMode(m)
}

// shedRequests makes a server refuse requests without running them.
func (r *runner) shedRequests() {
	s := r.randomServer()
	r.log("server %s sheds", s.ID)
	s.SetShedding(true, "")
}

// dropAnswers makes a server run requests and close their connections without
// an answer.
func (r *runner) dropAnswers() {
	s := r.randomServer()
	r.log("server %s runs requests without an answer", s.ID)
	s.SetAbortAnswers(true)
}

// floods are answers without an end, in the head and in the body.
var floods = []platformtest.Flood{
	{Prefix: "HTTP/1.1 200 ", Piece: "x"},
	{Prefix: "HTTP/1.1 200 OK\r\nX-Long: ", Piece: "x"},
	{Prefix: "HTTP/1.1 200 OK\r\n", Piece: "X-More: 1\r\n"},
	{Piece: "HTTP/1.1 100 Continue\r\n\r\n"},
	{Prefix: "HTTP/1.1 200 OK\r\n\r\n", Piece: "x"},
	{Prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Piece: "10\r\n0123456789abcdef\r\n"},
}

// floodAnswers makes a tenth of the servers, at least one, answer without an end.
func (r *runner) floodAnswers() {
	ids := slices.Sorted(maps.Keys(r.deployment.servers))
	for range max(1, len(ids)/10) {
		s := r.deployment.servers[ids[r.floodRNG.IntN(len(ids))]]
		n := r.floodRNG.IntN(len(floods))
		r.log("server %s floods, kind %d", s.ID, n)
		s.SetFlood(floods[n])
	}
}

// memoryCheckInterval is the time between two checks of the memory of the instances.
const memoryCheckInterval = 100 * time.Millisecond

// watchMemory checks the resident memory of all instances against their setting until ctx
// ends. The channel is closed then.
func (r *runner) watchMemory(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		check := time.NewTicker(memoryCheckInterval)
		defer check.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-check.C:
			}
			for _, in := range r.deployment.instances {
				if mb := residentMB(in.process().PID()); mb > memoryMB {
					r.report.addViolation("%s has %d MB of resident memory, its setting is %d", in.name, mb, memoryMB)
				}
			}
		}
	}()
	return done
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// publish publishes the next configuration.
func (r *runner) publish() {
	r.deployment.publish()
	r.log("configuration %d, plain route to service %d", r.deployment.version, r.deployment.plainStep-1)
}

// forgetHistory makes the store forget its earlier revisions, so that watches
// must read everything again.
func (r *runner) forgetHistory() {
	r.log("the store forgets its history")
	r.deployment.store.DropHistory()
}

// failStore makes the store answer with status 503 for 300 ms.
func (r *runner) failStore() {
	r.log("the store answers 503 for 300 ms")
	r.deployment.store.FailWith(503)
	time.Sleep(300 * time.Millisecond)
	r.deployment.store.FailWith(0)
}

// recoverAndCheck ends all faults, waits until the instances have recovered and
// runs one check. An error means that an instance did not become ready.
func (r *runner) recoverAndCheck(c *crashing) error {
	r.background.Wait()
	for _, s := range r.deployment.servers {
		s.proxy.setMode(modeForward)
		s.SetShedding(false, "")
		s.SetAbortAnswers(false)
		s.SetFlood(platformtest.Flood{})
	}
	for _, in := range r.deployment.instances {
		in.store.setMode(modeForward)
	}
	if err := r.deployment.waitReady(readyTimeout); err != nil {
		return err
	}
	time.Sleep(recoveryDelay - crashPause)
	c.pause()
	time.Sleep(crashPause)
	c.resume()
	r.undisturbed.Store(true)
	defer r.undisturbed.Store(false)
	checks := []func(){r.checkDrain, r.checkEvacuation, r.checkConfiguration, r.checkGracefulStop}
	checks[r.rng.IntN(len(checks))]()
	return nil
}

// checkDrain announces a server of a random shard as draining and checks that no
// request reaches it after drainBound.
func (r *runner) checkDrain() {
	s := r.deployment.servers[fmt.Sprintf("shard%d-%d", r.rng.IntN(shards), r.rng.IntN(replicasPerShard))]
	r.log("check: %s drains", s.ID)
	r.deployment.announce(s, "draining")
	r.expectNoRequests(drainBound, "drains", s)
	r.deployment.announce(s, "ready")
}

// checkEvacuation evacuates a data centre and checks that no request reaches
// its servers after evacuateBound.
func (r *runner) checkEvacuation() {
	place := serverPlaces[r.rng.IntN(len(serverPlaces))]
	r.log("check: %s is evacuated", place)
	r.deployment.store.Put("op/evacuate/"+place, "{}")
	var affected []*server
	for _, s := range r.deployment.servers {
		if s.Zone == place {
			affected = append(affected, s)
		}
	}
	r.expectNoRequests(evacuateBound, "is in an evacuated data centre", affected...)
	r.deployment.store.Delete("op/evacuate/" + place)
}

// checkConfiguration moves the plain route to the next plain service and checks
// that no request reaches the servers of the previous service after configBound.
// Once the route leads to the last service, it only publishes a configuration.
func (r *runner) checkConfiguration() {
	previous := r.deployment.plainStep
	r.publish()
	if r.deployment.plainStep == previous {
		return
	}
	var affected []*server
	for _, s := range r.deployment.servers {
		if s.Service == fmt.Sprintf("plain%d", previous-1) {
			affected = append(affected, s)
		}
	}
	r.expectNoRequests(configBound, "is no longer on a route", affected...)
}

// checkGracefulStop stops an instance with SIGTERM while its callers continue to
// use their connections, and checks that it stops within stopBound and that its
// restarted process becomes ready.
func (r *runner) checkGracefulStop() {
	in := r.randomInstance()
	r.log("check: %s stops", in.name)
	in.setStopping(true)
	defer in.setStopping(false)
	if err := in.process().Stop(stopBound); err != nil {
		r.report.addViolation("graceful stop: %v", err)
	}
	if err := r.deployment.waitReady(readyTimeout); err != nil {
		r.report.addViolation("%v", err)
	}
}

// expectNoRequests waits until 500 ms after the bound and checks that no request
// reached the servers after the bound. condition says why no request may reach a
// server; it follows the server's id in a sentence.
func (r *runner) expectNoRequests(bound time.Duration, condition string, servers ...*server) {
	from := time.Now().Add(bound)
	time.Sleep(bound + 500*time.Millisecond)
	for _, s := range servers {
		if last := s.LastArrival(); last.After(from) {
			r.report.addViolation("%s %s, but a request reached it %v after the bound of %v", s.ID, condition, last.Sub(from), bound)
		}
	}
}
