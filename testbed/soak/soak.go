package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Config configures a run.
type Config struct {
	Seed      uint64
	Duration  time.Duration
	Instances int
	// Dir gets the logs, Bin is the daemon.
	Dir, Bin string
	// Base is the third part of the loopback addresses, so that runs beside each
	// other do not meet.
	Base int
}

// Result is what a run found.
type Result struct {
	Broken        []string
	Asked, Served int64
	// Faults lists what was injected, in order.
	Faults []string
}

const (
	// settleTime is the time after the last fault after which instances count as
	// undisturbed.
	settleTime = 4 * time.Second
	// readyTime bounds the start of an instance on a busy machine.
	readyTime = 20 * time.Second
	// callersEach is the number of callers for each instance.
	callersEach = 2
)

// runner injects faults.
type runner struct {
	cfg    Config
	w      *world
	rng    *rand.Rand
	report *report
	strict atomic.Bool
	faults []string
	paused sync.WaitGroup
}

// Run runs storms of overlapping faults with calm checks between them.
func Run(cfg Config) (Result, error) {
	w, err := newWorld(cfg.Dir, cfg.Bin, cfg.Instances, cfg.Base)
	defer w.close()
	if err != nil {
		return Result{}, err
	}
	r := &runner{cfg: cfg, w: w, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), report: &report{}}
	if err := w.waitReady(readyTime); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers []*caller
	var running sync.WaitGroup
	for _, in := range w.instances {
		for range callersEach {
			c := newCaller(w, in, len(callers), r.report, &r.strict)
			callers = append(callers, c)
			running.Go(func() { c.run(ctx) })
		}
	}
	for end := time.Now().Add(cfg.Duration); time.Now().Before(end); {
		r.storm()
		if err := r.calm(); err != nil {
			r.report.breaks("%v", err)
			break
		}
	}
	cancel()
	running.Wait()
	time.Sleep(requestTimeout) // what is still under way at servers ends
	for _, c := range callers {
		c.settle()
	}
	return Result{Broken: r.report.broken, Asked: r.report.asked.Load(), Served: r.report.served.Load(), Faults: r.faults}, nil
}

