package target

import (
	"encoding/json"
	"net/http"
	"slices"

	"galenadyke.dev/testbed/units"
)

// Change is the body of a request that changes targets at run time. Absent
// fields leave their settings unchanged.
type Change struct {
	// Targets lists the names of the targets to change; empty means all
	// targets of the process.
	Targets []string `json:"targets,omitempty"`
	// Freeze withholds all answers, health reports included, until a change
	// sets it to false. Requests that were admitted earlier are still answered
	// when their deadline passes.
	Freeze *bool `json:"freeze,omitempty"`
	// Down starts a new, cold incarnation, resets all connections and refuses
	// new ones until a change sets it to false.
	Down *bool `json:"down,omitempty"`
	// RestartCold starts a new, cold incarnation. With Quiet, connections and
	// running requests are kept, so that only the incarnation number reveals
	// the restart.
	RestartCold bool           `json:"restart_cold,omitempty"`
	Quiet       bool           `json:"quiet,omitempty"`
	Drain       *bool          `json:"drain,omitempty"`        // refuse new requests and report draining
	Straggler   *float64       `json:"straggler,omitempty"`    // new value of Config.StragglerFactor
	Truncate    *bool          `json:"truncate,omitempty"`     // answer searches with only half of the partitions
	LoseAnswers *int           `json:"lose_answers,omitempty"` // number of answers to drop after their requests have run
	Link        *Link          `json:"link,omitempty"`
	Report      *Report        `json:"report,omitempty"`
	Service     *Service       `json:"service,omitempty"`
	AddVersion  *Version       `json:"add_version,omitempty"`  // replaces a version that is already held
	Retire      uint64         `json:"retire,omitempty"`       // version to remove
	RestartTime units.Duration `json:"restart_time,omitempty"` // time without connections after RestartCold, unless Quiet
}

// MarkRequest sets the label under which later requests are counted.
type MarkRequest struct {
	Label string `json:"label"`
}

// control returns the handler of the control endpoint.
func (s *Server) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/change", func(w http.ResponseWriter, r *http.Request) {
		var c Change
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, name := range c.Targets {
			if !slices.ContainsFunc(s.targets, func(t *target) bool { return t.name == name }) {
				http.Error(w, "no target "+name, http.StatusNotFound)
				return
			}
		}
		s.forEach(c.Targets, func(t *target) { t.apply(c) })
	})
	mux.HandleFunc("POST /v1/mark", func(w http.ResponseWriter, r *http.Request) {
		var m MarkRequest
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.forEach(nil, func(t *target) {
			t.mu.Lock()
			t.markLabel = m.Label
			t.mu.Unlock()
		})
	})
	mux.HandleFunc("POST /v1/reset", func(http.ResponseWriter, *http.Request) {
		s.forEach(nil, func(t *target) {
			t.mu.Lock()
			t.counts = newCounts()
			t.mu.Unlock()
		})
	})
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

// Counts returns the counts of all targets in the order of the configuration.
func (s *Server) Counts() AllCounts {
	var all AllCounts
	s.forEach(nil, func(t *target) { all.Targets = append(all.Targets, t.currentCounts()) })
	return all
}

// forEach calls f for the named targets, or for all targets if names is empty.
func (s *Server) forEach(names []string, f func(*target)) {
	for _, t := range s.targets {
		if len(names) == 0 || slices.Contains(names, t.name) {
			f(t)
		}
	}
}

func (t *target) apply(c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Freeze != nil {
		t.setFrozen(*c.Freeze)
	}
	if c.Down != nil {
		t.setDown(*c.Down)
	}
	if c.RestartCold {
		t.restart(c.RestartTime.D(), !c.Quiet)
	}
	setIfPresent(&t.draining, c.Drain)
	setIfPresent(&t.cfg.StragglerFactor, c.Straggler)
	setIfPresent(&t.truncate, c.Truncate)
	setIfPresent(&t.answersToLose, c.LoseAnswers)
	setIfPresent(&t.cfg.Link, c.Link)
	setIfPresent(&t.cfg.Report, c.Report)
	setIfPresent(&t.cfg.Service, c.Service)
	if c.AddVersion != nil {
		t.versions[c.AddVersion.Version] = *c.AddVersion
	}
	delete(t.versions, c.Retire)
}

// setIfPresent copies *from to *to unless from is nil.
func setIfPresent[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func (t *target) setFrozen(frozen bool) {
	select {
	case <-t.unfrozen:
		if frozen {
			t.unfrozen = make(chan struct{})
		}
	default:
		if !frozen {
			close(t.unfrozen)
		}
	}
}

// setDown(true) restarts the target and refuses connections to its new
// incarnation until setDown(false).
func (t *target) setDown(down bool) {
	if down {
		t.restart(0, true)
	}
	t.ln.setDown(down)
}
