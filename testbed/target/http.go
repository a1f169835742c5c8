package target

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

type loadReport struct {
	InFlight int `json:"in_flight"` // requests that hold a slot
	Queued   int `json:"queued"`    // requests that wait for a slot
}

type healthAnswer struct {
	Incarnation uint64     `json:"incarnation"`
	Draining    bool       `json:"draining"`
	Load        loadReport `json:"load"`
	Versions    []Version  `json:"versions"`
}

type searchAnswer struct {
	Snapshot    uint64     `json:"snapshot"`
	Partitions  []uint32   `json:"partitions"`
	Truncated   bool       `json:"truncated"`
	Incarnation uint64     `json:"incarnation"`
	Load        loadReport `json:"load"`
	Result      Result     `json:"result"`
}

type bookingAnswer struct {
	Incarnation uint64     `json:"incarnation"`
	Load        loadReport `json:"load"`
	Result      Result     `json:"result"`
}

type refusalAnswer struct {
	Execution   string     `json:"execution"`
	Reason      refusal    `json:"reason"`
	Incarnation uint64     `json:"incarnation"`
	Load        loadReport `json:"load"`
}

// Result is the part of an answer that the tier passes to the caller. It
// echoes the request, so that a test can check that a caller got the answer to
// its own request.
type Result struct {
	Target    string          `json:"target"`
	RequestID string          `json:"request_id"`
	BookingID string          `json:"booking_id,omitempty"`
	Echo      json.RawMessage `json:"echo"`
}

// handler serves searches, bookings and health reports.
func (t *target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", func(w http.ResponseWriter, r *http.Request) { t.serveRequest(w, r, true) })
	mux.HandleFunc("POST /v1/book", func(w http.ResponseWriter, r *http.Request) { t.serveRequest(w, r, false) })
	mux.HandleFunc("GET /v1/health", t.serveHealth)
	return mux
}

func (t *target) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), t.linkDelay()) || !t.awaitUnfrozen(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	h := t.health()
	if !sleep(r.Context(), t.linkDelay()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, h)
}

func (t *target) serveRequest(w http.ResponseWriter, r *http.Request, search bool) {
	arrived := time.Now()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	req, problem := parseRequest(r, arrived, search)
	if problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	if !sleep(r.Context(), t.linkDelay()) {
		panic(http.ErrAbortHandler) // the request was cancelled before it reached the target
	}
	req.crashes = t.cfg.CrashBody != "" && bytes.Contains(body, []byte(t.cfg.CrashBody))
	out := t.execute(req)
	returnDelay := t.linkDelay()
	if out.end == endedCancelled || out.end == endedRestart || out.end == endedAnswerLost || !sleep(r.Context(), returnDelay) {
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, req, out, body)
}

// parseRequest reads the headers of a request. A non-empty problem describes
// an invalid header.
func parseRequest(r *http.Request, arrived time.Time, search bool) (req request, problem string) {
	req = request{ctx: r.Context(), search: search, bookingID: r.Header.Get("X-Booking-Id")}
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return req, "X-Deadline-Ms is not a number"
		}
		req.deadline = arrived.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	if search {
		snapshot, err := strconv.ParseUint(r.Header.Get("X-Snapshot"), 10, 64)
		if err != nil {
			return req, "X-Snapshot is missing or not a number"
		}
		req.snapshot = snapshot
	} else if req.bookingID == "" {
		return req, "X-Booking-Id is missing"
	}
	return req, ""
}

func (t *target) answer(w http.ResponseWriter, r *http.Request, req request, out outcome, body []byte) {
	if out.refusal != refusedNone {
		status := http.StatusServiceUnavailable
		if out.refusal == refusedVersion {
			status = http.StatusConflict
		}
		writeJSON(w, status, refusalAnswer{Execution: "not_run", Reason: out.refusal, Incarnation: out.incarnation, Load: out.load})
		return
	}
	if out.end == endedExpired {
		http.Error(w, "deadline passed while the request ran", http.StatusGatewayTimeout)
		return
	}
	result := Result{Target: t.name, RequestID: r.Header.Get("X-Request-Id"), BookingID: req.bookingID, Echo: echo(body)}
	if !req.search {
		writeJSON(w, http.StatusOK, bookingAnswer{Incarnation: out.incarnation, Load: out.load, Result: result})
		return
	}
	partitions := out.version.Partitions
	if out.truncate {
		partitions = partitions[:len(partitions)/2]
	}
	writeJSON(w, http.StatusOK, searchAnswer{
		Snapshot: req.snapshot, Partitions: partitions, Truncated: out.truncate,
		Incarnation: out.incarnation, Load: out.load, Result: result,
	})
}

// echo returns the body as JSON: unchanged if it is valid JSON, else as a JSON
// string.
func echo(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the client closed the connection
}
