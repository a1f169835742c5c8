package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxLineBytes bounds the bytes kept of one log line.
const maxLineBytes = 1 << 20

// logLine is one line of an instance's log.
type logLine struct {
	Message string    `json:"message"`
	Time    string    `json:"timestamp"`
	Fields  logFields `json:"fields"`
}

// logFields are the fields of a log line that the report uses.
type logFields struct {
	Instance      string   `json:"instance"`
	Request       string   `json:"request"`
	Subject       string   `json:"subject"`
	Before        string   `json:"before"`
	After         string   `json:"after"`
	Route         string   `json:"route"`
	Outcome       string   `json:"outcome"`
	Reason        string   `json:"reason"`
	TookMS        float64  `json:"took_ms"`
	RetryAfterMS  float64  `json:"retry_after_ms"`
	Attempts      int      `json:"attempts"`
	Missing       int      `json:"missing"`
	Configuration uint64   `json:"configuration"`
	Delegated     bool     `json:"delegated"`
	Steps         []string `json:"steps"`
	StepsLeftOut  int      `json:"steps_left_out"`
	Suppressed    int      `json:"suppressed"`
}

// requestRecord is the log line that an instance wrote at the end of the
// request, with the instance's view at that time.
type requestRecord struct {
	file string
	end  logLine
	// viewChanges are the latest view changes that the instance logged before the
	// end of the request. They concern the subjects named in the steps, the store
	// and the instance itself.
	viewChanges []logLine
	// suppressed is the number of lines up to the end of the request that the
	// instance did not write because of its log rate limits.
	suppressed int
}

// readProblem describes a file, or a part of one, that could not be read.
type readProblem struct {
	file    string
	message string
}

// readLog finds the records of the request in one log. It skips lines that it
// cannot parse and reports their number as a problem.
func readLog(name string, r io.Reader, request string) (records []requestRecord, problems []readProblem) {
	latest := make(map[string]logLine) // view changes by subject and message
	suppressed, unparsed, truncated := 0, 0, false
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		raw, err := readLine(in)
		if len(raw) > 0 {
			var l logLine
			if json.Unmarshal(raw, &l) != nil || l.Message == "" {
				unparsed++
				truncated = errors.Is(err, io.EOF)
			} else {
				suppressed += l.Fields.Suppressed
				switch {
				case l.Fields.Request == request:
					records = append(records, requestRecord{file: name, end: l, viewChanges: relevantChanges(latest, l.Fields.Steps), suppressed: suppressed})
				case l.Fields.Request == "" && l.Fields.Subject != "":
					latest[l.Fields.Subject+"\x00"+l.Message] = l
				}
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			problems = append(problems, readProblem{name, err.Error()})
			break
		}
	}
	if truncated {
		unparsed--
		problems = append(problems, readProblem{name, "the last line is cut off; the log may go on elsewhere"})
	}
	if unparsed > 0 {
		problems = append(problems, readProblem{name, fmt.Sprintf("%d lines are not log lines of galenadyked; they are left out", unparsed)})
	}
	return records, problems
}

// readLine returns the next line without its line end. A line longer than
// maxLineBytes is cut.
func readLine(in *bufio.Reader) ([]byte, error) {
	var text []byte
	for {
		chunk, isPrefix, err := in.ReadLine()
		if len(text) < maxLineBytes {
			text = append(text, chunk...)
		}
		if err != nil || !isPrefix {
			if err == nil {
				if _, peekErr := in.Peek(1); peekErr != nil {
					err = peekErr
				}
			}
			return text, err
		}
	}
}

// relevantChanges returns the latest view changes that concern the subjects named
// in the steps, the store and the instance itself.
func relevantChanges(latest map[string]logLine, steps []string) []logLine {
	allSteps := strings.Join(steps, "\n")
	var changes []logLine
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		l := latest[key]
		if l.Fields.Subject == l.Fields.Instance || l.Fields.Subject == "store" || strings.Contains(allSteps, " "+l.Fields.Subject+":") {
			changes = append(changes, l)
		}
	}
	return changes
}
