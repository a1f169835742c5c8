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

// maxValueBytes is the largest value of the configuration service. A longer
// body is refused, not cut.
const maxValueBytes = 1 << 20

// maxListBytes bounds the instance list: 510 entries of about 2 KB each, four
// times over.
const maxListBytes = 4 << 20

// answerTime is what an answer may take beyond the time of the watch. The
// service answers in milliseconds.
const answerTime = time.Second

// client makes blocking queries (index, wait) to one base URL.
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
	// index is to be passed to the next query. It is 0, which reads at once, if
	// the service's index has gone back, as it does after its data was restored.
	index uint64
	// changed is false if the watch ended without news.
	changed bool
	// found is false if there is no such key.
	found bool
	body  []byte
}

// get makes one blocking query of at most wait.
func (c client) get(ctx context.Context, path string, query url.Values, index uint64, wait time.Duration, limit int64) (answer, error) {
	if index > 0 {
		query.Set("index", strconv.FormatUint(index, 10))
		query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10)+"ms")
	}
	// Consul adds up to wait/16 to spread the answers.
	ctx, cancel := context.WithTimeout(ctx, wait+wait/16+answerTime)
	defer cancel()
	target := c.base + path
	if len(query) > 0 {
		// The parameter "raw" takes no value.
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
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

func readAnswer(resp *http.Response, index uint64, limit int64) (answer, error) {
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return answer{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	// A 404 of the service also has an index; one of anything else has not.
	now, err := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return answer{}, fmt.Errorf("status %d without X-Consul-Index; the URL may lead to another service", resp.StatusCode)
	}
	a := answer{index: now, changed: now != index || index == 0, found: resp.StatusCode == http.StatusOK}
	if now < index {
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
