package backend

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"galenadyke.dev/core/model"
)

const (
	// MaxAnswerBytes bounds the answer from a target. The answers to a query over 85
	// targets take at most 340 MB, which only faulty targets come near.
	MaxAnswerBytes = 4 << 20
	// maxReportBytes bounds a health report. A report of two snapshot versions with
	// 10,000 partitions each takes about 120 KB.
	maxReportBytes = 1 << 20
)

// loadJSON is the load that a target states in its answers and reports.
type loadJSON struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// targetLoad returns the load with both numbers clamped to 0 to MaxInt32. A target may
// state any number, and the protocol between instances refuses numbers out of range.
func (l loadJSON) targetLoad() model.TargetLoad {
	clamp := func(n int) int { return min(math.MaxInt32, max(0, n)) }
	return model.TargetLoad{InFlight: clamp(l.InFlight), Queued: clamp(l.Queued)}
}

// answerJSON is the body of an answer (design section 4.1). Pointers distinguish
// missing fields from zero values.
type answerJSON struct {
	Snapshot    *uint64         `json:"snapshot"`
	Partitions  *[]uint32       `json:"partitions"`
	Truncated   bool            `json:"truncated"`
	Incarnation *uint64         `json:"incarnation"`
	Load        loadJSON        `json:"load"`
	Result      json.RawMessage `json:"result"`
}

// refusalJSON is the body of a refusal before execution.
type refusalJSON struct {
	Execution   string   `json:"execution"`
	Reason      string   `json:"reason"`
	Incarnation uint64   `json:"incarnation"`
	Load        loadJSON `json:"load"`
}

// versionJSON lists the partitions of one snapshot version that a target holds.
type versionJSON struct {
	Version    uint64   `json:"version"`
	Total      int      `json:"total"`
	Partitions []uint32 `json:"partitions"`
}

// reportJSON is the body of a health report.
type reportJSON struct {
	Incarnation *uint64       `json:"incarnation"`
	Draining    bool          `json:"draining"`
	Load        loadJSON      `json:"load"`
	Versions    []versionJSON `json:"versions"`
}

// readAll reads r to its end. The size is the Content-Length, or -1 if unknown.
// readAll returns errTooLarge if there are more than limit bytes.
func readAll(r io.Reader, size int64, limit int) ([]byte, error) {
	var buf bytes.Buffer
	if size > 0 && size <= int64(limit) {
		buf.Grow(int(size) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if n > int64(limit) {
		return nil, errTooLarge
	}
	return buf.Bytes(), nil
}

var errTooLarge = errors.New("answer exceeds the size limit")

// decodeAnswer decodes the body of a response with status 200. The answer to a search
// must state its snapshot and partitions. Unknown fields are ignored, so that targets
// can add fields.
func decodeAnswer(raw []byte, search bool) (model.TargetAnswer, error) {
	var body answerJSON
	if err := json.Unmarshal(raw, &body); err != nil {
		return model.TargetAnswer{}, err
	}
	switch {
	case body.Incarnation == nil:
		return model.TargetAnswer{}, errors.New("answer lacks incarnation")
	case body.Result == nil:
		return model.TargetAnswer{}, errors.New("answer lacks result")
	case search && body.Snapshot == nil:
		return model.TargetAnswer{}, errors.New("answer lacks snapshot")
	case search && body.Partitions == nil:
		return model.TargetAnswer{}, errors.New("answer lacks partitions")
	}
	answer := model.TargetAnswer{
		Truncated:   body.Truncated,
		Incarnation: model.Incarnation(*body.Incarnation),
		Load:        body.Load.targetLoad(),
		Body:        body.Result,
	}
	if search {
		answer.Snapshot = model.SnapshotVersion(*body.Snapshot)
		answer.Partitions = sortUnique(*body.Partitions)
	}
	return answer, nil
}

// decodeRefusal decodes the body of a response with status 503 or 409. It reports
// whether the body states that nothing was executed.
func decodeRefusal(raw []byte) (model.TargetAnswer, bool) {
	var body refusalJSON
	if err := json.Unmarshal(raw, &body); err != nil {
		return model.TargetAnswer{}, false
	}
	answer := model.TargetAnswer{Incarnation: model.Incarnation(body.Incarnation), Load: body.Load.targetLoad()}
	return answer, body.Execution == model.NotRun.String()
}

// decodeReport decodes and checks a health report. It sorts the versions.
func decodeReport(raw []byte) (model.TargetReport, error) {
	var body reportJSON
	if err := json.Unmarshal(raw, &body); err != nil {
		return model.TargetReport{}, err
	}
	if body.Incarnation == nil {
		return model.TargetReport{}, errors.New("report lacks incarnation")
	}
	report := model.TargetReport{
		Incarnation: model.Incarnation(*body.Incarnation),
		Draining:    body.Draining,
		Load:        body.Load.targetLoad(),
	}
	for _, v := range body.Versions {
		partitions := sortUnique(v.Partitions)
		if v.Total < len(partitions) || v.Total <= 0 || v.Total > math.MaxInt32 {
			return model.TargetReport{}, fmt.Errorf("version %d states %d partitions and a total of %d", v.Version, len(partitions), v.Total)
		}
		report.Versions = append(report.Versions, model.VersionReport{
			Version: model.SnapshotVersion(v.Version), Total: v.Total, Partitions: partitions,
		})
	}
	slices.SortFunc(report.Versions, func(a, b model.VersionReport) int {
		return cmp.Compare(a.Version, b.Version)
	})
	for i := 1; i < len(report.Versions); i++ {
		if report.Versions[i].Version == report.Versions[i-1].Version {
			return model.TargetReport{}, fmt.Errorf("version %d is reported twice", report.Versions[i].Version)
		}
	}
	return report, nil
}

// sortUnique sorts a slice in place and removes duplicates.
func sortUnique(p []uint32) []uint32 {
	slices.Sort(p)
	return slices.Compact(p)
}
