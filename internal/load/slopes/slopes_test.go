package slopes

import (
	"bytes"
	"encoding/json"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wrong line or residual.
func TestFitOfExactPoints(t *testing.T) {
	f := fit([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	assert.Assert(t, math.Abs(f.Slope-2) < 1e-12 && math.Abs(f.Intercept-3) < 1e-12, "%+v", f)
	assert.Assert(t, f.Residual < 1e-12 && f.Relative < 1e-12, "%+v", f)
	off := fit([]float64{0, 1, 2}, []float64{0, 3, 0})
	assert.Assert(t, math.Abs(off.Residual-math.Sqrt2) < 1e-12, "%+v", off)
}

// Guards against a measurement that prints no fit or fewer than three points, and
// against an unknown name that is accepted. It runs the fastest experiment.
func TestSmallestSlope(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, New(&out, WithName("backlogged"), WithJSON(true)).Run(t.Context()))
	var results []Result
	assert.NilError(t, json.Unmarshal(out.Bytes(), &results))
	assert.Equal(t, len(results), 1)
	assert.Assert(t, len(results[0].Points) >= 3)
	assert.Assert(t, results[0].Fits["state B"].Slope > 0)
	assert.ErrorContains(t, New(&out, WithName("other")).Run(t.Context()), "known: backlogged")
}
