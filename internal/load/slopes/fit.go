package slopes

import "math"

// Fit is the least-squares line y = Intercept + Slope*x through measured points.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root mean square of the distances from the line.
	Residual float64 `json:"residual"`
	// Relative is Residual divided by the largest absolute measured value, or 0
	// if all values are 0.
	Relative float64 `json:"relative"`
}

// fit returns the least-squares line. If all xs are equal, the line is
// horizontal at the mean of ys. Without points it is the zero Fit.
func fit(xs, ys []float64) Fit {
	n := float64(len(xs))
	if n == 0 {
		return Fit{}
	}
	var mx, my float64
	for i := range xs {
		mx += xs[i] / n
		my += ys[i] / n
	}
	var sxx, sxy float64
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
	}
	f := Fit{Intercept: my}
	if sxx > 0 {
		f.Slope = sxy / sxx
		f.Intercept = my - f.Slope*mx
	}
	largest := 0.0
	for i := range xs {
		d := ys[i] - f.Intercept - f.Slope*xs[i]
		f.Residual += d * d / n
		largest = max(largest, math.Abs(ys[i]))
	}
	f.Residual = math.Sqrt(f.Residual)
	if largest > 0 {
		f.Relative = f.Residual / largest
	}
	return f
}
