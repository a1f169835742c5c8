package api

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/core/objects"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/telemetry"
)

// Guards against a connection that is kept for the rest of a body whose call was refused.
func TestRefusedCallDoesNotWaitForItsBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Metrics: telemetry.NewMetrics(), Memory: memory.NewBudget(1 << 20)}, l.(*net.TCPListener))
	ended := make(chan error, 1)
	go func() { ended <- s.Start() }()
	defer func() {
		_ = s.http.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/search HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nx", 2*objects.DefaultLimits().MaxBodyBytes)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	answer, err := io.ReadAll(c)
	if want := fmt.Sprintf("HTTP/1.1 %d", http.StatusRequestEntityTooLarge); err != nil || !strings.HasPrefix(string(answer), want) {
		t.Errorf("got error %v, answer %.40q, want %s and then the close", err, answer, want)
	}
}