func (r *runner) log(format string, args ...any) {
	r.faults = append(r.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// storm injects faults in quick succession; they overlap.
func (r *runner) storm() {
	kinds := []func(){r.kill, r.terminate, r.freeze, r.hup, r.cutStore, r.disturbServer, r.shedServer, r.breakServer, r.publish, r.forget, r.storeDown}
	for range 6 + r.rng.IntN(8) {
		kinds[r.rng.IntN(len(kinds))]()
		time.Sleep(time.Duration(r.rng.IntN(400)) * time.Millisecond)
	}
}

func (r *runner) anyInstance() *instance { return r.w.instances[r.rng.IntN(len(r.w.instances))] }

func (r *runner) anyServer() *server {
	ids := slices.Sorted(maps.Keys(r.w.servers))
	return r.w.servers[ids[r.rng.IntN(len(ids))]]
}

func (r *runner) kill() {
	in := r.anyInstance()
	r.log("kill %s", in.name)
	in.kill()
}

// terminate stops an instance gracefully in the background.
func (r *runner) terminate() {
	in := r.anyInstance()
	p := in.process()
	r.log("terminate %s", in.name)
	r.paused.Go(func() {
		if err := p.Stop(stopBound); err != nil && !in.wasKilled(p) {
			r.report.breaks("graceful stop: %v", err)
		}
	})
}

// freeze stops a process for up to two seconds.
func (r *runner) freeze() {
	in := r.anyInstance()
	d := time.Duration(200+r.rng.IntN(1800)) * time.Millisecond
	r.log("freeze %s for %v", in.name, d)
	p := in.process()
	_ = p.Signal(syscall.SIGSTOP) // fails only if the process has ended
	r.paused.Go(func() {
		time.Sleep(d)
		_ = p.Signal(syscall.SIGCONT)
	})
}

func (r *runner) hup() {
	in := r.anyInstance()
	r.log("hup %s", in.name)
	_ = in.process().Signal(syscall.SIGHUP)
}

func (r *runner) cutStore() {
	in := r.anyInstance()
	m := mode(r.rng.IntN(int(modes)))
	r.log("store of %s: mode %d", in.name, m)
	in.store.set(m)
}

func (r *runner) disturbServer() {
	s := r.anyServer()
	m := mode(r.rng.IntN(int(modes)))
	r.log("server %s: mode %d", s.ID, m)
	s.proxy.set(m)
}

func (r *runner) shedServer() {
	s := r.anyServer()
	r.log("server %s sheds", s.ID)
	s.SetShedding(true)
}

func (r *runner) breakServer() {
	s := r.anyServer()
	r.log("server %s runs and breaks off", s.ID)
	s.SetAbortAnswers(true)
}

func (r *runner) publish() {
	r.w.publish()
	r.log("configuration %d, set %d", r.w.version, r.w.set-1)
}

func (r *runner) forget() {
	r.log("the store forgets its history")
	r.w.store.DropHistory()
}

func (r *runner) storeDown() {
	r.log("the store answers 503 for 300 ms")
	r.w.store.FailWith(503)
	time.Sleep(300 * time.Millisecond)
	r.w.store.FailWith(0)
}

// calm ends all faults, waits until the instances count as undisturbed, and
// checks what must hold then.
func (r *runner) calm() error {
	r.paused.Wait()
	for _, s := range r.w.servers {
		s.proxy.set(pass)
		s.SetShedding(false)
		s.SetAbortAnswers(false)
	}
	for _, in := range r.w.instances {
		in.store.set(pass)
	}
	if err := r.w.waitReady(readyTime); err != nil {
		return err
	}
	time.Sleep(settleTime)
	r.strict.Store(true)
	defer r.strict.Store(false)
	checks := []func(){r.checkDrain, r.checkEvacuation, r.checkConfiguration, r.checkStop}
	checks[r.rng.IntN(len(checks))]()
	return nil
}

// checkDrain lets a shard's server drain: after the bound nothing reaches it.
func (r *runner) checkDrain() {
	s := r.w.servers[fmt.Sprintf("shard%d-%d", r.rng.IntN(shards), r.rng.IntN(replicas))]
	r.log("calm: %s drains", s.ID)
	r.w.announce(s, "draining")
	r.expectQuiet(drainBound, "drains", s)
	r.w.announce(s, "ready")
}

// checkEvacuation takes a data centre out.
func (r *runner) checkEvacuation() {
	place := places[r.rng.IntN(len(places))]
	r.log("calm: %s is evacuated", place)
	r.w.store.Put("op/evacuate/"+place, "{}")
	var out []*server
	for _, s := range r.w.servers {
		if s.Zone == place {
			out = append(out, s)
		}
	}
	r.expectQuiet(evacuateBound, "is in an evacuated data centre", out...)
	r.w.store.Delete("op/evacuate/" + place)
}

// checkConfiguration moves the plain route on: after the bound the old servers
// get nothing.
func (r *runner) checkConfiguration() {
	old := r.w.set
	r.publish()
	if r.w.set == old {
		return
	}
	var out []*server
	for _, s := range r.w.servers {
		if s.Service == fmt.Sprintf("plain%d", old-1) {
			out = append(out, s)
		}
	}
	r.expectQuiet(configBound, "has lost its route", out...)
}

// checkStop stops an instance while its callers go on using their connections.
func (r *runner) checkStop() {
	in := r.anyInstance()
	r.log("calm: %s stops", in.name)
	in.setStopping(true)
	defer in.setStopping(false)
	if err := in.process().Stop(stopBound); err != nil {
		r.report.breaks("graceful stop: %v", err)
	}
	if err := r.w.waitReady(readyTime); err != nil {
		r.report.breaks("%v", err)
	}
}

// expectQuiet checks that no request reaches the servers after the bound.
func (r *runner) expectQuiet(bound time.Duration, what string, servers ...*server) {
	from := time.Now().Add(bound)
	time.Sleep(bound + 500*time.Millisecond)
	for _, s := range servers {
		if last := s.LastArrival(); last.After(from) {
			r.report.breaks("%s %s, and a request reached it %v after the bound of %v", s.ID, what, last.Sub(from), bound)
		}
	}
}
