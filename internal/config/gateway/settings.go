// Package gateway defines the settings of a gateway process: a JSON document with
// camel-case names, read at the start and on SIGHUP.
package gateway

import (
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/check"
	"github.com/galenalatch/galenalatch/internal/config/document"
	"github.com/galenalatch/galenalatch/internal/config/duration"
)

// Settings are the settings of one gateway process.
type Settings struct {
	// ID is the name of the instance. It must stay the same after a restart.
	ID         galenalatch.RouterID   `json:"id" validate:"required,max=64,printascii"`
	DataCentre galenalatch.DataCentre `json:"dataCentre" validate:"required,max=64,printascii"`

	// FirstStart is set when the whole fleet starts for the first time, so that no stream
	// can have begun before.
	FirstStart bool `json:"firstStart"`

	// Listen holds the addresses to listen on: for callers, for readiness
	// probes, for other routers and for the metrics page.
	Listen struct {
		Caller    string `json:"caller" validate:"required,addrport"`
		Readiness string `json:"readiness" validate:"required,addrport"`
		Peer      string `json:"peer" validate:"required,addrport"`
		Metrics   string `json:"metrics" validate:"required,addrport"`
	} `json:"listen"`

	// Store is the platform's store.
	Store struct {
		Address string `json:"address" validate:"required,addrport"`
	} `json:"store"`

	// MemoryMegabytes is the memory that the process may use, in MiB.
	MemoryMegabytes int64 `json:"memoryMegabytes" validate:"min=32,max=1048576"`

	// Descriptors is the number of files and connections that the process may
	// have open.
	Descriptors int `json:"descriptors" validate:"min=256,max=10000000"`

	// Callers holds the least progress that a caller must make.
	Callers struct {
		// BodyGrace and BodyRate, in bytes per second, bound the time for a body: a
		// request is refused with 408 when its body takes longer than BodyGrace and its
		// size divided by BodyRate.
		BodyGrace duration.Duration `json:"bodyGrace" validate:"between=1s:10m"`
		BodyRate  int64             `json:"bodyRate" validate:"min=1,max=1000000000"`
		// AnswerStall is the time after which the connection of a caller is closed whose
		// kernel takes nothing of an answer that waits.
		AnswerStall duration.Duration `json:"answerStall" validate:"between=1s:10m"`
	} `json:"callers"`

	// ConfigurationApply is the time after a change of the configuration from
	// which no router may act on the one before.
	ConfigurationApply duration.Duration `json:"configurationApply" validate:"between=500ms:10m"`

	// KeyRemoval is the time after the removal of a key from which no router
	// may accept the key.
	KeyRemoval duration.Duration `json:"keyRemoval" validate:"between=500ms:10m"`

	// PassLimit is the time within which an event of a stream must be
	// forwarded to the caller.
	PassLimit duration.Duration `json:"passLimit" validate:"between=0s:10s"`

	// Drain holds the limit on the time from SIGTERM to the end of the
	// process.
	Drain struct {
		Limit duration.Duration `json:"limit" validate:"between=1s:24h"`
	} `json:"drain"`

	// Repeats is the retry budget: the number of requests that all routers
	// together may send to a further server, for each service and in each
	// Window, is the number of requests times Ratio plus Fixed.
	Repeats struct {
		Ratio  float64           `json:"ratio" validate:"min=0,max=10"`
		Fixed  float64           `json:"fixed" validate:"min=0,max=1000000"`
		Window duration.Duration `json:"window" validate:"between=1s:10m"`
	} `json:"repeats"`

	// Cold limits the requests per second that all routers together send to a
	// cold server: the service's ColdRate times Over, plus Slack.
	Cold struct {
		Over  float64 `json:"over" validate:"min=0,max=100"`
		Slack float64 `json:"slack" validate:"min=0,max=1000"`
	} `json:"cold"`

	// Rollout limits the requests to a version of a service that is not proved, from an
	// order to its deadline: Share of all requests to the service plus Slack, over all
	// routers. With a Share of 0, orders are ignored.
	Rollout struct {
		Share float64 `json:"share" validate:"min=0,max=0.9"`
		Slack float64 `json:"slack" validate:"min=0,max=1000000"`
		// Within is the time after evidence of a bad version from which no router may
		// send to it.
		Within duration.Duration `json:"within" validate:"between=1s:10m"`
	} `json:"rollout"`

	// Engine holds the speed of the model engines that a router assumes until
	// it has measured it.
	Engine struct {
		// ReadRate is the number of prompt tokens read per millisecond.
		ReadRate float64 `json:"readRate" validate:"min=0.1,max=100000"`
		// FirstToken is the time from the end of reading to the first token.
		FirstToken duration.Duration `json:"firstToken" validate:"between=0s:10s"`
	} `json:"engine"`

	// Log holds the lowest level that is logged, and the format.
	Log struct {
		Level  string `json:"level" validate:"oneof=debug info warn error"`
		Format string `json:"format" validate:"oneof=text json logfmt"`
	} `json:"log"`
}

// Default returns the defaults of fields that a document leaves out. Fields
// without a default, which a document must set, are empty.
func Default() Settings {
	var s Settings
	s.MemoryMegabytes = 256
	s.Descriptors = 4096
	s.Callers.BodyGrace, s.Callers.BodyRate = duration.Duration(10*time.Second), 16<<10
	s.Callers.AnswerStall = duration.Duration(10 * time.Second)
	s.ConfigurationApply = duration.Duration(2 * time.Second)
	s.KeyRemoval = duration.Duration(5 * time.Second)
	s.PassLimit = duration.Duration(100 * time.Millisecond)
	s.Drain.Limit = duration.Duration(8 * time.Second)
	s.Repeats.Ratio, s.Repeats.Fixed, s.Repeats.Window = 0.2, 20, duration.Duration(10*time.Second)
	s.Cold.Over, s.Cold.Slack = 1.5, 5
	s.Rollout.Within = duration.Duration(5 * time.Second)
	s.Engine.ReadRate, s.Engine.FirstToken = 51, duration.Duration(50*time.Millisecond)
	s.Log.Level, s.Log.Format = "info", "logfmt"
	return s
}

// Load reads, decodes and validates the document in the file at path.
func Load(path string) (Settings, error) {
	return document.Load("settings", path, Parse)
}

var checker = check.New()

// Parse decodes and validates a document.
func Parse(data []byte) (Settings, error) {
	return document.Parse(data, Default())
}

// Faults implements document.Checked.
func (s Settings) Faults() []string {
	faults, _ := checker.Faults(s, document.MaxFaults)
	return faults
}

// String returns the settings as an indented JSON document.
func (s Settings) String() string {
	return document.String(s)
}
