package gateway

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/host"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// observer logs the events of the gateway's components and updates the metrics.
// It implements view.Events, host.Events, health.Events, rollout.Events and feed.Events.
type observer struct {
	log     *events.Log
	metrics *gatewayMetrics
}

// StoreUnreachable implements view.Events.
func (o observer) StoreUnreachable(feed string, took time.Duration, err error) {
	o.log.Event(events.StoreUnreachable, "feed", feed, "took", roundToMillis(took), "error", err)
}

// StoreReachable implements view.Events.
func (o observer) StoreReachable(feed string, after time.Duration) {
	o.log.Event(events.StoreReachable, "feed", feed, "after", after.Round(time.Millisecond))
}

// StoreRestored implements view.Events.
func (o observer) StoreRestored(feed string, before, now galenalatch.Position) {
	o.log.Event(events.StoreRestored, "feed", feed, "era", before.Era, "store", before.Version, "newEra", now.Era, "newStore", now.Version)
}

// Applied implements view.Events.
func (o observer) ConfigurationApplied(c *galenalatch.Configuration, p galenalatch.Position) {
	o.log.Event(events.ConfigurationApplied, "configuration", c.Version, "store", p.Version, "routes", len(c.Routes), "keys", len(c.Keys))
}

// OutOfService implements view.Events.
func (o observer) OutOfService(d galenalatch.DataCentre, out bool, p galenalatch.Position) {
	n := events.DataCentreReturned
	if out {
		n = events.DataCentreOutOfService
	}
	o.log.Event(n, "dataCentre", d, "store", p.Version)
}

// Server implements view.Events.
func (o observer) Server(r galenalatch.Registration, p galenalatch.Position) {
	o.log.Event(events.ServerEntry, "server", r.ID, "service", r.Service, "address", r.Address, "dataCentre", r.DataCentre,
		"leaving", r.Leaving, "coldFor", r.ColdFor, "store", p.Version)
}

// ServerRemoved implements view.Events.
func (o observer) ServerRemoved(id galenalatch.ServerID, p galenalatch.Position) {
	o.log.Event(events.ServerEntryRemoved, "server", id, "store", p.Version)
}

// Invalid implements view.Events.
func (o observer) Invalid(feed string, err error) {
	o.log.Event(events.EntryInvalid, "feed", feed, "error", err)
}

// Placed implements host.Events.
func (o observer) Placed(r galenalatch.RequestID, d host.Decision) {
	o.metrics.keptTokens.Add(float64(d.Cached))
	o.log.Event(events.RequestPlaced, append([]any{"request", r, "route", d.Route, "workspace", d.Workspace, "cost", d.Tokens, "server", d.Server, "attempt", d.Attempt,
		"configuration", d.Configuration, "proofAge", roundToMillis(d.ProofAge), "wait", roundToMillis(d.Wait), "prefill", roundToMillis(d.Prefill), "overhead", roundToMillis(d.Overhead), "cached", d.Cached, "home", d.Home, "cold", d.Cold, "slowdown", roundToHundredths(d.Slowdown), "wordAge", roundToMillis(d.WordAge), "waited", roundToMillis(d.Waited),
		"share", roundToHundredths(d.Fractions.OfRate), "ofBegun", roundToHundredths(d.Fractions.OfStarted), "pace", roundToHundredths(d.Fractions.Pace)}, streamFields(d)...)...)
}

// streamFields returns the fields of a stream that is tied to a version.
func streamFields(d host.Decision) []any {
	var fields []any
	if d.Version != "" {
		fields = append(fields, "version", d.Version)
	}
	if d.Resumes != "" {
		fields = append(fields, "resumes", d.Resumes)
	}
	return fields
}

// Attempted implements host.Events.
func (o observer) Attempted(r galenalatch.RequestID, d host.Decision, status int, err error) {
	if err == nil {
		return
	}
	o.metrics.attempts.WithLabelValues("failed").Inc()
	i := d.Interruption
	if len(i.Parts) == 0 && !i.ServerEnded {
		o.log.Event(events.AttemptEnded, "request", r, "server", d.Server, "attempt", d.Attempt, "status", status, "error", err)
		return
	}
	o.log.Event(events.AttemptEnded, "request", r, "server", d.Server, "attempt", d.Attempt, "status", status,
		"begun", i.Begun, "serverEnded", i.ServerEnded, "parts", partIDs(i.Parts), "error", err)
	if i.ServerEnded {
		o.metrics.interruptions.WithLabelValues(strconv.FormatBool(i.Begun)).Inc()
	}
}

