package trace

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"galenadyke.dev/core/model"
)

// Outcome is a list of statements about the outputs of a trace. Its text form has one
// statement on each line; empty lines and lines that begin with # are skipped:
//
//	answer call 3 not_run TargetOut
//	answer call 4 ran coverage 4/6
//	once SendTarget booking a.1.7
//	never SendTarget target desk-1 after 4.2s
//	some SendPeer message LeadRelease before 2s
//	some Event name ConfigAccepted
//
// answer says that the call got exactly one answer, with the given execution and, if
// stated, the given kind of error and coverage. The execution of an answer without an
// error is ran. once, some and never say that exactly one, at least one or no output of
// the type has the given field values. after and before limit the statement to outputs
// from or up to the given time, which counts from the first record.
type Outcome struct {
	statements []*statement
}

// statement is one line of an Outcome, with what Observe has found for it so far.
type statement struct {
	lineNumber int
	text       string
	keyword    string // answer, once, some or never
	outputType string // name of a type of model.Output; empty for answer
	conditions []condition
	// after and before bound the time since the first record; before is 0 if there
	// is no upper bound.
	after, before time.Duration
	count         int      // matching outputs, or answers to the call
	mismatches    []string // differences between the answers and the statement
}

// condition is a field of an output and the expected text of its value. The field is
// named as in package model or, in an answer statement, call (always the first),
// execution, kind or coverage.
type condition struct{ field, value string }

// conditionFields maps the field names that a statement may use to the fields of
// the outputs.
var conditionFields = map[string]string{
	"target": "Target", "call": "Call", "booking": "BookingID", "to": "To",
	"request": "RequestID", "snapshot": "Snapshot", "name": "Name", "subject": "Subject",
	"value": "After", "ready": "Ready", "hedge": "Hedge", "message": "Message",
}

// ParseOutcome parses the text form of an Outcome. It returns an error if a line is not a
// valid statement, if there is no statement, or if r fails.
func ParseOutcome(r io.Reader) (*Outcome, error) {
	o := &Outcome{}
	scanner := bufio.NewScanner(r)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		s, err := parseStatement(strings.Fields(text))
		if err != nil {
			return nil, fmt.Errorf("line %d: %q: %w", lineNumber, text, err)
		}
		s.lineNumber, s.text = lineNumber, text
		o.statements = append(o.statements, s)
	}
	if len(o.statements) == 0 && scanner.Err() == nil {
		return nil, fmt.Errorf("the outcome has no statements")
	}
	return o, scanner.Err()
}

func parseStatement(tokens []string) (*statement, error) {
	s := &statement{keyword: tokens[0]}
	switch s.keyword {
	case "answer":
		return s, s.parseAnswer(tokens[1:])
	case "once", "some", "never":
		return s, s.parseOutput(tokens[1:])
	}
	return nil, fmt.Errorf("a statement must begin with answer, once, some or never")
}

func (s *statement) parseAnswer(tokens []string) error {
	if len(tokens) < 3 || tokens[0] != "call" {
		return fmt.Errorf("want answer call <number> <execution> [<kind>] [coverage <n>/<total>]")
	}
	if _, err := strconv.ParseUint(tokens[1], 10, 64); err != nil {
		return fmt.Errorf("%q is not a call number", tokens[1])
	}
	s.conditions = append(s.conditions, condition{"call", tokens[1]})
	if !slices.Contains([]string{"ran", "not_run", "unknown"}, tokens[2]) {
		return fmt.Errorf("%q is not an execution; want ran, not_run or unknown", tokens[2])
	}
	s.conditions = append(s.conditions, condition{"execution", tokens[2]})
	optional := tokens[3:]
	if len(optional) > 0 && optional[0] != "coverage" {
		if !knownKind(optional[0]) {
			return fmt.Errorf("%q is not a kind of error", optional[0])
		}
		s.conditions = append(s.conditions, condition{"kind", optional[0]})
		optional = optional[1:]
	}
	if len(optional) == 2 && optional[0] == "coverage" {
		s.conditions = append(s.conditions, condition{"coverage", optional[1]})
		optional = nil
	}
	if len(optional) > 0 {
		return fmt.Errorf("unexpected word %q", optional[0])
	}
	return nil
}

