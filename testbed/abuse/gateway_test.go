package abuse

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/node/settings"
	"galenadyke.dev/platform/platformtest"
)

const (
	// The settings and published limits of the gateway under test. The limits of heads, bodies
	// and times are those of the users' platform.
	gatewayMemoryMB    = 128
	gatewayDescriptors = 1024
	maxHeaderBytes     = 16 << 10
	maxBodyBytes       = 256 << 10
	// bigAnswerBytes is the size of the answers of the service "big".
	bigAnswerBytes = 1 << 20
	// moreRoutes is the number of routes that no client uses.
	moreRoutes = 2000
)

// gatewayProcess is a gateway with its listening addresses.
type gatewayProcess struct {
	*process
	settings settings.Gateway
}

// startGateway starts a gateway with a store and two services, and waits until it serves.
func startGateway(t *testing.T) *gatewayProcess {
	t.Helper()
	store := platformtest.NewStore(500)
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	for name, answer := range map[string]string{"a": strings.Repeat("a", 16), "big": strings.Repeat("b", bigAnswerBytes)} {
		s := platformtest.NewServer(name+"-0", name, "ikeja", 0, []byte(answer))
		h := httptest.NewServer(s)
		t.Cleanup(h.Close)
		store.Put("servers/"+s.ID, s.Entry(strings.TrimPrefix(h.URL, "http://"), "ready", 1))
	}
	var more strings.Builder // routes of a large configuration
	for i := range moreRoutes {
		fmt.Fprintf(&more, `{"name":"more%d","hostname":"more","prefix":"/%d/","route_type":"safe","timeout_ms":5000,"target_latency_ms":4000,"priority":1,"service":"a","max_attempts":2},`+"\n", i, i)
	}
	store.Put("op/config", fmt.Sprintf(`{"version":1,"routes":[
%s{"name":"one","hostname":"h","prefix":"/one/","route_type":"safe","timeout_ms":5000,"target_latency_ms":4000,"priority":1,"service":"a","max_attempts":2},
{"name":"big","hostname":"h","prefix":"/big/","route_type":"safe","timeout_ms":5000,"target_latency_ms":4000,"priority":1,"service":"big","max_attempts":2},
{"name":"all","hostname":"h","prefix":"/all/","route_type":"safe","timeout_ms":5000,"target_latency_ms":4000,"priority":1,"gather":["a"],"max_attempts":2,"top_k":1,"min_coverage":1}],
"services":[{"name":"a","max_connections":100},{"name":"big","max_connections":100}],
"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, more.String(), maxHeaderBytes, maxBodyBytes))
	s := settings.GatewayDefaults()
	s.Instance, s.Place, s.Store = "front-0", "ikeja", strings.TrimPrefix(storeServer.URL, "http://")
	s.MemoryMB = gatewayMemoryMB
	for _, address := range []*string{&s.CallerListen, &s.ReadyListen, &s.ControlListen, &s.MetricsListen, &s.PeerListen} {
		*address = freeAddress(t)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, s.JSON(), 0o600); err != nil {
		t.Fatal(err)
	}
	g := &gatewayProcess{startProcess(t, gatewayDescriptors, gatewayMemoryMB<<20, "gateway", "--settings", path), s}
	checkAnswered(t, g.ordinary)
	return g
}

// freeAddress returns an address that is free for TCP and UDP.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // after the last call, so that all ports differ
		if u, err := net.ListenPacket("udp", l.Addr().String()); err == nil {
			u.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free address")
	return ""
}

// ordinary returns an ordinary request of a caller.
func (g *gatewayProcess) ordinary() *http.Request {
	r, err := http.NewRequest(http.MethodGet, "http://"+g.settings.CallerListen+"/one/x", nil)
	if err != nil {
		panic(err)
	}
	r.Host = "h"
	r.Header = http.Header{"Galenadyke-Attempt-Id": {"ordinary"}, "Galenadyke-Deadline-Ms": {"3000"}}
	return r
}

// atLimits returns a request whose head and body have exactly the published limits.
func (g *gatewayProcess) atLimits() *http.Request {
	r, err := http.NewRequest(http.MethodPost, g.ordinary().URL.String(), strings.NewReader(strings.Repeat("x", maxBodyBytes)))
	if err != nil {
		panic(err)
	}
	r.Host, r.Close = "h", true
	r.Header = g.ordinary().Header
	r.Header.Set("User-Agent", "a")
	r.Header.Set("Accept-Encoding", "identity")
	var head strings.Builder
	_ = (&http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: r.Header, ContentLength: r.ContentLength, Close: true,
		Body: http.NoBody}).Write(&head) // a strings.Builder returns no error
	size := head.Len() + len("Content-Length: \r\n") + len(fmt.Sprint(maxBodyBytes)) + len("X-Fill: \r\n")
	r.Header.Set("X-Fill", strings.Repeat("x", maxHeaderBytes-size))
	return r
}

// gatewayCrowd is the number of clients of a crowd, and gatewayRounds the number of
// connections that each of them opens if the gateway closes them.
const (
	gatewayCrowd  = 1200
	gatewayRounds = 3
)

func TestGatewaySurvivesCallers(t *testing.T) {
	skipUnlessEnabled(t)
	attacks := slices.Concat(headAttacks("/one/x", maxHeaderBytes), bodyAttacks("/one/x", maxBodyBytes),
		[]attack{unreadAnswers("/one/x"), unreadAnswers("/big/x"), unreadAnswers("/all/x"), unreadAnswers("/none")})
	for i, a := range attacks {
		t.Run(fmt.Sprint(i, " ", a.name), func(t *testing.T) {
			skipKnownRed(t)
			g := startGateway(t)
			c := &crowd{address: g.settings.CallerListen, clients: gatewayCrowd, rounds: gatewayRounds, script: a.script}
			g.checkServesWithin(t, c, g.ordinary)
		})
	}
}

func TestGatewaySurvivesClientsOfItsOtherAddresses(t *testing.T) {
	skipUnlessEnabled(t)
	all := func(path string) []attack {
		return slices.Concat(headAttacks(path, maxHeaderBytes), bodyAttacks(path, maxBodyBytes), []attack{unreadAnswers(path)})
	}
	// The ready, control and metrics addresses have the same kind of server.
	some := func(path string) []attack {
		return []attack{headAttacks(path, maxHeaderBytes)[0], bodyAttacks(path, maxBodyBytes)[0], unreadAnswers(path)}
	}
	addresses := []struct {
		name, address string
		attacks       []attack
	}{
		{"ready", "ready_listen", all("/readyz")},
		{"control", "control_listen", some("/metrics")},
		{"metrics", "metrics_listen", some("/debug/vars")},
		{"peer", "peer_listen", headAttacks("/x", maxHeaderBytes)[:3]},
	}
	for _, at := range addresses {
		for i, a := range at.attacks {
			t.Run(fmt.Sprint(at.name, " ", i, " ", a.name), func(t *testing.T) {
				skipKnownRed(t)
				g := startGateway(t)
				c := &crowd{address: g.address(at.address), clients: gatewayCrowd, rounds: gatewayRounds, script: a.script}
				g.checkServesWithin(t, c, g.ordinary)
			})
		}
	}
}

// address returns the listening address in a setting.
func (g *gatewayProcess) address(setting string) string {
	s := g.settings
	return map[string]string{"ready_listen": s.ReadyListen, "control_listen": s.ControlListen,
		"metrics_listen": s.MetricsListen, "peer_listen": s.PeerListen}[setting]
}

func TestGatewayServesASingleRequestAtTheLimits(t *testing.T) {
	skipUnlessEnabled(t)
	skipKnownRed(t)
	g := startGateway(t)
	checkAnswered(t, g.atLimits)
	lines := "GET /one/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nGalenadyke-Attempt-Id: lines\r\n"
	conn, err := net.Dial("tcp", g.settings.CallerListen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := write(conn, lines+shortHeaders(maxHeaderBytes-len(lines)-2)+"\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerPatience)) // the read fails as well
	answer := make([]byte, len("HTTP/1.1 200"))
	if _, err := conn.Read(answer); err != nil || string(answer) != "HTTP/1.1 200" {
		t.Fatalf("a head of short lines within the limit: got %q, error %v, want status 200", answer, err)
	}
	g.check(t)
}
