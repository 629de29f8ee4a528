// Package instances is the HTTP client of the platform's instance list.
package instances

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
)

// Client implements galenalatch.InstanceList over HTTP. Its methods may be
// called concurrently.
type Client struct {
	client *httpclient.Client

	// The newest list is kept for responses with status 304, which have no
	// body. A list of 1,000 instances has more than 100 KB, and every router
	// reads it each second.
	mu   sync.Mutex
	tag  string
	list []galenalatch.Instance
}

var _ galenalatch.InstanceList = (*Client)(nil)

// New returns a client that makes its calls through c.
func New(c *httpclient.Client) *Client {
	return &Client{client: c}
}

// List implements galenalatch.InstanceList. The returned list is shared between
// calls and must not be changed.
func (c *Client) List(ctx context.Context) ([]galenalatch.Instance, error) {
	q := httpclient.Request{Method: http.MethodGet, Path: "instances", Header: http.Header{}}
	c.mu.Lock()
	tag, known := c.tag, c.list
	c.mu.Unlock()
	if tag != "" {
		q.Header.Set("If-None-Match", tag)
	}
	resp, err := c.client.Do(ctx, q)
	if err != nil {
		return nil, err
	}
	if resp.Status == http.StatusNotModified {
		return known, nil
	}
	var list struct {
		Instances []galenalatch.Instance `json:"instances"`
	}
	if err := json.Unmarshal(resp.Body, &list); err != nil {
		return nil, galenalatch.KindPlatformDown.Errorf("instance list: %w", err)
	}
	c.mu.Lock()
	c.tag, c.list = resp.Header.Get("ETag"), list.Instances
	c.mu.Unlock()
	return list.Instances, nil
}
