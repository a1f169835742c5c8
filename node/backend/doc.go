// Package backend sends work to targets over HTTP.
//
// The package reports a request as NotRun only if no byte of the request was
// passed to the kernel, or if the target itself states that it refused the
// request. It therefore tracks the writes on each connection (see conn). It uses
// http.Transport directly, because http.Client follows redirects and sends the
// body again.
package backend
