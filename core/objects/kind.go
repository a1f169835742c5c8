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

// kindTarget is the kind of a target in changes. It is not a published kind,
// because a target is published inside its group.
const kindTarget Kind = "target"

// maxNameBytes is the greatest length of a name, in bytes. It is short because
// names appear in headers, log lines and tables.
const maxNameBytes = 63

// namePattern is the form of every name. Names of this form need no escaping in
// JSON, URLs and HTTP headers.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

func validName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}
