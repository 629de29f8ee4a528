// Package object is the HTTP client of the platform's object store.
package object

import (
	"context"
	"net/http"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
)

// Client implements galenalatch.ObjectStore over HTTP. Its methods may be
// called concurrently.
type Client struct {
	client *httpclient.Client
}

var _ galenalatch.ObjectStore = (*Client)(nil)

// New returns a client that makes its calls through c.
func New(c *httpclient.Client) *Client {
	return &Client{client: c}
}

// Get implements galenalatch.ObjectStore. An empty key is an error of
// KindPlatformDown.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	if key == "" {
		return nil, galenalatch.KindPlatformDown.Errorf("object store: key is empty")
	}
	resp, err := c.client.Do(ctx, httpclient.Request{Method: http.MethodGet, Path: "objects/" + httpclient.Escape(key)})
	return resp.Body, err
}

// Put implements galenalatch.ObjectStore. An empty key is an error of
// KindPlatformDown.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	if key == "" {
		return galenalatch.KindPlatformDown.Errorf("object store: key is empty")
	}
	_, err := c.client.Do(ctx, httpclient.Request{Method: http.MethodPut, Path: "objects/" + httpclient.Escape(key),
		Body: append([]byte{}, value...), Write: true})
	return err
}
