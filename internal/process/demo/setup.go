package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/duration"
	"github.com/galenalatch/galenalatch/internal/load/plan"
	"github.com/galenalatch/galenalatch/internal/standin/engine"
	"github.com/galenalatch/galenalatch/internal/standin/process"
	"github.com/galenalatch/galenalatch/internal/standin/service"
)

const (
	modelPool   galenalatch.PoolName = "lettering-model"
	bookingPool galenalatch.PoolName = "booking-orders"

	draftModel      = "lettering-draft"
	suggestionModel = "lettering-suggestion"

	bookingPath = "/bookings"
	orderPath   = "/orders/1"

	routersPerDataCentre  = 2
	enginesPerDataCentre  = 2
	servicesPerDataCentre = 1

	engineSlots  = 8
	serviceSlots = 16
)

var dataCentres = []galenalatch.DataCentre{"a", "b", "c", "d"}

// workspace is one customer. It sends up to draftConcurrency draft requests at the
// same time; those of a large customer wait for a slot.
type workspace struct {
	name             galenalatch.WorkspaceName
	draftConcurrency int
}

var workspaces = []workspace{
	{"bregenz", 2}, {"graz", 40}, {"leoben", 2}, {"linz", 40}, {"salzburg", 2}, {"steyr", 2}, {"villach", 2}, {"wels", 2},
}

func (w workspace) apiKey() string {
	return "demo-key-of-" + string(w.name)
}

func newEngine() *engine.Server {
	return engine.New(engine.Settings{
		Settings:        process.Settings{ColdLimit: 2, ColdRequests: 6, CrashOnColdOverload: true, ChecksFencing: true},
		Models:          []string{draftModel, suggestionModel},
		Slots:           engineSlots,
		FirstToken:      60 * time.Millisecond,
		TokenTime:       20 * time.Millisecond,
		PromptTokenTime: 20 * time.Microsecond,
		CacheTokens:     100_000,
		ResumeWindow:    30 * time.Second,
	})
}

func newService() *service.Server {
	return service.New(service.Settings{
		Settings:  process.Settings{ColdLimit: 4, ColdRequests: 8, CrashOnColdOverload: true},
		ReadTime:  10 * time.Millisecond,
		WriteTime: 30 * time.Millisecond,
		Slots:     serviceSlots,
	})
}

// initialCatalogue returns the catalogue with which the fleet starts, without its
// routers.
func initialCatalogue() galenalatch.Catalogue {
	limits := galenalatch.Entry{Weight: 1, MaxWaiting: 100, MaxWaitingBytes: 8 << 20, MaxRunning: 64}
	c := galenalatch.Catalogue{
		Pools: []galenalatch.Pool{
			{
				Name: bookingPool, Kind: galenalatch.PlainPool,
				Routes: []galenalatch.Route{
					{Method: http.MethodGet, PathPrefix: "/orders/", Repeatable: true},
					{Method: http.MethodPost, PathPrefix: bookingPath},
				},
				ColdLimit: 4, WarmLimit: serviceSlots, CellsPerDataCentre: 1, MaxCost: 60_000,
			},
			{
				Name: modelPool, Kind: galenalatch.ModelPool, Models: []string{draftModel, suggestionModel},
				ColdLimit: 2, WarmLimit: engineSlots, CellsPerDataCentre: 1,
				PromptWeight: 1, OutputWeight: 4, MaxCost: 200_000, Resumes: true, ChecksFencing: true,
			},
		},
		DefaultLimits: limits,
	}
	for _, w := range workspaces {
		sum := sha256.Sum256([]byte(w.apiKey()))
		c.Workspaces = append(c.Workspaces, galenalatch.Workspace{Name: w.name, KeyHashes: []string{hex.EncodeToString(sum[:])}})
	}
	return c
}

// plan returns the requests of all workspaces: long drafts, short suggestions,
// reads of orders, and bookings that are sent twice with the same key.
func (d *Demo) plan() plan.Plan {
	p := plan.Plan{
		Duration: duration.Duration(d.options.Duration),
		Timeout:  duration.Duration(time.Minute),
		Retries:  200,
	}
	for _, r := range d.fleet.routers {
		p.Routers = append(p.Routers, r.callerAddress)
	}
	for _, b := range d.fleet.backends {
		p.Servers = append(p.Servers, b.address)
	}
	for _, w := range workspaces {
		base := plan.Caller{Workspace: w.name, Key: w.apiKey(), Class: galenalatch.Interactive, Concurrency: 1}
		draft := base
		draft.Class, draft.Model, draft.Stream, draft.Concurrency = galenalatch.Batch, draftModel, true, w.draftConcurrency
		draft.PromptWords, draft.MaxTokens = 20+d.random.IntN(40), 30+d.random.IntN(30)
		suggestion := base
		suggestion.Model, suggestion.PromptWords, suggestion.MaxTokens = suggestionModel, 8, 6+d.random.IntN(8)
		suggestion.Pause = duration.Duration(100 * time.Millisecond)
		read := base
		read.Pool, read.Method, read.Path = bookingPool, http.MethodGet, orderPath
		read.Pause = duration.Duration(100 * time.Millisecond)
		booking := base
		booking.Pool, booking.Method, booking.Path, booking.IdempotencyKeys, booking.RepeatCalls = bookingPool, http.MethodPost, bookingPath, true, true
		booking.Pause = duration.Duration(200 * time.Millisecond)
		p.Callers = append(p.Callers, draft, suggestion, read, booking)
	}
	return p
}
