package gateway

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. A shorter remainder at the end of a
// part is ignored.
const RecordSize = 16

// answerGathered answers a request with the merged records of the parts answered so
// far.
func (g *Gateway) answerGathered(r *request) {
	out := Answer{Kind: AnswerGathered, Missing: len(r.parts) - r.answeredParts}
	parts := slices.Clone(r.mergedRecords)
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partAnswered {
			out.Stamps = append(out.Stamps, p.answer.Stamp)
			parts = append(parts, p.answer.Records)
		}
	}
	out.Records = greatestRecords(parts, r.route.TopK)
	g.answer(r, out)
}

// greatestRecords returns the k greatest records of the parts in descending order,
// compared byte by byte. Duplicates are kept.
func greatestRecords(parts [][]byte, k int) []byte {
	var records [][]byte
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			records = append(records, p[:RecordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(k, len(records))]
	return bytes.Join(records, nil)
}
