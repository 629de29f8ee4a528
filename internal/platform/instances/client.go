// Package instances is the HTTP client of the platform's instance list.
package instances

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/platform/call"
)

// Client implements galenalatch.InstanceList.
type Client struct {
	caller *call.Caller
}

var _ galenalatch.InstanceList = (*Client)(nil)

// New returns a client that makes its calls through c.
func New(c *call.Caller) *Client {
	return &Client{caller: c}
}

// List implements galenalatch.InstanceList.
func (c *Client) List(ctx context.Context) ([]galenalatch.Instance, error) {
	resp, err := c.caller.Do(ctx, call.Request{Method: http.MethodGet, Path: "instances"})
	if err != nil {
		return nil, err
	}
	var list struct {
		Instances []galenalatch.Instance `json:"instances"`
	}
	if err := json.Unmarshal(resp.Body, &list); err != nil {
		return nil, galenalatch.KindPlatformDown.Errorf("instance list: %w", err)
	}
	return list.Instances, nil
}
