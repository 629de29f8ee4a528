package standin

import "github.com/galenalatch/galenalatch/internal/config/duration"

// Cold is how a server bears load after its start.
type Cold struct {
	// ColdLimit is the number of requests that a cold server bears, plus
	// one for each completed request; 0 when it is never cold.
	ColdLimit int `json:"coldLimit" validate:"min=0,max=1000"`
	// ColdRequests is the number of completed requests after which it is
	// warm.
	ColdRequests int `json:"coldRequests" validate:"min=0,max=10000"`
	// FallOver makes a cold server fail under more load.
	FallOver bool `json:"fallOver"`
	// ChecksFencing makes it refuse requests with an old epoch.
	ChecksFencing bool `json:"checksFencing"`
}

// Engine is the behaviour of the model engines of a pool.
type Engine struct {
	Cold
	Models          []string          `json:"models" validate:"min=1,max=64,dive,required,max=128"`
	Slots           int               `json:"slots" validate:"min=1,max=10000"`
	FirstToken      duration.Duration `json:"firstToken" validate:"between=0s:1m"`
	TokenTime       duration.Duration `json:"tokenTime" validate:"between=0s:10s"`
	PromptTokenTime duration.Duration `json:"promptTokenTime" validate:"between=0s:1s"`
	CacheTokens     int               `json:"cacheTokens" validate:"min=0,max=100000000"`
	// ResumeWindow is how long a broken stream can be resumed; 0 when it
	// cannot.
	ResumeWindow duration.Duration `json:"resumeWindow" validate:"between=0s:10m"`
}
