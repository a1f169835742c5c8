package gateway

import (
	"bytes"
	"slices"
)

// RecordSize is the size of one record of a part, in bytes. A shorter remainder
// of a part is not a record.
const RecordSize = 16

// answerGathered merges the parts that are in.
func (g *Gateway) answerGathered(r *request) {
	out := Answer{Kind: AnswerGathered, Missing: len(r.parts) - r.answeredParts}
	parts := make([][]byte, 0, r.answeredParts)
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partAnswered {
			out.Stamps = append(out.Stamps, p.answer.Stamp)
			parts = append(parts, p.answer.Records)
		}
	}
	out.Records = greatestRecords(parts, r.route.TopK)
	g.answer(r, out)
}

// greatest returns the k greatest records of the parts, greatest first, compared
// byte by byte. Equal records all count.
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
