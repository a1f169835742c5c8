package gateway

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"galenadyke.dev/core/gateway"
)

// requestDigest returns the digest of a request: an HMAC-SHA-256 truncated to 64 bits. The
// key keeps callers from finding requests with equal digests. target is the request target
// with its query.
func requestDigest(key []byte, method, host, target, organisation string, body []byte) gateway.RequestDigest {
	h := hmac.New(sha256.New, key)
	// The lengths delimit the pieces.
	head := make([]byte, 0, 256)
	for _, piece := range [...]string{method, strings.ToLower(host), target, organisation} {
		head = binary.LittleEndian.AppendUint64(head, uint64(len(piece)))
		head = append(head, piece...)
	}
	h.Write(head)
	h.Write(body)
	var sum [sha256.Size]byte
	d := gateway.RequestDigest(binary.LittleEndian.Uint64(h.Sum(sum[:0])))
	return max(1, d) // 0 means unknown
}
