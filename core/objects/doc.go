// Package objects defines the objects that operators publish: places, target
// groups, routes, orders (sequences in which places leave and return to
// service) and limits. Together they form a Set, the configuration of the tier.
//
// A set is loaded, checked, and accepted or refused as a whole. A *Set that has
// passed the check must not be changed any more and may be shared between
// goroutines.
package objects
