package gateway_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"galenadyke.dev/node/gateway/gatewaypb"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/platform/platformtest"
)

// Guards against followers that are refused a large change because others get it at the same
// time: all of them are served, although the memory has room for a few.
func TestManyFollowersGetALargeChange(t *testing.T) {
	store := platformtest.NewStore(500)
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	store.Put("op/config", fmt.Sprintf(`{"version":1,"routes":[{"name":"one","hostname":"h","prefix":"/%s/","route_type":"safe",
"timeout_ms":5000,"target_latency_ms":4000,"priority":1,"service":"a","max_attempts":2}],"services":[{"name":"a","max_connections":9}],"limits":{}}`,
		strings.Repeat("x", 200<<10)))
	_, s := startDaemon(t, "front-0", "ikeja", storeServer.URL, func(s *settings.Gateway) { s.MemoryMB = 64 }) // room for 4 changes
	requestStore(t, s.PeerListen, 1)
	var followers sync.WaitGroup
	for range 64 {
		followers.Go(func() { requestStore(t, s.PeerListen, 200<<10) })
	}
	followers.Wait()
}

// requestStore asks an instance for the content of the store until it has at least minBytes.
func requestStore(t *testing.T, address string, minBytes int) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for size := 0; size < minBytes; size = 0 {
		stream, err := gatewaypb.NewGatewayClient(conn).Follow(ctx, &gatewaypb.FollowRequest{Once: true}, grpc.WaitForReady(true))
		var change *gatewaypb.Change
		if err == nil {
			change, err = stream.Recv()
		}
		if err != nil {
			t.Errorf("got error %v, want a change of %d bytes", err, minBytes)
			return
		}
		for _, i := range change.GetItems() {
			size += len(i.GetValue())
		}
		if size >= minBytes {
			return
		}
	}
}
