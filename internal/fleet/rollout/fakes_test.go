package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/store"
)

// jsonRows stores a status as JSON under the key s/SERVICE.
type jsonRows struct{}

func (jsonRows) Table() string { return "progress" }

func (jsonRows) Encode(s galenalatch.RolloutStatus) (galenalatch.StoreRow, error) {
	value, err := json.Marshal(s)
	return galenalatch.StoreRow{Key: "s/" + s.Service, Value: value, Version: s.Version}, err
}

func (jsonRows) Decode(r galenalatch.StoreRow) (galenalatch.RolloutStatus, bool, error) {
	service, ok := strings.CutPrefix(r.Key, "s/")
	s := galenalatch.RolloutStatus{}
	err := json.Unmarshal(r.Value, &s)
	if err != nil {
		s = galenalatch.RolloutStatus{}
	}
	s.Service, s.Version = service, r.Version
	return s, ok, err
}

// routerStore is the store as one router reaches it.
type routerStore struct {
	*store.Store
	cut    atomic.Bool
	writes *atomic.Int64
}

var errCut = errors.New("cut off")

func (s *routerStore) Rows(ctx context.Context, table string, after galenalatch.Position, wait time.Duration) (galenalatch.RowUpdate, error) {
	if s.cut.Load() {
		return galenalatch.RowUpdate{}, errCut
	}
	return s.Store.Rows(ctx, table, after, wait)
}

func (s *routerStore) Write(ctx context.Context, table string, r galenalatch.StoreRow) error {
	s.writes.Add(1)
	if s.cut.Load() {
		return errCut
	}
	return s.Store.Write(ctx, table, r)
}
