// Package objects defines the named objects that operators publish and the
// set that they form: places, target groups, routes, the order in which places
// leave and return, and limits.
//
// A set is loaded, checked and accepted as one. A *Set that Check has passed
// is immutable and may be shared between goroutines.
package objects
