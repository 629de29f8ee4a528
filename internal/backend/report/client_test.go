package report

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/galenalatch/galenalatch"
	"gotest.tools/v3/assert"
)

const enginePage = `# HELP vllm:num_requests_running Number of requests in model execution batches.
# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{engine="0",model_name="stub"} 3.0
vllm:num_requests_running{engine="1",model_name="stub"} 4
# TYPE vllm:num_requests_waiting gauge
vllm:num_requests_waiting{engine="0"} 2.0
# TYPE vllm:e2e_request_latency_seconds histogram
vllm:e2e_request_latency_seconds_bucket{le="0.3"} nonsense
# TYPE process_start_time_seconds gauge
process_start_time_seconds 1.76483384412e+09
server_leaving 1
`

// TestParse guards against a wrong boot identity or load, and against a page
// that is accepted without exactly one start time.
func TestParse(t *testing.T) {
	tests := []struct {
		name, page string
		want       galenalatch.LoadReport
		err        string
	}{
		{"engine", enginePage, galenalatch.LoadReport{Boot: "1764833844.12", Running: 7, Waiting: 2, Leaving: true}, ""},
		{"service", "http_requests_in_flight 5\nprocess_start_time_seconds 17.5\n", galenalatch.LoadReport{Boot: "17.5", Running: 5}, ""},
		{"noLoad", "process_start_time_seconds 17.5\n", galenalatch.LoadReport{Boot: "17.5", Running: -1}, ""},
		{"noStart", "http_requests_in_flight 5\n", galenalatch.LoadReport{}, "0 values"},
		{"twoStarts", "process_start_time_seconds{a=\"1\"} 1\nprocess_start_time_seconds{a=\"2\"} 1\n", galenalatch.LoadReport{}, "2 values"},
		{"zero", "process_start_time_seconds 0\n", galenalatch.LoadReport{}, "values"},
		{"notANumber", "process_start_time_seconds NaN\n", galenalatch.LoadReport{}, "NaN"},
		{"negativeLoad", "process_start_time_seconds 1\nhttp_requests_in_flight -1\n", galenalatch.LoadReport{}, "-1"},
		{"cutLine", "http_requests_in_flight 5\nprocess_start_time_seconds", galenalatch.LoadReport{}, "values"},
		{"large", strings.Repeat("# comment\n", maxPageBytes/10+1) + enginePage, galenalatch.LoadReport{}, "too large"},
		{"longLine", strings.Repeat("x", maxPageBytes), galenalatch.LoadReport{}, "too long"},
		{"html", "<html>process_start_time_seconds</html>", galenalatch.LoadReport{}, "values"},
	}
	for _, x := range tests {
		got, err := Parse(strings.NewReader(x.page))
		if x.err != "" {
			assert.ErrorContains(t, err, x.err, x.name)
			continue
		}
		assert.NilError(t, err, x.name)
		assert.Equal(t, got, x.want, x.name)
	}
}

// TestReport guards against a load of 0 being reported when the page could not
// be read. A new holder would then send too many requests.
func TestReport(t *testing.T) {
	status, page := http.StatusOK, enginePage
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(page))
	}))
	address := s.Listener.Addr().String()
	c := New()
	l, err := c.Report(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, l.Running, 7)
	for _, x := range []struct {
		status int
		page   string
	}{{http.StatusServiceUnavailable, enginePage}, {http.StatusFound, enginePage}, {http.StatusOK, "process_start_time_seconds 1\n"}} {
		status, page = x.status, x.page
		_, err = c.Report(t.Context(), address)
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindServerUnreachable)
	}
	s.Close()
	_, err = c.Report(t.Context(), address)
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindServerUnreachable)
}

// FuzzParse guards against pages that crash the parser, against a report
// without a boot identity, and against results that depend on how the page is
// split on arrival.
func FuzzParse(f *testing.F) {
	f.Add(enginePage)
	f.Add("http_requests_in_flight 5\nprocess_start_time_seconds 1e300\n")
	f.Add("process_start_time_seconds{a=\"\\n\",} 1 2\r\n")
	f.Fuzz(func(t *testing.T, page string) {
		l, err := Parse(strings.NewReader(page))
		split, splitErr := Parse(iotest.OneByteReader(strings.NewReader(page)))
		assert.Equal(t, l, split)
		assert.Equal(t, err == nil, splitErr == nil)
		if err == nil {
			assert.Check(t, l.Boot != "" && l.Running >= -1 && l.Waiting >= 0)
		}
	})
}
