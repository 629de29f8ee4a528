package standin

import "github.com/galenalatch/galenalatch/internal/config/duration"

// Service is the behaviour of the plain services of a pool.
type Service struct {
	Cold
	// ReadTime and WriteTime are the times that a GET and a POST take.
	ReadTime  duration.Duration `json:"readTime" validate:"between=0s:1m"`
	WriteTime duration.Duration `json:"writeTime" validate:"between=0s:1m"`
	// Slots is the number of requests that run at once; 0 means no limit.
	Slots int `json:"slots" validate:"min=0,max=10000"`
}
