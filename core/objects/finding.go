package objects

import (
	"fmt"
	"strings"
	"unicode"
)

// Code is the identifier of a kind of finding. Codes are stable, so that scripts
// may rely on them; messages may change.
type Code string

// The codes of findings.
const (
	CodeUnreadable       Code = "unreadable"          // file or directory that cannot be read
	CodeNoObjects        Code = "no-objects"          // no object in any of the files
	CodeSyntax           Code = "syntax"              // not valid JSON, or nested too deep
	CodeWrongType        Code = "wrong-type"          // value of the wrong JSON type
	CodeUnknownKind      Code = "unknown-kind"        // object of a kind that does not exist
	CodeUnknownField     Code = "unknown-field"       // field that the kind does not have
	CodeRepeatedField    Code = "repeated-field"      // field given twice in one object
	CodeMissingField     Code = "missing-field"       // required field left out or empty
	CodeBadName          Code = "bad-name"            // name outside the permitted form
	CodeDuplicateName    Code = "duplicate-name"      // two objects of a kind, or two targets, with the same name
	CodeDuplicateEntry   Code = "duplicate-entry"     // list with the same entry twice
	CodeDuplicateAddress Code = "duplicate-address"   // two targets with the same address
	CodeBadAddress       Code = "bad-address"         // not an IP address and port of one target in plain form
	CodeBadUnit          Code = "bad-unit"            // duration without a unit, or not a duration
	CodeBadValue         Code = "bad-value"           // value that is not one of the permitted words
	CodeOutOfRange       Code = "out-of-range"        // number, share or duration outside its range
	CodeBrokenReference  Code = "broken-reference"    // reference to an object that is not in the set
	CodeRouteToNowhere   Code = "route-to-nowhere"    // route without groups, or group without targets
	CodeNoRoutes         Code = "no-routes"           // set without routes, which would refuse every call
	CodeNothingInService Code = "nothing-in-service"  // route whose targets are all out of service, now or after a step
	CodeBookingGroups    Code = "booking-groups"      // booking route with more than one group
	CodeMixedServices    Code = "mixed-services"      // search route with groups of several services
	CodeEmptyOrder       Code = "empty-order"         // order without steps
	CodeUselessStep      Code = "useless-step"        // leave of a place that is out, or return of a place that is not
	CodePlaceInTwoOrders Code = "place-in-two-orders" // place with steps in two orders
	CodeSeveralLimits    Code = "several-limits"      // more than one limits object
	CodeTooLarge         Code = "too-large"           // bundle or canonical form larger than MaxSetBytes
	CodeBadGeneration    Code = "bad-generation"      // generation that is not a whole number in range
	CodeDigestMismatch   Code = "digest-mismatch"     // digest that does not match the contents
	CodeNotCanonical     Code = "not-canonical"       // bundle that differs from its canonical form
)

// Finding is one reason to refuse a set.
type Finding struct {
	Code Code `json:"code"`
	// File and Line locate the fault in the source. Line counts from 1 and is 0
	// if it is not known. Both are empty for a bundle and for a set made in
	// code. If there are no objects, File holds the paths that were given,
	// separated by spaces.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Object is the kind and the name of the object, for example
	// "route crew-board". It is empty if the finding is about the whole set.
	Object string `json:"object,omitempty"`
	// Field is the path of the field in the object, for example
	// targets[1].address. It is empty if the finding is about the whole object.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns one line with file and line number, object, field, message,
// remedy and code.
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

// CheckError is the error of a set that was refused.
type CheckError struct {
	// Findings has at least one entry.
	Findings []Finding
}

// Error returns all findings, one per line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// printable replaces the characters that cannot be printed, such as a line
// break in a name, so that a finding stays on one line.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}