// partHeld logs that requests with a prompt part are held back.
func (o observer) partHeld(key uint64, name string, crashes int) {
	o.log.Event(events.PartHeld, "part", name, "key", strconv.FormatUint(key, 16), "crashes", crashes)
	o.metrics.heldParts.Inc()
}

// partReleased logs that requests with a prompt part are sent again.
func (o observer) partReleased(key uint64, name string) {
	o.log.Event(events.PartReleased, "part", name, "key", strconv.FormatUint(key, 16))
	o.metrics.heldParts.Dec()
}

// Refused implements host.Events.
func (o observer) Refused(r galenalatch.RequestID, d host.Decision, err error) {
	o.log.Event(events.GatewayRefused, append([]any{"request", r, "route", d.Route, "workspace", d.Workspace, "cost", d.Tokens, "configuration", d.Configuration,
		"proofAge", roundToMillis(d.ProofAge), "wait", roundToMillis(d.Wait), "prefill", roundToMillis(d.Prefill), "overhead", roundToMillis(d.Overhead), "waited", roundToMillis(d.Waited),
		"share", roundToHundredths(d.Fractions.OfRate), "ofBegun", roundToHundredths(d.Fractions.OfStarted), "pace", roundToHundredths(d.Fractions.Pace),
		"queue", roundToMillis(d.Queue), "error", err}, streamFields(d)...)...)
	o.metrics.refusals.WithLabelValues(string(galenalatch.KindOf(err))).Inc()
}

// Panicked implements host.Events.
func (o observer) Panicked(r galenalatch.RequestID, d host.Decision, err error) {
	o.log.Event(events.RequestPanicked, "request", r, "route", d.Route, "workspace", d.Workspace, "server", d.Server, "error", err)
	o.metrics.panics.Inc()
}

// Ended implements host.Events.
func (o observer) Ended(r galenalatch.RequestID, d host.Decision, status int, err error) {
	if err == nil {
		o.log.Event(events.GatewayAnswered, "request", r, "server", d.Server, "status", status, "first", roundToMillis(d.FirstByte))
	} else {
		o.log.Event(events.GatewayAnswered, "request", r, "server", d.Server, "status", status, "first", roundToMillis(d.FirstByte), "error", err)
	}
	o.metrics.recordEnd(d, status, err)
}

// partIDs returns the ids of prompt parts, separated by commas.
func partIDs(parts []galenalatch.PromptPart) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return strings.Join(ids, ",")
}

// LimitChanged implements host.Events.
func (o observer) LimitChanged(s galenalatch.ServerID, named bool, rate float64) {
	o.log.Event(events.LimitChanged, "server", s, "named", named, "rate", rate)
	o.metrics.limitChanges.Inc()
}

// LoadInvalid implements host.Events.
func (o observer) LoadInvalid(s galenalatch.ServerID, value string) {
	o.log.Event(events.LoadInvalid, "server", s, "value", value)
	o.metrics.invalidLoads.Inc()
}

// LimitInvalid implements host.Events.
func (o observer) LimitInvalid(s galenalatch.ServerID, value string) {
	o.log.Event(events.LimitInvalid, "server", s, "value", value)
}

// LeavingAnnounced implements host.Events.
func (o observer) LeavingAnnounced(s galenalatch.ServerID) {
	o.log.Event(events.LeavingAnnounced, "server", s, "reason", placement.LeavingAnnounced)
}

// ColdByHealth implements health.Events.
func (o observer) ColdByHealth(s galenalatch.ServerID, d time.Duration) {
	o.log.Event(events.ColdByHealth, "server", s, "coldFor", roundToMillis(d))
}

// PauseRequested implements host.Events.
func (o observer) PauseRequested(s galenalatch.ServerID, asked, wait time.Duration) {
	o.log.Event(events.PauseRequested, "server", s, "reason", placement.PauseRequested, "asked", roundToMillis(asked), "wait", roundToMillis(wait))
	o.metrics.pauses.Inc()
}

// roundToMillis shortens a duration for a log line.
func roundToMillis(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}

// roundToHundredths shortens a fraction for a log line.
func roundToHundredths(f float64) float64 {
	return math.Round(f*100) / 100
}
