package objects

import (
	"fmt"
	"strings"
	"unicode"
)

// Code is the stable identifier of a kind of finding. Scripts may rely on it;
// messages may change.
type Code string

// The codes of findings.
const (
	CodeUnreadable       Code = "unreadable"          // file or directory cannot be read
	CodeNoObjects        Code = "no-objects"          // nothing to load
	CodeSyntax           Code = "syntax"              // not valid JSON, or nested too deep
	CodeWrongType        Code = "wrong-type"          // another JSON type is needed
	CodeUnknownKind      Code = "unknown-kind"        // object of a kind that does not exist
	CodeUnknownField     Code = "unknown-field"       // field that the kind does not have
	CodeRepeatedField    Code = "repeated-field"      // field given twice in one object
	CodeMissingField     Code = "missing-field"       // required field left out
	CodeBadName          Code = "bad-name"            // name outside the permitted form
	CodeDuplicateName    Code = "duplicate-name"      // two objects of a kind with one name
	CodeDuplicateEntry   Code = "duplicate-entry"     // list names the same thing twice
	CodeDuplicateAddress Code = "duplicate-address"   // two targets with one address
	CodeBadAddress       Code = "bad-address"         // not an IP number and port
	CodeBadUnit          Code = "bad-unit"            // duration without a unit or with a wrong one
	CodeBadValue         Code = "bad-value"           // value outside a fixed choice
	CodeOutOfRange       Code = "out-of-range"        // number, share or duration outside its range
	CodeBrokenReference  Code = "broken-reference"    // reference to an object that is not in the set
	CodeRouteToNowhere   Code = "route-to-nowhere"    // route without groups or without targets
	CodeNoRoutes         Code = "no-routes"           // set that would serve nobody
	CodeNothingInService Code = "nothing-in-service"  // route whose targets are all out or draining
	CodeBookingGroups    Code = "booking-groups"      // booking route with other than one group
	CodeMixedServices    Code = "mixed-services"      // search route over groups of several services
	CodeEmptyOrder       Code = "empty-order"         // order without steps
	CodeUselessStep      Code = "useless-step"        // leave of a place that is out, or the reverse
	CodePlaceInTwoOrders Code = "place-in-two-orders" // two orders move one place
	CodeSeveralLimits    Code = "several-limits"      // more than one limits object
	CodeTooLarge         Code = "too-large"           // canonical form over MaxSetBytes
	CodeBadGeneration    Code = "bad-generation"      // generation missing or out of range
	CodeDigestMismatch   Code = "digest-mismatch"     // digest is not that of the contents
	CodeNotCanonical     Code = "not-canonical"       // bundle differs from its canonical form
)

// Finding is one reason to refuse a set.
type Finding struct {
	Code Code `json:"code"`
	// File and Line say where the object was read from. They are empty for a
	// bundle and for a set made in code.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Object is the kind and the name of the object, for example
	// "route crew-board". It is empty if the finding is about the whole set.
	Object string `json:"object,omitempty"`
	// Field is the path in the object, for example targets[1].address.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns one line: place, object, field, message, remedy and code.
func (f Finding) String() string {
	var parts []string
	switch {
	case f.File != "" && f.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d", f.File, f.Line))
	case f.File != "":
		parts = append(parts, f.File)
	}
	subject := strings.TrimSpace(f.Object + " " + f.Field)
	if subject != "" {
		parts = append(parts, subject)
	}
	parts = append(parts, f.Message+"; "+f.Remedy+" ["+string(f.Code)+"]")
	return printable(strings.Join(parts, ": "))
}

// CheckError says that a set was refused.
type CheckError struct {
	// Findings has at least one entry.
	Findings []Finding
}

// Error returns all findings, one a line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// printable replaces control characters, which a name in a faulty file may
// hold, so that a finding stays on its line.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}
