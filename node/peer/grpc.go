package peer

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// keepaliveTime is the time without activity after which gRPC pings the peer.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is the time without an acknowledgement of a ping after which
	// the connection is closed, so that outdated frames are not delivered when a
	// network partition heals.
	keepaliveTimeout = 2 * time.Second
	// connectTimeout is the time that gRPC gives one attempt to connect. A call that
	// waits longer is of no use to a query.
	connectTimeout = time.Second
	// maxBackoff bounds the delay between attempts to connect, and so how long a
	// restarted instance can stay unreachable.
	maxBackoff = 500 * time.Millisecond
	// ioBufferBytes is the size of the read buffer of each connection: about 2 MB
	// in total for 510 connections.
	ioBufferBytes = 4 << 10
)

// Dial returns a client for another instance. gRPC connects at the first call and
// reconnects with backoff. Retries are disabled, except for gRPC's transparent retry
// of a refused stream, which has no switch (see the package comment).
func Dial(address string, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithReadBufferSize(ioBufferBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
	}, opts...)...)
}

// NewGRPCServer returns a server for other instances that accepts messages of up
// to maxMessageBytes. It serves on listeners of the guard.
func NewGRPCServer(maxMessageBytes int, guard *Guard, opts ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append([]grpc.ServerOption{
		grpc.StatsHandler(guard),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxHeaderListSize(maxCallHeadBytes),
		grpc.MaxConcurrentStreams(maxCallsPerConnection),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(ioBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	}, opts...)...)
}
