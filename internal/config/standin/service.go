package standin

import "github.com/galenalatch/galenalatch/internal/config/duration"

// Service is the behaviour of the plain services of a pool.
type Service struct {
	Cold
	ReadTime  duration.Duration `json:"readTime" validate:"between=0s:1m"`
	WriteTime duration.Duration `json:"writeTime" validate:"between=0s:1m"`
	// Slots is the number of requests that work at once, 0 for any.
	Slots int `json:"slots" validate:"min=0,max=10000"`
}
