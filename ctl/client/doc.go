// Package client calls the HTTP interface of an instance, as a caller does.
//
// The calls return every failure as an *Error, which says whether the request
// did not run, ran or may have run.
package client
