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
	"github.com/galenalatch/galenalatch/internal/http1/transport"
	"github.com/galenalatch/galenalatch/internal/operator/message"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// Client calls the operators' API of one router. It is safe for concurrent use.
// Errors have the kind that the router reported, KindServerUnreachable if no
// connection could be opened, or KindWriteUnknown if the request may have been
// sent and there is no valid response.
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
		Transport: transport.New(&http.Transport{
			DialContext:       (&net.Dialer{Timeout: 3 * time.Second}).DialContext,
			ForceAttemptHTTP2: true,
			// A client makes few calls, and idle connections would stay
			// open after its last use.
			DisableKeepAlives: true,
		}),
		// A redirect would carry the token to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{
		sling: sling.New().Client(h).Base(strings.TrimSuffix(base, "/")+"/").
			Set("Authorization", "Bearer "+token).ResponseDecoder(jsonDecoder{}),
		address: address,
	}
}

// Address returns the address that was given to New.
func (c *Client) Address() string { return c.address }

// jsonDecoder decodes JSON bodies of bounded size. A body that is not JSON comes
// from something between the client and the router, such as a proxy.
type jsonDecoder struct{}

// Decode implements sling.ResponseDecoder.
func (jsonDecoder) Decode(r *http.Response, v any) error {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxResponseBytes)).Decode(v); err != nil {
		return fmt.Errorf("%s with a body that is not the expected JSON: %w", r.Status, err)
	}
	return nil
}

// call sends a request and decodes the body of a successful response into
// result. Errors are those that the comment of Client describes.
func (c *Client) call(ctx context.Context, s *sling.Sling, result any) error {
	req, err := s.Request()
	if err != nil {
		return galenalatch.KindBadRequest.Errorf("router %s: %w", c.address, err)
	}
	var f message.ErrorResponse
	resp, err := s.Do(req.WithContext(ctx), result, &f)
	var dial *net.OpError
	switch {
	case err != nil && errors.As(err, &dial) && dial.Op == "dial":
		return galenalatch.KindServerUnreachable.Errorf("router %s: %w", c.address, err)
	case err != nil:
		return galenalatch.KindWriteUnknown.Errorf("router %s: %w", c.address, err)
	case resp.StatusCode >= 300:
		if f.Error.Kind == "" {
			return galenalatch.KindWriteUnknown.Errorf("router %s: %s without an error kind", c.address, resp.Status)
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

// Apply makes a change that is based on version base of the catalogue. A
// conflict with another change is an error of KindConflict.
func (c *Client) Apply(ctx context.Context, base galenalatch.Version, ch galenalatch.Change) (message.ApplyResult, error) {
	var v message.ApplyResult
	err := c.call(ctx, c.path(message.ChangesPath).Post("").BodyJSON(message.ApplyRequest{Base: &base, Change: ch}), &v)
	return v, err
}

// Diff returns the change that turns the router's catalogue into target, and
// the version that the change is based on. Its Base is not nil if the error is
// nil.
func (c *Client) Diff(ctx context.Context, target galenalatch.Catalogue) (message.ApplyRequest, error) {
	var v message.ApplyRequest
	err := c.call(ctx, c.path(message.DiffPath).Post("").BodyJSON(target), &v)
	if err == nil && v.Base == nil {
		err = galenalatch.KindInternal.Errorf("router %s: the difference has no version", c.address)
	}
	return v, err
}

// History returns the n newest changes, newest first.
func (c *Client) History(ctx context.Context, n int) ([]galenalatch.Change, error) {
	var v message.History
	err := c.call(ctx, c.path(message.ChangesPath).QueryStruct(struct {
		N int `url:"n"`
	}{n}), &v)
	return v.Changes, err
}

// SetDataCentreService takes a data centre out of service if out is set,
// otherwise back in.
func (c *Client) SetDataCentreService(ctx context.Context, d galenalatch.DataCentre, out bool, s message.ServiceRequest) (message.ApplyResult, error) {
	return c.changeService(ctx, message.DataCentresPath, string(d), out, s)
}

// SetServerService takes a backend server out of service if out is set,
// otherwise back in.
func (c *Client) SetServerService(ctx context.Context, id galenalatch.ServerID, out bool, s message.ServiceRequest) (message.ApplyResult, error) {
	return c.changeService(ctx, message.ServersPath, string(id), out, s)
}

func (c *Client) changeService(ctx context.Context, prefix, name string, out bool, s message.ServiceRequest) (message.ApplyResult, error) {
	direction := "in"
	if out {
		direction = "out"
	}
	var v message.ApplyResult
	err := c.call(ctx, c.path(prefix+url.PathEscape(name)+"/"+direction).Post("").BodyJSON(s), &v)
	return v, err
}

// Status returns the router's status.
func (c *Client) Status(ctx context.Context) (status.Status, error) {
	var v status.Status
	err := c.call(ctx, c.path(message.StatusPath), &v)
	return v, err
}
