// Package serve runs the HTTP servers of a stand-in process together.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Group is a set of HTTP servers that end together. The zero value is empty.
type Group struct{ servers []*http.Server }

// Serve serves the listener until the group ends.
func (g *Group) Serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // a stand-in that serves in part would mislead a test
		}
	}()
}

// Shutdown waits for requests in progress, until ctx ends.
func (g *Group) Shutdown(ctx context.Context) {
	for _, server := range g.servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

// Close ends all servers at once.
func (g *Group) Close() {
	for _, server := range g.servers {
		_ = server.Close()
	}
}
