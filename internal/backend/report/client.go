// Package report reads the load of backend servers from their Prometheus
// metrics pages.
package report

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/galenalatch/galenalatch"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/galenalatch/galenalatch/internal/http1/framing"
	"github.com/galenalatch/galenalatch/internal/http1/transport"
)

// MetricsPath is the path of the metrics page. StartTimePath requests the
// process start time alone: Prometheus client libraries support the parameter
// name[], and other servers ignore it.
const (
	MetricsPath   = "/metrics"
	StartTimePath = MetricsPath + "?name%5B%5D=" + startTimeMetric
)

// maxPageBytes bounds the size of a metrics page. The page of a model engine
// with its histograms has about 100 KB.
const maxPageBytes = 1 << 20

// Names of the metrics that Parse reads.
const (
	startTimeMetric = "process_start_time_seconds"
	leavingMetric   = "server_leaving"
	runningMetric   = "vllm:num_requests_running"
	waitingMetric   = "vllm:num_requests_waiting"
	inFlightMetric  = "http_requests_in_flight"
)

// defaultTimeout bounds one request for a report. A server without a report for
// 3 s is suspect, so two more reports can follow a late one.
const defaultTimeout = time.Second

// Client implements galenalatch.Reporter. Its methods may be called
// concurrently.
type Client struct {
	http *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithTransport sets the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// WithTimeout sets the timeout of one request for a report. The default is 1 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.http.Timeout = d }
}

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{http: &http.Client{
		Timeout:   defaultTimeout,
		Transport: newTransport((&net.Dialer{}).DialContext),
		// A page at another address belongs to another process.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// newTransport returns a transport that opens connections with dial.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) http.RoundTripper {
	return transport.New(&http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: 64 << 10,
	})
}

// Report returns the load of the server at address, which is host:port. Errors
// are of KindBadRequest when address is invalid, and otherwise of
// KindServerUnreachable, also for a page without a metric of running requests, and for one
// that may be cut off, since it has neither a length nor chunks.
func (c *Client) Report(ctx context.Context, address string) (galenalatch.LoadReport, error) {
	r, err := sling.New().Base("http://" + address).Get(MetricsPath).Request()
	if err != nil {
		return galenalatch.LoadReport{}, galenalatch.KindBadRequest.Errorf("building the report request: %w", err)
	}
	resp, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		return galenalatch.LoadReport{}, galenalatch.KindServerUnreachable.Errorf("reading the report of %s: %w", address, err)
	}
	// The page has been read by then, or is not used; an error of Close changes
	// nothing.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return galenalatch.LoadReport{}, galenalatch.KindServerUnreachable.Errorf("report of %s has status %d", address, resp.StatusCode)
	}
	if !framing.HasEnd(resp) {
		return galenalatch.LoadReport{}, galenalatch.KindServerUnreachable.Errorf("report of %s has neither a length nor chunks", address)
	}
	l, err := Parse(resp.Body)
	if err != nil {
		return galenalatch.LoadReport{}, galenalatch.KindServerUnreachable.Errorf("report of %s: %w", address, err)
	}
	if l.Running < 0 {
		return galenalatch.LoadReport{}, galenalatch.KindServerUnreachable.Errorf("report of %s has no metric of running requests", address)
	}
	return l, nil
}

// Parse reads a metrics page. A page without exactly one start time is an
// error, and so is a value that is negative or not finite. Running is -1 when
// the page has no metric of running requests.
func Parse(r io.Reader) (galenalatch.LoadReport, error) {
	var l galenalatch.LoadReport
	page, err := relevantLines(r)
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
			// Only one of the values is set. The others count as 0.
			v := m.GetGauge().GetValue() + m.GetUntyped().GetValue() + m.GetCounter().GetValue()
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return 0, 0, fmt.Errorf("%s has the value %v", name, v)
			}
			total += v
			samples++
		}
		return total, samples, nil
	}
	started, n, err := sum(startTimeMetric)
	if err != nil {
		return l, err
	}
	if n != 1 || started == 0 {
		return l, fmt.Errorf("metrics page has %d values of %s", n, startTimeMetric)
	}
	l.Boot = galenalatch.BootID(strconv.FormatFloat(started, 'f', -1, 64))
	l.Running = -1
	for _, name := range []string{runningMetric, inFlightMetric} {
		v, n, err := sum(name)
		if err != nil {
			return l, err
		}
		if n > 0 {
			l.Running = max(0, l.Running) + toCount(v)
		}
	}
	v, _, err := sum(waitingMetric)
	if err != nil {
		return l, err
	}
	l.Waiting = toCount(v)
	v, _, err = sum(leavingMetric)
	if err != nil {
		return l, err
	}
	l.Leaving = v > 0
	return l, nil
}

// toCount converts a gauge to a number of requests, at most 1<<30.
func toCount(v float64) int {
	return int(min(v, 1<<30))
}

// relevantLines returns the lines of a page that Parse needs. A model engine's
// page also has hundreds of lines with histogram buckets.
func relevantLines(r io.Reader) ([]byte, error) {
	limited := &io.LimitedReader{R: r, N: maxPageBytes + 1}
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
		case startTimeMetric, leavingMetric, runningMetric, waitingMetric, inFlightMetric:
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
