// Command standin plays the platform, the servers and the clients of a review case, and starts
// the instances of the project as separate processes. It ends with status 1 if the rule of the
// case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// caseTimeout ends a case that hangs, before the limit of 120 seconds.
const caseTimeout = 100 * time.Second

// errBroken is the result of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// lab is a small deployment with stand-ins.
type lab struct {
	dir          string // temporary folder for settings and logs
	rec          *record
	store        *store
	storeAddress string
	servers      []*server
	instances    []*instance
	born         time.Time
}

var cases = map[string]func(l *lab, trouble bool) error{
	"misspelt": runMisspelt,
	"late":     runLate,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(runCase func(*lab, bool) error, folder string, trouble bool) int {
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	l := &lab{dir: dir, rec: rec, store: newStore(), born: time.Now()}
	defer l.close()
	result := make(chan error, 1)
	go func() { result <- runCase(l, trouble) }()
	select {
	case err = <-result:
	case <-time.After(caseTimeout):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		rec.add("result: the rule held (trouble: %v)", trouble)
		return 0
	case errors.Is(err, errBroken):
		rec.add("result: %s (trouble: %v)", errorText(err), trouble)
		return 1
	default:
		rec.add("result: the case couldn't run: %s", errorText(err))
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
}

// close ends the instances that the lab started.
func (l *lab) close() {
	for _, in := range l.instances {
		in.kill()
	}
}

// listenStore starts the store at a free port.
func (l *lab) listenStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.storeAddress = listener.Addr().String()
	go http.Serve(listener, l.store) //nolint:errcheck // ends with the process
	return nil
}

// addServer starts a server and registers it in the store.
func (l *lab) addServer(s *server) error {
	s.rec = l.rec
	if err := s.listen("127.0.0.1"); err != nil {
		return err
	}
	l.servers = append(l.servers, s)
	l.store.put("servers/"+s.id, s.entry("ready", l.born))
	return nil
}

// addInstances starts an instance in each zone, and waits until all are ready.
func (l *lab) addInstances(zones []string) error {
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.96.%d.%d", os.Getpid()%250+1, i+1))
	}
	p, err := freePorts(ips)
	if err != nil {
		return err
	}
	for i, zone := range zones {
		l.instances = append(l.instances, &instance{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: ips[i], zone: zone, ports: p})
	}
	for _, in := range l.instances {
		if err := l.startInstance(in, seedAddresses(l.instances), l.storeAddress, true); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, in := range l.instances {
		for !in.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // until the instances know each other
	return nil
}
