// Package client calls the HTTP interface of an instance, as a caller does.
//
// A call that fails returns an *Error, which tells whether the request was not
// run or may have run.
package client
