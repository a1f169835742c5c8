package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one attempt of a client and its answer.
type attempt struct {
	id, instance string
	sentAt       time.Time
	took         time.Duration
	status       int // 0 if the connection ended without an answer
	stamp        string
	body         string
	err          error
}

func newAttemptID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send makes one attempt.
func send(hc *http.Client, in *instance, method, host, path, body string, limit time.Duration) attempt {
	a := attempt{id: newAttemptID(), instance: in.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.callers+path, reader)
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.GetBody = nil // the client library must not send it again
	req.Host = host
	req.Header.Set("Galenadyke-Attempt-Id", a.id)
	req.Header.Set("Galenadyke-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	resp, err := hc.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	a.status, a.stamp, a.body, a.err, a.took = resp.StatusCode, resp.Header.Get("Galenadyke-Server-Stamp"), string(raw), err, time.Since(a.sentAt)
	if err != nil {
		a.status = 0
	}
	return a
}

// newClient returns a client that keeps connections open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// traffic sends requests at a steady rate to the instances in turn until stop is closed, and
// returns all attempts.
func traffic(instances []*instance, perSecond int, stop <-chan struct{}, one func(hc *http.Client, in *instance) attempt) []attempt {
	hc := newClient()
	var mu sync.Mutex
	var all []attempt
	var wait sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wait.Wait()
			return all
		case <-tick.C:
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := one(hc, instances[n%len(instances)])
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		}()
	}
}
