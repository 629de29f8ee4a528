// Package client calls the operators' API of a router.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/message"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

// maxAnswer bounds the bytes of an answer.
const maxAnswer = 64 << 20

// Client calls one router.
type Client struct {
	sling   *sling.Sling
	address string
}

// New returns a client of the router at the address, a host and port or a
// URL. The token authenticates the operator.
func New(address, token string) *Client {
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	h := &http.Client{
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: 3 * time.Second}).DialContext,
			ForceAttemptHTTP2: true,
			// A client makes few calls, and idle connections would outlive
			// it.
			DisableKeepAlives: true,
		},
		// A redirect would carry the token to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{
		sling: sling.New().Client(h).Base(strings.TrimSuffix(base, "/")+"/").
			Set("Authorization", "Bearer "+token).ResponseDecoder(decoder{}),
		address: address,
	}
}

// Address returns the address that the client was made with.
func (c *Client) Address() string { return c.address }

// decoder decodes bounded JSON answers. An answer that is not JSON comes from
// something between the client and the router.
type decoder struct{}

// Decode implements sling.ResponseDecoder.
func (decoder) Decode(r *http.Response, v any) error {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnswer)).Decode(v); err != nil {
		return fmt.Errorf("%s with a body that is not the expected JSON: %w", r.Status, err)
	}
	return nil
}

// call sends a request. Errors have the kind that the router named; without
// an answer they are of KindServerUnreached when nothing was sent, otherwise
// of KindUnclear.
func (c *Client) call(ctx context.Context, s *sling.Sling, ok any) error {
	req, err := s.Request()
	if err != nil {
		return galenalatch.KindBadRequest.Errorf("router %s: %w", c.address, err)
	}
	var f message.Failure
	resp, err := s.Do(req.WithContext(ctx), ok, &f)
	var dial *net.OpError
	switch {
	case err != nil && errors.As(err, &dial) && dial.Op == "dial":
		return galenalatch.KindServerUnreached.Errorf("router %s: %w", c.address, err)
	case err != nil:
		return galenalatch.KindUnclear.Errorf("router %s: %w", c.address, err)
	case resp.StatusCode >= 300:
		if f.Error.Kind == "" {
			return galenalatch.KindUnclear.Errorf("router %s: %s without an error kind", c.address, resp.Status)
		}
		if f.Error.Kind == galenalatch.KindConflict {
			return f.Error.Kind.Errorf("%s (current version %d)", f.Error.Message, f.Error.Current)
		}
		return f.Error.Kind.Errorf("%s", f.Error.Message)
	}
	return nil
}

func (c *Client) path(p string) *sling.Sling {
	return c.sling.New().Path(strings.TrimPrefix(p, "/"))
}

// Catalogue returns the catalogue that the router holds.
func (c *Client) Catalogue(ctx context.Context) (galenalatch.Catalogue, error) {
	var v galenalatch.Catalogue
	err := c.call(ctx, c.path(message.CataloguePath), &v)
	return v, err
}

// Apply makes a change to the catalogue of version base.
func (c *Client) Apply(ctx context.Context, base galenalatch.Version, ch galenalatch.Change) (message.Result, error) {
	var v message.Result
	err := c.call(ctx, c.path(message.ChangesPath).Post("").BodyJSON(message.Apply{Base: &base, Change: ch}), &v)
	return v, err
}

// Diff returns the change that turns the router's catalogue into target, and
// the version that it starts from.
func (c *Client) Diff(ctx context.Context, target galenalatch.Catalogue) (message.Apply, error) {
	var v message.Apply
	err := c.call(ctx, c.path(message.DiffPath).Post("").BodyJSON(target), &v)
	if err == nil && v.Base == nil {
		err = galenalatch.KindInternal.Errorf("router %s: the difference has no version", c.address)
	}
	return v, err
}

// History returns the newest n changes, the newest first.
func (c *Client) History(ctx context.Context, n int) ([]galenalatch.Change, error) {
	var v message.History
	err := c.call(ctx, c.path(message.ChangesPath).QueryStruct(struct {
		N int `url:"n"`
	}{n}), &v)
	return v.Changes, err
}

// DataCentre takes a data centre out of service or back in.
func (c *Client) DataCentre(ctx context.Context, d galenalatch.DataCentre, out bool, s message.Service) (message.Result, error) {
	return c.service(ctx, message.DataCentres, string(d), out, s)
}

// Server takes a backend server out of service or back in.
func (c *Client) Server(ctx context.Context, id galenalatch.ServerID, out bool, s message.Service) (message.Result, error) {
	return c.service(ctx, message.Servers, string(id), out, s)
}

func (c *Client) service(ctx context.Context, prefix, name string, out bool, s message.Service) (message.Result, error) {
	way := "in"
	if out {
		way = "out"
	}
	var v message.Result
	err := c.call(ctx, c.path(prefix+url.PathEscape(name)+"/"+way).Post("").BodyJSON(s), &v)
	return v, err
}

// Status returns the router's status.
func (c *Client) Status(ctx context.Context) (status.Status, error) {
	var v status.Status
	err := c.call(ctx, c.path(message.StatusPath), &v)
	return v, err
}
