package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxValueBytes bounds a value in the configuration service. A longer body is an error
// and is not truncated.
const maxValueBytes = 1 << 20

// maxListBytes bounds the body of the instance list. It is four times the size of
// 510 entries of about 2 KB each.
const maxListBytes = 4 << 20

// answerTimeout is how long an answer may take beyond the wait of the query. Consul
// answers in milliseconds.
const answerTimeout = time.Second

// client makes Consul's blocking queries (parameters index and wait) to one base
// URL.
type client struct {
	base string
	http *http.Client
}

func newClient(base string) client {
	return client{base: base, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 90 * time.Second, DisableCompression: true},
		// A redirect may lead to a host name, which the tier never resolves.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// answer is the answer to a blocking query.
type answer struct {
	// index is the index to pass to the next query. If Consul's index has gone back, as
	// it does when its data is restored, index is 0, so that the next query returns at
	// once.
	index uint64
	// changed is false if the wait ended without a change.
	changed bool
	// found is false if the path does not exist (status 404).
	found bool
	body  []byte
}

// get makes one blocking query, which waits up to wait for a change after index. An
// index of 0 reads without waiting. A body of more than limit bytes is an error.
func (c client) get(ctx context.Context, path string, query url.Values, index uint64, wait time.Duration, limit int64) (answer, error) {
	if index > 0 {
		query.Set("index", strconv.FormatUint(index, 10))
		query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10)+"ms")
	}
	// Consul adds up to wait/16 to spread the answers.
	ctx, cancel := context.WithTimeout(ctx, wait+wait/16+answerTimeout)
	defer cancel()
	requestURL := c.base + path
	if len(query) > 0 {
		// Encode writes the parameter raw, which has no value, as "raw=".
		requestURL += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return answer{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	return readAnswer(resp, index, limit)
}

// readAnswer reads the answer to a query with the index.
func readAnswer(resp *http.Response, index uint64, limit int64) (answer, error) {
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return answer{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	// A 404 from Consul has an index too. A 404 from any other server has none.
	newIndex, err := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return answer{}, fmt.Errorf("status %d without X-Consul-Index; the URL may lead to another service", resp.StatusCode)
	}
	a := answer{index: newIndex, changed: newIndex != index || index == 0, found: resp.StatusCode == http.StatusOK}
	if newIndex < index {
		a.index = 0
	}
	if !a.found || !a.changed {
		return a, nil
	}
	a.body, err = io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, err
	}
	if int64(len(a.body)) > limit {
		return answer{}, fmt.Errorf("body is larger than %d bytes", limit)
	}
	return a, nil
}
