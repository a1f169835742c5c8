package gateway

import (
	"context"
	"fmt"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// A panic in the handling of one message, attempt or call ends only that: it is logged with
// its stack, counted, and the attempt or call fails as one that may have run. net/http does
// the same for callers' requests. A panic of the core ends the process, as its state can't be
// trusted afterwards; the platform starts it again.

// protect calls f and reports whether it panicked. task names what f does, for the log.
func (d *Daemon) protect(task string, f func()) (panicked bool) {
	defer func() {
		if v := recover(); v != nil {
			panicked = true
			d.metrics.PanicRecovered(task)
			d.log.Error("PanicRecovered", map[string]any{"subject": d.settings.Instance, "task": task, "panic": fmt.Sprint(v), "stack": string(debug.Stack())})
		}
	}()
	f()
	return false
}

// errPanicked is the error of a call of another instance whose handling panicked.
var errPanicked = status.Error(codes.Internal, "internal error; the log of the instance has the line PanicRecovered")

// protectUnary is a grpc.UnaryServerInterceptor.
func (d *Daemon) protectUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
	if d.protect(info.FullMethod, func() { resp, err = handler(ctx, req) }) {
		return nil, errPanicked
	}
	return resp, err
}

// protectStream is a grpc.StreamServerInterceptor.
func (d *Daemon) protectStream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	if d.protect(info.FullMethod, func() { err = handler(srv, stream) }) {
		return errPanicked
	}
	return err
}
