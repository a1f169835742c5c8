package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/telemetry"
)

// Guards against different requests that share a digest: a byte that moves between pieces changes it.
func TestDigestDelimitsItsPieces(t *testing.T) {
	key := []byte("store")
	seen := make(map[gateway.RequestDigest]string)
	for _, r := range [][5]string{
		{"GET", "h", "/p", "o", "body"},
		{"GET", "h", "/pb", "o", "ody"},
		{"GET", "h", "/pb", "", "oody"},
		{"GET", "h", "/p", "ob", "ody"},
		{"GET", "h/", "p", "o", "body"},
		{"GETh", "", "/p", "o", "body"},
		{"GET", "h", "/p?o", "", "body"},
		{"GET", "h", "/p", "", "body"},
		{"GET", "h", "/p", "o", ""},
	} {
		d := requestDigest(key, r[0], r[1], r[2], r[3], []byte(r[4]))
		if other, ok := seen[d]; ok {
			t.Errorf("%q has the digest of %s", r, other)
		}
		seen[d] = fmt.Sprintf("%q", r)
		if requestDigest([]byte("other"), r[0], r[1], r[2], r[3], []byte(r[4])) == d {
			t.Errorf("%q has the same digest with another key", r)
		}
	}
}

// Guards against instances that follow a request under different digests, or different requests under one.
func TestDigestOfAReadRequest(t *testing.T) {
	read := func(target, host, id, body string) gateway.RequestDigest {
		s := &callerServer{protocol: testProtocol{}, spans: &telemetry.Spans{}, bodies: newBudget(64, bodyMemoryShare), digestKey: []byte("store")}
		s.limits.Store(&gateway.CallerLimits{MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10, IdleTimeout: time.Second})
		r := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
		r.Host = host
		r.Header.Set("X-Id", id)
		req, err := s.readRequest(httptest.NewRecorder(), r)
		if err != nil {
			t.Fatal(err)
		}
		return req.digest
	}
	base := read("/p/x?q=1", "h.example", "a1", "body")
	if base == 0 {
		t.Error("got digest 0, which means unknown")
	}
	if read("/p/x?q=1", "H.example", "a2", "body") != base {
		t.Error("the same request in another attempt has another digest")
	}
	if read("/p/x?q=2", "h.example", "a1", "body") == base || read("/p/x?q=1", "h.example", "a1", "bodz") == base {
		t.Error("a request with another query or body has the same digest")
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			body := bytes.Repeat([]byte{7}, size)
			b.ReportAllocs()
			for b.Loop() {
				requestDigest([]byte("127.0.0.1:7101"), http.MethodGet, "h.example", "/p/lookup?key=1234567890", "", body)
			}
		})
	}
}
