package abuse

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"galenadyke.dev/node/peer/peerpb"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/testbed/cell"
)

const (
	// runMemoryMB is the memory of a machine of the users' platform.
	runMemoryMB    = 284
	runDescriptors = 1024
	// Limits of the HTTP API: the head, and the body of a call with the default limits.
	runMaxHeaderBytes = 32 << 10
	runMaxBodyBytes   = 64 << 10
	// runMaxFrameBytes is the largest message between instances.
	runMaxFrameBytes = 64 << 20
)

// runProcess is an instance of the own interface with its listening addresses.
type runProcess struct {
	*process
	settings settings.Settings
}

// startRun starts a platform stand-in, targets and an instance, and waits until it serves.
func startRun(t *testing.T) *runProcess {
	t.Helper()
	s := cell.DefaultSpec()
	s.Bin, s.Dir, s.Instances = binDir, t.TempDir(), 1
	c, err := cell.Start(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Kill)
	// Replaces the instance of the cell by one with a limit on its descriptors.
	path := filepath.Join(s.Dir, c.Instances[0].ID+".json")
	c.Instances[0].Kill()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	r := &runProcess{}
	if err := json.Unmarshal(raw, &r.settings); err != nil {
		t.Fatal(err)
	}
	r.process = startProcess(t, runDescriptors, runMemoryMB<<20, "run", "--settings", path)
	checkAnswered(t, r.ordinary)
	return r
}

// ordinary returns an ordinary search.
func (r *runProcess) ordinary() *http.Request {
	body := `{"route":"` + cell.SearchRoute + `","query":{},"deadline_ms":2000}`
	req, err := http.NewRequest(http.MethodPost, "http://"+r.settings.HTTPListen+"/v1/search", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	return req
}

const (
	runCrowd  = 1200
	runRounds = 3
)

func TestRunSurvivesCallers(t *testing.T) {
	skipUnlessEnabled(t)
	attacks := slices.Concat(headAttacks("/healthz", runMaxHeaderBytes), bodyAttacks("/v1/search", runMaxBodyBytes), bodyAttacks("/healthz", runMaxBodyBytes)[:3],
		[]attack{unreadAnswers("/healthz"), unreadAnswers("/v1/trace"), unreadAnswers("/debug/vars"), unreadAnswers("/v1/status")})
	for i, a := range attacks {
		t.Run(fmt.Sprint(i, " ", a.name), func(t *testing.T) {
			skipKnownRed(t)
			r := startRun(t)
			c := &crowd{address: r.settings.HTTPListen, clients: runCrowd, rounds: runRounds, script: a.script}
			r.checkServesWithin(t, c, r.ordinary)
		})
	}
}

func TestRunSurvivesClientsOfItsPeerAddress(t *testing.T) {
	skipUnlessEnabled(t)
	hello := func(r *runProcess) []byte {
		raw, err := proto.Marshal(&peerpb.Frame{Message: &peerpb.Frame_Hello{Hello: &peerpb.Hello{Instance: "x", Incarnation: 1, Receiver: r.settings.Instance}}})
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	newAttacks := func(r *runProcess) []attack {
		return append(peerAttacks("/galenadyke.peer.v1.Peer/Link", runMaxFrameBytes, hello(r)), attack{"nothing", send("")}, attack{"one byte", send("P")})
	}
	for i, a := range newAttacks(&runProcess{}) {
		t.Run(fmt.Sprint(i, " ", a.name), func(t *testing.T) {
			skipKnownRed(t)
			r := startRun(t)
			clients := peerCrowd
			if i >= 6 || strings.Contains(a.name, "many clients") {
				clients = runCrowd
			}
			c := &crowd{address: r.settings.GRPCListen, clients: clients, rounds: runRounds, script: newAttacks(r)[i].script}
			r.checkServesWithin(t, c, r.ordinary)
		})
	}
}
