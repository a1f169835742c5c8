package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxBodyBytes bounds what a target reads of a request.
const maxBodyBytes = 1 << 20

type loadReport struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
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
// echoes the request, so that a test can see whose answer a caller got.
type Result struct {
	Target    string          `json:"target"`
	RequestID string          `json:"request_id"`
	BookingID string          `json:"booking_id,omitempty"`
	Echo      json.RawMessage `json:"echo"`
}

// handler serves the targets' protocol.
func (t *target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", func(w http.ResponseWriter, r *http.Request) { t.serveWork(w, r, true) })
	mux.HandleFunc("POST /v1/book", func(w http.ResponseWriter, r *http.Request) { t.serveWork(w, r, false) })
	mux.HandleFunc("GET /v1/health", t.serveHealth)
	return mux
}

func (t *target) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), t.linkTime()) || !t.awaitThaw(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	h := t.health()
	if !sleep(r.Context(), t.linkTime()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, h)
}

func (t *target) serveWork(w http.ResponseWriter, r *http.Request, search bool) {
	arrived := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	job, problem := readWork(r, arrived, search)
	if problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	if !sleep(r.Context(), t.linkTime()) {
		panic(http.ErrAbortHandler) // it never arrived
	}
	out := t.do(job)
	back := t.linkTime()
	if out.end == endedGone || out.end == endedLife || out.end == endedLost || !sleep(r.Context(), back) {
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, job, out, body)
}

// readWork reads the headers of a request.
func readWork(r *http.Request, arrived time.Time, search bool) (job work, problem string) {
	job = work{ctx: r.Context(), search: search, bookingID: r.Header.Get("X-Booking-Id")}
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return job, "X-Deadline-Ms is not a number"
		}
		job.deadline = arrived.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	if search {
		snapshot, err := strconv.ParseUint(r.Header.Get("X-Snapshot"), 10, 64)
		if err != nil {
			return job, "X-Snapshot is missing or not a number"
		}
		job.snapshot = snapshot
	} else if job.bookingID == "" {
		return job, "X-Booking-Id is missing"
	}
	return job, ""
}

func (t *target) answer(w http.ResponseWriter, r *http.Request, job work, out outcome, body []byte) {
	if out.refused != refusedNone {
		status := http.StatusServiceUnavailable
		if out.refused == refusedVersion {
			status = http.StatusConflict
		}
		writeJSON(w, status, refusalAnswer{Execution: "not_run", Reason: out.refused, Incarnation: out.life, Load: out.load})
		return
	}
	if out.end == endedExpired {
		http.Error(w, "deadline passed while the request ran", http.StatusGatewayTimeout)
		return
	}
	result := Result{Target: t.name, RequestID: r.Header.Get("X-Request-Id"), BookingID: job.bookingID, Echo: echo(body)}
	if !job.search {
		writeJSON(w, http.StatusOK, bookingAnswer{Incarnation: out.life, Load: out.load, Result: result})
		return
	}
	partitions := out.version.Partitions
	if out.truncate {
		partitions = partitions[:len(partitions)/2]
	}
	writeJSON(w, http.StatusOK, searchAnswer{
		Snapshot: job.snapshot, Partitions: partitions, Truncated: out.truncate,
		Incarnation: out.life, Load: out.load, Result: result,
	})
}

// echo returns the body as JSON, as a string if it is not JSON itself.
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
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}
