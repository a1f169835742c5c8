package telemetry

import (
	"io"
	"sync"

	klog "github.com/go-kratos/kratos/v2/log"
	"google.golang.org/grpc/grpclog"
)

// QuietLibraries stops libraries from writing lines of their own between those
// of the log, which holds one JSON object a line. Their loggers belong to the
// process.
var QuietLibraries = sync.OnceFunc(func() {
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, io.Discard))
})
