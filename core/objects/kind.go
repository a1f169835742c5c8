package objects

import "regexp"

// Kind is the kind of a published object, as written in its field "kind".
type Kind string

// The kinds of object.
const (
	KindPlace  Kind = "place"
	KindGroup  Kind = "target_group"
	KindRoute  Kind = "route"
	KindOrder  Kind = "order"
	KindLimits Kind = "limits"
)

// kindTarget is used in findings and changes; a target is published inside
// its group.
const kindTarget Kind = "target"

// maxNameLength bounds names, in bytes. Names appear in headers, log lines and
// tables.
const maxNameLength = 63

// namePattern is the form of every name. It needs no escape in JSON, URLs and
// HTTP headers.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

func validName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}
