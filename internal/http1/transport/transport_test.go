package transport

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// serveHTTP answers with an interim and a final response. At /broken the final one has the
// status 000.
func serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/broken" {
		w.WriteHeader(http.StatusEarlyHints)
		// The client reports a response that is cut off.
		_, _ = io.Copy(w, r.Body)
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody")
	_ = c.Close()
}

// post sends a body and returns that of the response.
func post(t *testing.T, c *http.Client, url, body string) (string, error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	response, err := c.Do(r)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return string(b), nil
}

// Guards against sound responses that are rejected on connections which carry several of
// them, with interim ones, and against a broken status that passes over TLS.
func TestResponses(t *testing.T) {
	for _, start := range []func(http.Handler) *httptest.Server{httptest.NewServer, httptest.NewTLSServer} {
		s := start(http.HandlerFunc(serveHTTP))
		defer s.Close()
		c := &http.Client{Transport: New(s.Client().Transport.(*http.Transport).Clone())}
		var g sync.WaitGroup
		for range 4 {
			g.Go(func() {
				for range 50 {
					body, err := post(t, c, s.URL, "body")
					assert.Check(t, err)
					assert.Check(t, body == "body", "%q", body)
				}
			})
		}
		g.Wait()
		_, err := post(t, c, s.URL+"/broken", "body")
		assert.ErrorContains(t, err, "the head of the response is invalid")
		c.CloseIdleConnections()
	}
}
