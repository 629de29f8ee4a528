// Package table is the HTTP client of the platform's table service.
package table

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
)

// Client implements galenalatch.Table over HTTP. Its methods may be called
// concurrently.
type Client struct {
	client *httpclient.Client
}

var _ galenalatch.Table = (*Client)(nil)

// New returns a client that makes its calls through c.
func New(c *httpclient.Client) *Client {
	return &Client{client: c}
}

// row is the JSON form of galenalatch.Row.
type row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Tag   string `json:"tag"`
}

// write is the JSON form of galenalatch.Write.
type write struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Delete   bool   `json:"delete,omitempty"`
	IfTag    string `json:"ifTag,omitempty"`
	IfAbsent bool   `json:"ifAbsent,omitempty"`
}

// result is the JSON form of the result of one write of a batch. Status is an
// HTTP status code.
type result struct {
	Status int `json:"status"`
	Row    row `json:"row"`
}

// Get implements galenalatch.Table. An empty key is an error of
// KindPlatformDown.
func (c *Client) Get(ctx context.Context, key string) (galenalatch.Row, error) {
	if key == "" {
		return galenalatch.Row{}, emptyKeyError()
	}
	resp, err := c.client.Do(ctx, httpclient.Request{Method: http.MethodGet, Path: "table/" + httpclient.Escape(key)})
	if err != nil {
		return galenalatch.Row{}, err
	}
	return galenalatch.Row{Key: key, Value: resp.Body, Tag: resp.Tag()}, nil
}

// List implements galenalatch.Table. A response that cannot be decoded is an
// error of KindPlatformDown.
func (c *Client) List(ctx context.Context, prefix string) ([]galenalatch.Row, error) {
	resp, err := c.client.Do(ctx, httpclient.Request{Method: http.MethodGet, Path: "table?prefix=" + url.QueryEscape(prefix)})
	if err != nil {
		return nil, err
	}
	var list struct {
		Rows []row `json:"rows"`
	}
	if err := json.Unmarshal(resp.Body, &list); err != nil {
		return nil, galenalatch.KindPlatformDown.Errorf("list of rows with prefix %q: %w", prefix, err)
	}
	return toRows(list.Rows), nil
}

// Put implements galenalatch.Table. An empty key is an error of
// KindPlatformDown. The returned row of a deletion has the value of w.
func (c *Client) Put(ctx context.Context, w galenalatch.Write) (galenalatch.Row, error) {
	if w.Key == "" {
		return galenalatch.Row{}, emptyKeyError()
	}
	q := httpclient.Request{Method: http.MethodPut, Path: "table/" + httpclient.Escape(w.Key), Header: http.Header{}, Write: true}
	if w.Delete {
		q.Method = http.MethodDelete
	} else {
		q.Body = append([]byte{}, w.Value...)
	}
	if w.IfTag != "" {
		q.Header.Set("If-Match", `"`+w.IfTag+`"`)
	}
	if w.IfAbsent {
		q.Header.Set("If-None-Match", "*")
	}
	resp, err := c.client.Do(ctx, q)
	if err != nil {
		return galenalatch.Row{}, err
	}
	return galenalatch.Row{Key: w.Key, Value: w.Value, Tag: resp.Tag()}, nil
}

// Batch implements galenalatch.Table. The results have the order of the writes.
// A response that cannot be decoded or has another number of results is an
// error of KindWriteUnknown.
func (c *Client) Batch(ctx context.Context, writes []galenalatch.Write) ([]galenalatch.WriteResult, error) {
	if len(writes) == 0 {
		return nil, nil
	}
	var answer struct {
		Results []result `json:"results"`
	}
	if err := c.post(ctx, "batch", writes, &answer); err != nil {
		return nil, err
	}
	if len(answer.Results) != len(writes) {
		return nil, galenalatch.KindWriteUnknown.Errorf("batch of %d writes has %d results", len(writes), len(answer.Results))
	}
	results := make([]galenalatch.WriteResult, len(writes))
	for i, r := range answer.Results {
		results[i] = galenalatch.WriteResult{
			Row: galenalatch.Row{Key: writes[i].Key, Value: writes[i].Value, Tag: r.Row.Tag},
			Err: statusError(writes[i].Key, r.Status),
		}
	}
	return results, nil
}

// Transaction implements galenalatch.Table. The rows have the order of the
// writes. A response that cannot be decoded or has another number of rows is an
// error of KindWriteUnknown.
func (c *Client) Transaction(ctx context.Context, writes []galenalatch.Write) ([]galenalatch.Row, error) {
	if len(writes) == 0 {
		return nil, nil
	}
	var answer struct {
		Rows []row `json:"rows"`
	}
	if err := c.post(ctx, "transaction", writes, &answer); err != nil {
		return nil, err
	}
	if len(answer.Rows) != len(writes) {
		return nil, galenalatch.KindWriteUnknown.Errorf("transaction of %d writes has %d rows", len(writes), len(answer.Rows))
	}
	written := toRows(answer.Rows)
	for i, w := range writes {
		written[i].Key, written[i].Value = w.Key, w.Value
	}
	return written, nil
}

// post sends writes and decodes the response into answer.
func (c *Client) post(ctx context.Context, path string, writes []galenalatch.Write, answer any) error {
	var body struct {
		Writes []write `json:"writes"`
	}
	for _, w := range writes {
		body.Writes = append(body.Writes, write(w))
	}
	data, err := json.Marshal(body)
	if err != nil {
		return galenalatch.KindPlatformDown.Errorf("%s: %w", path, err)
	}
	resp, err := c.client.Do(ctx, httpclient.Request{Method: http.MethodPost, Path: path, Body: data, Write: true,
		Header: http.Header{"Content-Type": {"application/json"}}})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.Body, answer); err != nil {
		return galenalatch.KindWriteUnknown.Errorf("%s: %w", path, err)
	}
	return nil
}

func toRows(list []row) []galenalatch.Row {
	rs := make([]galenalatch.Row, len(list))
	for i, r := range list {
		rs[i] = galenalatch.Row(r)
	}
	return rs
}

// statusError returns the error for the status of one write of a batch.
func statusError(key string, status int) error {
	switch {
	case status >= 200 && status <= 299:
		return nil
	case status == http.StatusNotFound:
		return galenalatch.KindNotFound.Errorf("row %q: not found", key)
	case status == http.StatusPreconditionFailed:
		return galenalatch.KindConflict.Errorf("row %q: condition does not hold", key)
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return galenalatch.KindPlatformDown.Errorf("row %q: status %d", key, status)
	}
	return galenalatch.KindWriteUnknown.Errorf("row %q: status %d", key, status)
}

func emptyKeyError() error {
	return galenalatch.KindPlatformDown.Errorf("table: key is empty")
}