// knownKind reports whether name is the name of a kind of error.
func knownKind(name string) bool {
	for k := model.KindBadRequest; k < 1000; k++ {
		if k.String() == name && !strings.HasPrefix(name, "Kind") {
			return true
		}
	}
	return false
}

func (s *statement) parseOutput(tokens []string) error {
	if len(tokens)%2 == 0 {
		return fmt.Errorf("want %s <output> [<field> <value>]... [after <time>] [before <time>]", s.keyword)
	}
	s.outputType = tokens[0]
	goType, ok := outputTypes[s.outputType]
	if !ok {
		return fmt.Errorf("%q is not a type of output", s.outputType)
	}
	for i := 1; i < len(tokens); i += 2 {
		key, value := tokens[i], tokens[i+1]
		if key == "after" || key == "before" {
			d, err := time.ParseDuration(value)
			if err != nil || d <= 0 {
				return fmt.Errorf("%q is not a positive duration", value)
			}
			if key == "after" {
				s.after = d
			} else {
				s.before = d
			}
			continue
		}
		fieldName, ok := conditionFields[key]
		if !ok {
			return fmt.Errorf("%q is not a field", key)
		}
		if _, ok := goType.FieldByName(fieldName); !ok {
			return fmt.Errorf("%s has no field %s", s.outputType, key)
		}
		if _, known := messageTypes[value]; key == "message" && !known {
			return fmt.Errorf("%q is not a type of peer message", value)
		}
		s.conditions = append(s.conditions, condition{fieldName, value})
	}
	return nil
}

// Observe checks the statements against the outputs of a tick. The time at is
// counted from the first record.
func (o *Outcome) Observe(at time.Duration, outputs []model.Output) {
	for _, out := range outputs {
		for _, s := range o.statements {
			s.observe(at, out)
		}
	}
}

func (s *statement) observe(at time.Duration, out model.Output) {
	if s.keyword == "answer" {
		s.observeAnswer(out)
		return
	}
	v := reflect.ValueOf(out)
	if v.Type().Name() != s.outputType || at < s.after || s.before > 0 && at > s.before {
		return
	}
	for _, c := range s.conditions {
		f := v.FieldByName(c.field)
		text := fmt.Sprint(f.Interface())
		if c.field == "Message" {
			text = f.Elem().Type().Name()
		}
		if text != c.value {
			return
		}
	}
	s.count++
}

func (s *statement) observeAnswer(out model.Output) {
	var call model.CallID
	var err *model.Error
	got := map[string]string{"execution": model.Ran.String()}
	switch out := out.(type) {
	case model.SearchAnswer:
		call, err = out.Call, out.Error
		got["coverage"] = fmt.Sprintf("%d/%d", out.Searched, out.Total)
	case model.BookAnswer:
		call, err = out.Call, out.Error
	case model.BookingIDs:
		call, err = out.Call, out.Error
	default:
		return
	}
	if fmt.Sprint(uint64(call)) != s.conditions[0].value {
		return
	}
	s.count++
	if err != nil {
		got["execution"], got["kind"] = err.Execution.String(), err.Kind.String()
	}
	for _, c := range s.conditions[1:] {
		if got[c.field] != c.value {
			s.mismatches = append(s.mismatches, fmt.Sprintf("%s is %q", c.field, got[c.field]))
		}
	}
}

// Failures returns a line for each statement that does not hold for the outputs seen so far.
func (o *Outcome) Failures() []string {
	var failures []string
	for _, s := range o.statements {
		if reason := s.failure(); reason != "" {
			failures = append(failures, fmt.Sprintf("line %d: %s: %s", s.lineNumber, s.text, reason))
		}
	}
	return failures
}

// failure says why the statement does not hold. It is empty if the statement holds.
func (s *statement) failure() string {
	switch {
	case len(s.mismatches) > 0:
		return strings.Join(s.mismatches, ", ")
	case s.keyword == "never" && s.count > 0, (s.keyword == "once" || s.keyword == "answer") && s.count != 1:
		return fmt.Sprintf("found %d times", s.count)
	case s.keyword == "some" && s.count == 0:
		return "not found"
	}
	return ""
}
