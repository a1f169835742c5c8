// Package serve runs the HTTP servers of one test bed process.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Group is a set of HTTP servers that are shut down together. The zero value is
// an empty group.
type Group struct{ servers []*http.Server }

// Serve serves HTTP on l in the background until Shutdown or Close. If the
// server ends for any other reason, the process panics.
func (g *Group) Serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // a test would draw wrong conclusions from a partly available process
		}
	}()
}

// Shutdown stops accepting connections and waits for requests in progress. When
// ctx ends, it closes the remaining connections.
func (g *Group) Shutdown(ctx context.Context) {
	for _, server := range g.servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

// Close closes all servers and their connections at once.
func (g *Group) Close() {
	for _, server := range g.servers {
		_ = server.Close()
	}
}
