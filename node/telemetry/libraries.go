package telemetry

import (
	"io"
	"sync"

	klog "github.com/go-kratos/kratos/v2/log"
	"google.golang.org/grpc/grpclog"
)

// QuietLibraries discards the log output of libraries for the whole process. Their
// lines would mix with those of the log, which holds one JSON object per line.
var QuietLibraries = sync.OnceFunc(func() {
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, io.Discard))
})
