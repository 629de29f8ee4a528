package standin

import "github.com/galenalatch/galenalatch/internal/config/duration"

// Cold is the behaviour of a server after its start. Messages about invalid
// settings contain the name of the type, since it is embedded.
type Cold struct {
	// ColdLimit is the number of requests that a cold server can run at once,
	// before it has completed any. Each completed request adds one. A server
	// with ColdLimit 0 is never cold.
	ColdLimit int `json:"coldLimit" validate:"min=0,max=1000"`
	// ColdRequests is the number of completed requests after which the server
	// is warm.
	ColdRequests int `json:"coldRequests" validate:"min=0,max=10000"`
	// CrashOnColdOverload makes a cold server restart when it gets more requests
	// than it can run.
	CrashOnColdOverload bool `json:"fallOver"`
	// ChecksFencing makes the server refuse requests with an old epoch.
	ChecksFencing bool `json:"checksFencing"`
}

// Engine is the behaviour of the model engines of a pool.
type Engine struct {
	Cold
	Models []string `json:"models" validate:"min=1,max=64,dive,required,max=128"`
	// Slots is the number of requests that generate at once. Others wait.
	Slots int `json:"slots" validate:"min=1,max=10000"`
	// FirstToken is the time to the first token, TokenTime the time between
	// two tokens, and PromptTokenTime the time for each prompt token that is
	// not in the cache.
	FirstToken      duration.Duration `json:"firstToken" validate:"between=0s:1m"`
	TokenTime       duration.Duration `json:"tokenTime" validate:"between=0s:10s"`
	PromptTokenTime duration.Duration `json:"promptTokenTime" validate:"between=0s:1s"`
	// CacheTokens is the size of the prompt cache in tokens.
	CacheTokens int `json:"cacheTokens" validate:"min=0,max=100000000"`
	// ResumeWindow is the time for which a broken stream can be resumed; 0 when
	// it cannot.
	ResumeWindow duration.Duration `json:"resumeWindow" validate:"between=0s:10m"`
}
