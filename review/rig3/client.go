package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"
)

// host is the name that the routes of the rig have.
const host = "ficu95.example"

// call is one request of a client.
type call struct {
	gateway *gateway
	method  string
	path    string
	key     string
	header  map[string]string
	body    string
}

// answer is what a client got.
type answer struct {
	request string
	sent    time.Time
	status  int
	err     error
	body    string
}

// client sends requests over connections that it keeps.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

func newID() string {
	var b [8]byte
	// The reader of crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends a request once and returns its answer.
func (r *rig) send(ctx context.Context, c call) answer {
	a := answer{request: newID(), sent: time.Now()}
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.gateway.caller+c.path, strings.NewReader(c.body))
	if err != nil {
		a.err = err
		return a
	}
	q.Host = host
	q.Header.Set("Attempt-Id", a.request)
	q.Header.Set("Deadline-Ms", "10000")
	if c.key != "" {
		q.Header.Set("Authorization", "Token "+c.key)
	}
	for k, v := range c.header {
		q.Header.Set(k, v)
	}
	// Without GetBody the transport does not repeat a request with a body.
	q.GetBody = nil
	r.record("client sends %s to %s %s%s, key %q", a.request, c.gateway.name, host, c.path, c.key)
	response, err := client.Do(q)
	if err != nil {
		a.err = err
		r.record("client gets no answer to %s: %v", a.request, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	a.body, a.err = string(body), err
	r.record("client gets %d for %s, seal %q, %d bytes, error %v", a.status, a.request, response.Header.Get("Response-Seal"), len(body), err)
	return a
}
