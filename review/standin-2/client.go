package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client attempt got.
type answer struct {
	status     int // 0 without an answer
	retryAfter time.Duration
	err        error
}

// send makes one client attempt on a new connection.
func (l *lab) send(in *instance, method, host, path, attempt, body string, timeout time.Duration) answer {
	// MultiReader hides the type of the reader, so that net/http can't send the body twice.
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", in.ip, in.ports.front, path), io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return answer{err: err}
	}
	req.ContentLength = int64(len(body))
	req.Host = host
	req.Header.Set("Galenadyke-Attempt-Id", attempt)
	req.Header.Set("Galenadyke-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	l.rec.add("client attempt %s: %s %s to %s", attempt, method, path, in.name)
	resp, err := client.Do(req)
	if err != nil {
		l.rec.add("client attempt %s: no answer, %s", attempt, errorText(err))
		return answer{err: err}
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, err: err}
	if seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	l.rec.add("client attempt %s: status %d, stamp %q, Retry-After %q", attempt, resp.StatusCode,
		resp.Header.Get("Galenadyke-Server-Stamp"), resp.Header.Get("Retry-After"))
	return a
}
