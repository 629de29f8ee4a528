package report

import (
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"gotest.tools/v3/assert"
)

// BenchmarkParse measures Parse on a page of the size of a model engine's, with
// 40 histograms of 25 buckets. For comparison it measures the Prometheus parser
// on the whole page.
func BenchmarkParse(b *testing.B) {
	var page strings.Builder
	for i := range 40 {
		fmt.Fprintf(&page, "# HELP vllm:h%d A histogram.\n# TYPE vllm:h%d histogram\n", i, i)
		for j := range 25 {
			fmt.Fprintf(&page, "vllm:h%d_bucket{engine=\"0\",le=\"%d.0\",model_name=\"stub\"} %d\n", i, j, j)
		}
		fmt.Fprintf(&page, "vllm:h%d_sum{engine=\"0\"} 3\nvllm:h%d_count{engine=\"0\"} 24\n", i, i)
	}
	page.WriteString(enginePage[:strings.Index(enginePage, "# TYPE vllm:e2e")])
	page.WriteString("process_start_time_seconds 1.76483384412e+09\n")
	text := page.String()
	b.Run("relevant", func(b *testing.B) {
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			_, err := Parse(strings.NewReader(text))
			assert.NilError(b, err)
		}
	})
	b.Run("whole", func(b *testing.B) {
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			p := expfmt.NewTextParser(model.UTF8Validation)
			_, err := p.TextToMetricFamilies(strings.NewReader(text))
			assert.NilError(b, err)
		}
	})
}
