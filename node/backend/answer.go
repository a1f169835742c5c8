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
	// MaxAnswerBytes bounds the answer of a target. A query over 85 targets
	// then needs at most 340 MB, which only a faulty target comes near to.
	MaxAnswerBytes = 4 << 20
	// maxReportBytes bounds a health report: two versions with 10,000
	// partitions each take about 120 KB.
	maxReportBytes = 1 << 20
)

type loadForm struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// model clamps the figures, because a target may state anything and the
// protocol between instances refuses numbers out of range.
func (l loadForm) model() model.TargetLoad {
	clamp := func(n int) int { return min(math.MaxInt32, max(0, n)) }
	return model.TargetLoad{InFlight: clamp(l.InFlight), Queued: clamp(l.Queued)}
}

// answerForm is the JSON form of an answer (design 4.1). Pointers tell fields
// that are missing from zero values.
type answerForm struct {
	Snapshot    *uint64         `json:"snapshot"`
	Partitions  *[]uint32       `json:"partitions"`
	Truncated   bool            `json:"truncated"`
	Incarnation *uint64         `json:"incarnation"`
	Load        loadForm        `json:"load"`
	Result      json.RawMessage `json:"result"`
}

// refusalForm is the JSON form of a refusal before execution.
type refusalForm struct {
	Execution   string   `json:"execution"`
	Reason      string   `json:"reason"`
	Incarnation uint64   `json:"incarnation"`
	Load        loadForm `json:"load"`
}

type versionForm struct {
	Version    uint64   `json:"version"`
	Total      int      `json:"total"`
	Partitions []uint32 `json:"partitions"`
}

type reportForm struct {
	Incarnation *uint64       `json:"incarnation"`
	Draining    bool          `json:"draining"`
	Load        loadForm      `json:"load"`
	Versions    []versionForm `json:"versions"`
}

// readAll reads at most limit bytes.
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

var errTooLarge = errors.New("answer is too large")

// decodeAnswer reads the body of a 200. Unknown fields are ignored, so that
// targets can add some.
func decodeAnswer(raw []byte, search bool) (model.TargetAnswer, error) {
	var form answerForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return model.TargetAnswer{}, err
	}
	switch {
	case form.Incarnation == nil:
		return model.TargetAnswer{}, errors.New("answer lacks incarnation")
	case form.Result == nil:
		return model.TargetAnswer{}, errors.New("answer lacks result")
	case search && form.Snapshot == nil:
		return model.TargetAnswer{}, errors.New("answer lacks snapshot")
	case search && form.Partitions == nil:
		return model.TargetAnswer{}, errors.New("answer lacks partitions")
	}
	answer := model.TargetAnswer{
		Truncated:   form.Truncated,
		Incarnation: model.Incarnation(*form.Incarnation),
		Load:        form.Load.model(),
		Body:        form.Result,
	}
	if search {
		answer.Snapshot = model.SnapshotVersion(*form.Snapshot)
		answer.Partitions = sortedSet(*form.Partitions)
	}
	return answer, nil
}

// decodeRefusal reads the body of a 503 or 409, and reports whether it states
// that nothing was executed.
func decodeRefusal(raw []byte) (model.TargetAnswer, bool) {
	var form refusalForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return model.TargetAnswer{}, false
	}
	answer := model.TargetAnswer{Incarnation: model.Incarnation(form.Incarnation), Load: form.Load.model()}
	return answer, form.Execution == model.NotRun.String()
}

func decodeReport(raw []byte) (model.TargetReport, error) {
	var form reportForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return model.TargetReport{}, err
	}
	if form.Incarnation == nil {
		return model.TargetReport{}, errors.New("report lacks incarnation")
	}
	report := model.TargetReport{
		Incarnation: model.Incarnation(*form.Incarnation),
		Draining:    form.Draining,
		Load:        form.Load.model(),
	}
	for _, v := range form.Versions {
		partitions := sortedSet(v.Partitions)
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

// sortedSet sorts in place and drops duplicates.
func sortedSet(p []uint32) []uint32 {
	slices.Sort(p)
	return slices.Compact(p)
}
