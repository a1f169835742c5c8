package driver

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"google.golang.org/grpc"
)

// ServeError returns nil if err is what a server's Serve method returns after it was
// stopped on purpose, and otherwise err prefixed with the name of the server.
func ServeError(server string, err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("%s server: %w", server, err)
}
