package target

import (
	"encoding/json"
	"net/http"
	"slices"

	"galenadyke.dev/testbed/units"
)

// Change changes targets at run time. Fields that are absent change nothing.
type Change struct {
	// Targets lists the targets to change; all of the process if empty.
	Targets []string `json:"targets,omitempty"`
	// Freeze stops all answers, health reports included, until it is false.
	Freeze *bool `json:"freeze,omitempty"`
	// Down resets and refuses all connections until it is false.
	Down *bool `json:"down,omitempty"`
	// RestartCold begins a new cold life. With Quiet it keeps connections and
	// running work, so that only the incarnation shows it.
	RestartCold bool           `json:"restart_cold,omitempty"`
	Quiet       bool           `json:"quiet,omitempty"`
	Drain       *bool          `json:"drain,omitempty"`
	Straggler   *float64       `json:"straggler,omitempty"` // factor
	Truncate    *bool          `json:"truncate,omitempty"`
	LoseAnswers *int           `json:"lose_answers,omitempty"` // number of answers
	Link        *Link          `json:"link,omitempty"`
	Report      *Report        `json:"report,omitempty"`
	Service     *Service       `json:"service,omitempty"`
	AddVersion  *Version       `json:"add_version,omitempty"` // also repartitions
	Retire      uint64         `json:"retire,omitempty"`      // version
	RestartTime units.Duration `json:"restart_time,omitempty"`
}

// MarkRequest names the counter for the requests that arrive from now on.
type MarkRequest struct {
	Label string `json:"label"`
}

// control serves the control endpoint of a process.
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
		s.each(c.Targets, func(t *target) { t.change(c) })
	})
	mux.HandleFunc("POST /v1/mark", func(w http.ResponseWriter, r *http.Request) {
		var m MarkRequest
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.each(nil, func(t *target) {
			t.mu.Lock()
			t.mark = m.Label
			t.mu.Unlock()
		})
	})
	mux.HandleFunc("POST /v1/reset", func(http.ResponseWriter, *http.Request) {
		s.each(nil, func(t *target) {
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

// Counts returns the counts of all targets, in the order of the settings.
func (s *Server) Counts() AllCounts {
	var all AllCounts
	s.each(nil, func(t *target) { all.Targets = append(all.Targets, t.snapshot()) })
	return all
}

func (s *Server) each(names []string, f func(*target)) {
	for _, t := range s.targets {
		if len(names) == 0 || slices.Contains(names, t.name) {
			f(t)
		}
	}
}

func (t *target) change(c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Freeze != nil {
		t.freeze(*c.Freeze)
	}
	if c.Down != nil {
		t.setDown(*c.Down)
	}
	if c.RestartCold {
		t.restart(c.RestartTime.D(), !c.Quiet)
	}
	assign(&t.draining, c.Drain)
	assign(&t.cfg.StragglerFactor, c.Straggler)
	assign(&t.truncate, c.Truncate)
	assign(&t.loseNext, c.LoseAnswers)
	assign(&t.cfg.Link, c.Link)
	assign(&t.cfg.Report, c.Report)
	assign(&t.cfg.Service, c.Service)
	if c.AddVersion != nil {
		t.versions[c.AddVersion.Version] = *c.AddVersion
	}
	delete(t.versions, c.Retire)
}

func assign[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func (t *target) freeze(on bool) {
	select {
	case <-t.thawed:
		if on {
			t.thawed = make(chan struct{})
		}
	default:
		if !on {
			close(t.thawed)
		}
	}
}

// setDown ends the present life, or accepts connections to a new one.
func (t *target) setDown(down bool) {
	if down {
		t.restart(0, true)
	}
	t.conn.setDown(down)
}
