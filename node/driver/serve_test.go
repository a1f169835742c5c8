package driver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"google.golang.org/grpc"
)

// Guards against a server that counts as failed after it was stopped on purpose, and
// against a failure that is not reported.
func TestServeErrorIgnoresOrderedStops(t *testing.T) {
	for _, err := range []error{nil, http.ErrServerClosed, grpc.ErrServerStopped, fmt.Errorf("accept: %w", net.ErrClosed)} {
		if got := ServeError("peers", err); got != nil {
			t.Errorf("ServeError of an ordered stop (%v): got %v, want nil", err, got)
		}
	}
	failure := errors.New("too many open files")
	if got := ServeError("peers", failure); !errors.Is(got, failure) {
		t.Errorf("ServeError of a failure: got %v, want an error that wraps it", got)
	}
}
