// Package standins runs the stand-ins that tests use in place of the platform,
// the model engines and the plain services.
package standins

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/standin"
	"github.com/galenalatch/galenalatch/internal/platform/catalogue"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
	"github.com/galenalatch/galenalatch/internal/platform/object"
	"github.com/galenalatch/galenalatch/internal/platform/table"
	"github.com/galenalatch/galenalatch/internal/standin/engine"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
	"github.com/galenalatch/galenalatch/internal/standin/process"
	"github.com/galenalatch/galenalatch/internal/standin/service"
)

// PlatformID is the id of the platform in the arguments of Run.
const PlatformID = "platform"

// Standins runs the stand-ins that a settings file describes. Create it with New.
type Standins struct {
	settings standin.Settings
}

// New returns the stand-ins of s. Nothing runs before Run.
func New(s standin.Settings) *Standins {
	return &Standins{settings: s}
}

// server is a stand-in for a backend server.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// Run serves the stand-ins with the given ids until ctx ends; without ids it
// serves all of them. It fails when the settings lack an id or an address cannot
// be listened on.
func (s *Standins) Run(ctx context.Context, ids ...string) error {
	wanted := make(map[string]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	g, ctx := errgroup.WithContext(ctx)
	found := 0
	if len(ids) == 0 || wanted[PlatformID] {
		found++
		g.Go(func() error { return s.runPlatform(ctx) })
	}
	for _, in := range s.settings.Instances {
		if in.Role != galenalatch.ServerRole || len(ids) > 0 && !wanted[in.ID] {
			continue
		}
		found++
		l, err := net.Listen("tcp", in.Address)
		if err != nil {
			return fmt.Errorf("stand-in %s: %w", in.ID, err)
		}
		v := s.server(in.Pool)
		g.Go(func() error { return v.Serve(ctx, l) })
	}
	if found < len(ids) {
		return fmt.Errorf("stand-ins %v: only %d of them are in the settings", ids, found)
	}
	return g.Wait()
}

func (s *Standins) server(p galenalatch.PoolName) server {
	if e, ok := s.settings.Engines[p]; ok {
		return engine.New(engine.Settings{
			Settings:        coldSettings(e.Cold),
			Models:          e.Models,
			Slots:           e.Slots,
			FirstToken:      e.FirstToken.Std(),
			TokenTime:       e.TokenTime.Std(),
			PromptTokenTime: e.PromptTokenTime.Std(),
			CacheTokens:     e.CacheTokens,
			ResumeWindow:    e.ResumeWindow.Std(),
		})
	}
	v := s.settings.Services[p]
	return service.New(service.Settings{
		Settings:  coldSettings(v.Cold),
		ReadTime:  v.ReadTime.Std(),
		WriteTime: v.WriteTime.Std(),
		Slots:     v.Slots,
	})
}

func coldSettings(c standin.Cold) process.Settings {
	return process.Settings{
		ColdLimit:           c.ColdLimit,
		ColdRequests:        c.ColdRequests,
		CrashOnColdOverload: c.CrashOnColdOverload,
		ChecksFencing:       c.ChecksFencing,
	}
}

// runPlatform serves the platform with the instance list of the settings and,
// when they name a catalogue file, the first version of the catalogue.
func (s *Standins) runPlatform(ctx context.Context) error {
	token, err := s.settings.Platform.Token.Read()
	if err != nil {
		return err
	}
	p := platform.New(platform.WithToken(token), platform.WithSeed(s.settings.Platform.Seed))
	for _, in := range s.settings.Instances {
		if err := p.SetInstance(in); err != nil {
			return err
		}
	}
	if s.settings.Platform.Catalogue != "" {
		first, err := s.settings.Platform.ReadCatalogue()
		if err != nil {
			return err
		}
		for _, in := range s.settings.Instances {
			if in.Role == galenalatch.RouterRole {
				first.Routers = append(first.Routers, galenalatch.RouterID(in.ID))
			}
		}
		if err := WriteInitialCatalogue(ctx, p, token, first); err != nil {
			return err
		}
	}
	l, err := net.Listen("tcp", s.settings.Platform.Listen)
	if err != nil {
		return err
	}
	h := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.Serve(l) })
	g.Go(func() error {
		<-ctx.Done()
		return h.Close()
	})
	if err := g.Wait(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// WriteInitialCatalogue writes first, including its list of routers, into the
// table of p as version 1 of the catalogue.
func WriteInitialCatalogue(ctx context.Context, p *platform.Server, token string, first galenalatch.Catalogue) error {
	c, err := httpclient.New("http://platform.invalid", httpclient.WithToken(token), httpclient.WithTransport(p.Transport()))
	if err != nil {
		return err
	}
	change := galenalatch.Diff(galenalatch.Catalogue{}, first)
	change.ID = "first"
	change.PutRouters = first.Routers
	change.Author = "standin"
	change.At = time.Now()
	_, err = catalogue.New(table.New(c), object.New(c)).Apply(ctx, 0, change)
	return err
}
