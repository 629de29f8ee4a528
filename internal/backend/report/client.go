// Package report reads the load reports of backend servers from their
// Prometheus metrics pages.
package report

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/galenalatch/galenalatch"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Path is the path of the metrics page. BootPath asks for the start time
// alone, by a parameter that the Prometheus libraries understand and other
// servers ignore.
const (
	Path     = "/metrics"
	BootPath = Path + "?name%5B%5D=" + startTime
)

// maxPage bounds the size of a metrics page. The page of a model engine with
// its histograms has about 100 KB.
const maxPage = 1 << 20

const (
	startTime = "process_start_time_seconds"
	leaving   = "server_leaving"
	running   = "vllm:num_requests_running"
	waiting   = "vllm:num_requests_waiting"
	inFlight  = "http_requests_in_flight"
)

// defaultTimeout bounds one report. Reports that stop for 3 s make a server
// suspect, so that one late report may be followed by two more.
const defaultTimeout = time.Second

// Client implements galenalatch.Reporter.
type Client struct {
	http *http.Client
}

// Option changes a client.
type Option func(*Client)

// WithTransport replaces the transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// WithTimeout replaces the bound on the time of one report.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.http.Timeout = d }
}

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{http: &http.Client{
		Timeout: defaultTimeout,
		Transport: &http.Transport{
			DisableCompression:     true,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: 64 << 10,
		},
		// A page that is elsewhere belongs to another process.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Report reads the report of the server at address.
func (c *Client) Report(ctx context.Context, address string) (galenalatch.LoadReport, error) {
	r, err := sling.New().Base("http://" + address).Get(Path).Request()
	if err != nil {
		return galenalatch.LoadReport{}, galenalatch.KindBadRequest.Errorf("building the report request: %w", err)
	}
	resp, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		return galenalatch.LoadReport{}, galenalatch.KindServerUnreached.Errorf("reading the report of %s: %w", address, err)
	}
	// The page has been read or is of no use.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return galenalatch.LoadReport{}, galenalatch.KindServerUnreached.Errorf("report of %s has status %d", address, resp.StatusCode)
	}
	l, err := Parse(resp.Body)
	if err != nil {
		return galenalatch.LoadReport{}, galenalatch.KindServerUnreached.Errorf("report of %s: %w", address, err)
	}
	if l.Running < 0 {
		return galenalatch.LoadReport{}, galenalatch.KindServerUnreached.Errorf("report of %s has no load", address)
	}
	return l, nil
}

// Parse reads a metrics page. A page without a start time is an error.
// Running is -1 when the page has no load.
func Parse(r io.Reader) (galenalatch.LoadReport, error) {
	var l galenalatch.LoadReport
	page, err := relevant(r)
	if err != nil {
		return l, err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(page))
	if err != nil {
		return l, fmt.Errorf("parsing the metrics page: %w", err)
	}
	sum := func(name string) (total float64, samples int, err error) {
		f, ok := families[name]
		if !ok {
			return 0, 0, nil
		}
		for _, m := range f.GetMetric() {
			// All but one of the values are nil and count as 0.
			v := m.GetGauge().GetValue() + m.GetUntyped().GetValue() + m.GetCounter().GetValue()
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return 0, 0, fmt.Errorf("%s has the value %v", name, v)
			}
			total += v
			samples++
		}
		return total, samples, nil
	}
	started, n, err := sum(startTime)
	if err != nil {
		return l, err
	}
	if n != 1 || started == 0 {
		return l, fmt.Errorf("metrics page has %d values of %s", n, startTime)
	}
	l.Boot = galenalatch.BootID(strconv.FormatFloat(started, 'f', -1, 64))
	l.Running = -1
	for _, name := range []string{running, inFlight} {
		v, n, err := sum(name)
		if err != nil {
			return l, err
		}
		if n > 0 {
			l.Running = max(0, l.Running) + count(v)
		}
	}
	v, _, err := sum(waiting)
	if err != nil {
		return l, err
	}
	l.Waiting = count(v)
	v, _, err = sum(leaving)
	if err != nil {
		return l, err
	}
	l.Leaving = v > 0
	return l, nil
}

// count converts a gauge to a number of requests.
func count(v float64) int {
	return int(min(v, 1<<30))
}

// relevant returns the lines of a page that Parse needs. The other lines of a
// model engine's page are hundreds of histogram buckets.
func relevant(r io.Reader) ([]byte, error) {
	limited := &io.LimitedReader{R: r, N: maxPage + 1}
	lines := bufio.NewScanner(limited)
	lines.Buffer(make([]byte, 0, 4096), 64<<10)
	var page bytes.Buffer
	for lines.Scan() {
		line := lines.Bytes()
		name := bytes.TrimLeft(line, " \t")
		if rest, ok := bytes.CutPrefix(name, []byte("# TYPE ")); ok {
			name = rest
		}
		end := bytes.IndexAny(name, "{ \t")
		if end < 0 {
			continue
		}
		switch string(name[:end]) {
		case startTime, leaving, running, waiting, inFlight:
			page.Write(line)
			page.WriteByte('\n')
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the metrics page: %w", err)
	}
	if limited.N <= 0 {
		return nil, errors.New("metrics page is too large")
	}
	return page.Bytes(), nil
}
