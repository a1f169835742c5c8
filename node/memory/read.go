package memory

import (
	"errors"
	"io"
)

// firstBuffer is the size of the first buffer for a body, in bytes. A longer announced length
// is not allocated before its bytes arrive.
const firstBuffer = 4 << 10

// ErrTooLong is the error of a body over its own limit.
var ErrTooLong = errors.New("the body is over its limit")

// ReadAll reads a body of at most limit bytes. size is the announced length, or -1. The bytes
// stay in the hold.
func ReadAll(r io.Reader, size, limit int64, hold *Hold) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLong
	}
	if size == 0 {
		return nil, hold.Finish()
	}
	first := int64(firstBuffer)
	if size > 0 {
		first = min(size+1, first) // one byte more, to see the end without growing
	}
	if err := hold.Grow(first); err != nil {
		return nil, err
	}
	body := make([]byte, 0, first)
	for {
		if len(body) == cap(body) {
			if err := hold.Grow(int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return body, hold.Finish()
		case err != nil && hold.Aborted():
			return nil, &ExceededError{hold.budget.limit}
		case err != nil:
			return nil, err
		}
	}
}
