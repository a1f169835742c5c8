package api

import (
	"encoding/json"
	"time"

	"galenadyke.dev/core/model"
)

// The JSON bodies of requests and responses, as in section 4.1 of the design.
// Pointers distinguish missing fields from zero values.
type (
	searchRequest struct {
		Route      string          `json:"route"`
		Query      json.RawMessage `json:"query"`
		DeadlineMs *float64        `json:"deadline_ms"`
	}
	bookRequest struct {
		Route      string          `json:"route"`
		BookingID  string          `json:"booking_id"`
		Booking    json.RawMessage `json:"booking"`
		DeadlineMs *float64        `json:"deadline_ms"`
	}
	bookingIDsRequest struct {
		Count *int `json:"count"`
	}

	searchResponse struct {
		RequestID string     `json:"request_id"`
		Snapshot  uint64     `json:"snapshot"`
		Coverage  coverage   `json:"coverage"`
		Parts     []part     `json:"parts"`
		Stats     statistics `json:"stats"`
		ElapsedMs float64    `json:"elapsed_ms"`
	}
	coverage struct {
		Searched int             `json:"searched"`
		Total    int             `json:"total"`
		Fraction float64         `json:"fraction"`
		Missing  []model.GroupID `json:"missing"`
	}
	part struct {
		Group  model.GroupID   `json:"group"`
		Target model.TargetID  `json:"target"`
		Result json.RawMessage `json:"result"`
	}
	statistics struct {
		SubRequests int `json:"sub_requests"`
		Hedges      int `json:"hedges"`
		Retries     int `json:"retries"`
		Restarts    int `json:"restarts"`
	}
	bookResponse struct {
		RequestID string          `json:"request_id"`
		BookingID string          `json:"booking_id"`
		Execution string          `json:"execution"`
		Target    model.TargetID  `json:"target"`
		Repeat    bool            `json:"repeat"`
		Result    json.RawMessage `json:"result"`
		ElapsedMs float64         `json:"elapsed_ms"`
	}
	bookingIDsResponse struct {
		BookingIDs []string `json:"booking_ids"`
		ValidMs    int64    `json:"valid_ms"`
	}
	errorResponse struct {
		RequestID string    `json:"request_id"`
		Error     errorBody `json:"error"`
	}
	errorBody struct {
		ID        string `json:"id"`
		Kind      string `json:"kind"`
		Execution string `json:"execution"`
		Message   string `json:"message"`
	}

	statusResponse struct {
		Instance       model.InstanceID `json:"instance"`
		Incarnation    uint64           `json:"incarnation"`
		Place          model.PlaceID    `json:"place"`
		Ready          bool             `json:"ready"`
		Reason         string           `json:"reason"`
		Generation     uint64           `json:"generation"`
		Digest         string           `json:"digest"`
		ConfirmedAgeMs float64          `json:"confirmed_age_ms"`
		Members        []memberStatus   `json:"members"`
		Targets        []targetStatus   `json:"targets"`
	}
	memberStatus struct {
		ID        model.InstanceID `json:"id"`
		Status    string           `json:"status"`
		Suspected bool             `json:"suspected"`
	}
	targetStatus struct {
		Name        model.TargetID   `json:"name"`
		Group       model.GroupID    `json:"group"`
		Lead        model.InstanceID `json:"lead"`
		Level       int              `json:"level"`
		Slots       int              `json:"slots"`
		Draining    bool             `json:"draining"`
		Out         bool             `json:"out"`
		Incarnation uint64           `json:"incarnation"`
	}
	readyResponse struct {
		Ready  bool   `json:"ready"`
		Reason string `json:"reason"`
	}
)

// unconfirmedAgeMs is the confirmed_age_ms of a set that was never confirmed.
const unconfirmedAgeMs = -1

func newSearchResponse(requestID string, a model.SearchAnswer, elapsed time.Duration) searchResponse {
	r := searchResponse{
		RequestID: requestID, Snapshot: uint64(a.Snapshot),
		Coverage: coverage{Searched: a.Searched, Total: a.Total, Missing: a.Missing},
		Parts:    make([]part, 0, len(a.Parts)),
		Stats: statistics{SubRequests: a.Stats.SubRequests, Hedges: a.Stats.Hedges,
			Retries: a.Stats.Retries, Restarts: a.Stats.Restarts},
		ElapsedMs: milliseconds(elapsed),
	}
	if r.Coverage.Missing == nil {
		r.Coverage.Missing = []model.GroupID{}
	}
	if a.Total > 0 {
		r.Coverage.Fraction = float64(a.Searched) / float64(a.Total)
	}
	for _, p := range a.Parts {
		r.Parts = append(r.Parts, part{Group: p.Group, Target: p.Target, Result: p.Body})
	}
	return r
}

func newStatusResponse(self model.CoreConfig, s model.Status) statusResponse {
	r := statusResponse{
		Instance: self.Self, Incarnation: uint64(self.Incarnation), Place: self.Place,
		Ready: s.Readiness.Ready, Reason: s.Readiness.Reason,
		Generation: s.Config.Order.Generation, Digest: s.Config.Order.Digest,
		ConfirmedAgeMs: unconfirmedAgeMs,
		Members:        make([]memberStatus, 0, len(s.Members)),
		Targets:        make([]targetStatus, 0, len(s.Targets)),
	}
	if s.Config.Confirmed {
		r.ConfirmedAgeMs = milliseconds(s.Config.ConfirmedAge)
	}
	for _, m := range s.Members {
		r.Members = append(r.Members, memberStatus{ID: m.ID, Status: memberStatusName(m.Status), Suspected: m.Suspected})
	}
	for _, t := range s.Targets {
		r.Targets = append(r.Targets, targetStatus{Name: t.Target, Group: t.Group, Lead: t.Lead, Level: t.Level,
			Slots: t.Slots, Draining: t.Draining, Out: t.Out, Incarnation: uint64(t.Incarnation)})
	}
	return r
}

func memberStatusName(s model.MemberStatus) string {
	switch s {
	case model.MemberServing:
		return "serving"
	case model.MemberDraining:
		return "draining"
	default:
		return "starting"
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
