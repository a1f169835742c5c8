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

// Outcome is what must be true of the outputs of a trace. Its text form has one
// statement in each line; empty lines and lines that begin with # are skipped:
//
//	answer call 3 not_run TargetOut
//	answer call 4 ran coverage 4/6
//	once SendTarget booking a.1.7
//	never SendTarget target desk-1 after 4.2s
//	some SendPeer message LeadRelease before 2s
//	some Event name ConfigAccepted
//
// answer says that the call got exactly one answer, with this execution and, if
// given, this kind of error or coverage. An answer without an error counts as
// ran. once, some and never count the outputs of a type whose fields have the
// given values; after and before bound the time since the first record.
type Outcome struct {
	statements []*statement
}

type statement struct {
	line  int
	text  string
	word  string // answer, once, some or never
	kind  string // type of output
	match []condition
	// after and before bound the time; before is 0 if there is no bound.
	after, before time.Duration
	count         int
	wrong         []string // answers that are not as stated
}

// condition is a field and the text of its value.
type condition struct{ field, value string }

// fields are the conditions that a statement may have, with the name of the
// field of the output.
var fields = map[string]string{
	"target": "Target", "call": "Call", "booking": "BookingID", "to": "To",
	"request": "RequestID", "snapshot": "Snapshot", "name": "Name", "subject": "Subject",
	"value": "After", "ready": "Ready", "hedge": "Hedge", "message": "Message",
}

// ParseOutcome reads the text form. It refuses a line that it does not know.
func ParseOutcome(r io.Reader) (*Outcome, error) {
	o := &Outcome{}
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		s, err := parseStatement(strings.Fields(text))
		if err != nil {
			return nil, fmt.Errorf("line %d: %q: %w", n, text, err)
		}
		s.line, s.text = n, text
		o.statements = append(o.statements, s)
	}
	if len(o.statements) == 0 && scanner.Err() == nil {
		return nil, fmt.Errorf("the outcome has no statement")
	}
	return o, scanner.Err()
}

func parseStatement(words []string) (*statement, error) {
	s := &statement{word: words[0]}
	switch s.word {
	case "answer":
		return s, s.parseAnswer(words[1:])
	case "once", "some", "never":
		return s, s.parseOutput(words[1:])
	}
	return nil, fmt.Errorf("begin with answer, once, some or never")
}

func (s *statement) parseAnswer(words []string) error {
	if len(words) < 3 || words[0] != "call" {
		return fmt.Errorf("write answer call <number> <execution> [<kind>] [coverage <n>/<total>]")
	}
	if _, err := strconv.ParseUint(words[1], 10, 64); err != nil {
		return fmt.Errorf("%q is not a call", words[1])
	}
	s.match = append(s.match, condition{"call", words[1]})
	if !slices.Contains([]string{"ran", "not_run", "unknown"}, words[2]) {
		return fmt.Errorf("%q is not an execution", words[2])
	}
	s.match = append(s.match, condition{"execution", words[2]})
	rest := words[3:]
	if len(rest) > 0 && rest[0] != "coverage" {
		if !knownKind(rest[0]) {
			return fmt.Errorf("%q is not a kind of error", rest[0])
		}
		s.match = append(s.match, condition{"kind", rest[0]})
		rest = rest[1:]
	}
	if len(rest) == 2 && rest[0] == "coverage" {
		s.match = append(s.match, condition{"coverage", rest[1]})
		rest = nil
	}
	if len(rest) > 0 {
		return fmt.Errorf("%q is not known", rest[0])
	}
	return nil
}

// knownKind reports whether a kind of error has the name.
func knownKind(name string) bool {
	for k := model.KindBadRequest; k < 1000; k++ {
		if k.String() == name && !strings.HasPrefix(name, "Kind") {
			return true
		}
	}
	return false
}

func (s *statement) parseOutput(words []string) error {
	if len(words)%2 == 0 {
		return fmt.Errorf("write %s <output> [<field> <value>]... [after <time>] [before <time>]", s.word)
	}
	s.kind = words[0]
	t, ok := outputTypes[s.kind]
	if !ok {
		return fmt.Errorf("%q is not an output", s.kind)
	}
	for i := 1; i < len(words); i += 2 {
		name, value := words[i], words[i+1]
		if name == "after" || name == "before" {
			d, err := time.ParseDuration(value)
			if err != nil || d <= 0 {
				return fmt.Errorf("%q is not a time", value)
			}
			if name == "after" {
				s.after = d
			} else {
				s.before = d
			}
			continue
		}
		path, ok := fields[name]
		if !ok {
			return fmt.Errorf("%q is not a field", name)
		}
		if _, ok := t.FieldByName(path); !ok {
			return fmt.Errorf("%s has no %s", s.kind, name)
		}
		if _, known := messageTypes[value]; name == "message" && !known {
			return fmt.Errorf("%q is not a message", value)
		}
		s.match = append(s.match, condition{path, value})
	}
	return nil
}

// See takes the outputs of a tick.
func (o *Outcome) See(at time.Duration, outputs []model.Output) {
	for _, out := range outputs {
		for _, s := range o.statements {
			s.see(at, out)
		}
	}
}

func (s *statement) see(at time.Duration, out model.Output) {
	if s.word == "answer" {
		s.seeAnswer(out)
		return
	}
	v := reflect.ValueOf(out)
	if v.Type().Name() != s.kind || at < s.after || s.before > 0 && at > s.before {
		return
	}
	for _, c := range s.match {
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

func (s *statement) seeAnswer(out model.Output) {
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
	if fmt.Sprint(uint64(call)) != s.match[0].value {
		return
	}
	s.count++
	if err != nil {
		got["execution"], got["kind"] = err.Execution.String(), err.Kind.String()
	}
	for _, c := range s.match[1:] {
		if got[c.field] != c.value {
			s.wrong = append(s.wrong, fmt.Sprintf("%s is %q", c.field, got[c.field]))
		}
	}
}

// Failures returns a line for each statement that does not hold.
func (o *Outcome) Failures() []string {
	var list []string
	for _, s := range o.statements {
		if why := s.failure(); why != "" {
			list = append(list, fmt.Sprintf("line %d: %s: %s", s.line, s.text, why))
		}
	}
	return list
}

func (s *statement) failure() string {
	switch {
	case len(s.wrong) > 0:
		return strings.Join(s.wrong, ", ")
	case s.word == "never" && s.count > 0, (s.word == "once" || s.word == "answer") && s.count != 1:
		return fmt.Sprintf("found %d times", s.count)
	case s.word == "some" && s.count == 0:
		return "not found"
	}
	return ""
}
