// Package backend sends work to targets over HTTP.
//
// What it reports about a request must be true: NotRun only if no byte of the
// request was handed to the kernel or the target itself refused it. It
// therefore watches the writes on each connection (see conn), and it uses
// http.Transport directly, because http.Client follows redirects with the body.
package backend
