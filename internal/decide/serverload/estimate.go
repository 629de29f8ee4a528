// Package serverload estimates how long work takes on a backend server now from what
// servers say in their answers.
//
// It answers loads that differ between servers: servers share their machines with
// others, so that some are always slower than others and all of them turn slow for
// moments. A single router hears of a server seldom, and what it hears is old and
// changes many times a second. The estimate therefore separates what a server usually
// says from what it has said lately. Routers pass on what they hear.
package serverload

import (
	"math"
	"time"
)

const (
	// MinSlowdown and MaxSlowdown bound the slowdown that a server may report. A word can
	// only keep requests away: hundreds of routers would act on that of a fast server.
	MinSlowdown = 1
	MaxSlowdown = 8
	// recentTime and lastingTime are the times over which the recent and the lasting
	// slowdown are averaged. firstTime is the time for which the first word counts.
	recentTime  = 700 * time.Millisecond
	lastingTime = 10 * time.Second
	firstTime   = 200 * time.Millisecond
	// fadeTime is the time without news after which a server counts as slow as it
	// usually is.
	fadeTime = 1500 * time.Millisecond
	// repeatTime is the time after which other routers are told again what they know,
	// for those that have started since.
	repeatTime = 5 * time.Second
	// resolution is the change that other routers are told of, as a part of what they
	// know.
	resolution = 0.2
	// classMargin is by how many octaves the lasting slowdown leaves its class before the
	// class changes.
	classMargin = 0.75
	// settleTime is the time over which a server has to be heard before it gets a class:
	// the first words may be of a slow moment.
	settleTime = 2 * time.Second
)

// Word is what a server has said of its speed in an answer.
type Word struct {
	At time.Time
	// Slowdown is how much longer than usual work takes.
	Slowdown float64
}

// Estimate is the estimate for one server. The zero value is that of a server which has
// said nothing. It is not safe for concurrent use.
type Estimate struct {
	lasting float64
	// class is the lasting slowdown as a power of two.
	class  float64
	recent float64
	first  time.Time
	newest time.Time
	// told is the newest word that other routers were told or have told.
	told Word
}

// Known reports whether the server has said how long work takes.
func (e *Estimate) Known() bool { return e.lasting > 0 }

// Age returns the time since the newest word, and 0 if the server has said nothing.
func (e *Estimate) Age(now time.Time) time.Duration {
	if !e.Known() {
		return 0
	}
	return max(now.Sub(e.newest), 0)
}

// Slowdown returns how much longer than usual work is expected to take now. It is 1 for
// a server that has said nothing.
func (e *Estimate) Slowdown(now time.Time) float64 {
	if !e.Known() {
		return 1
	}
	age := e.Age(now)
	if age >= fadeTime {
		return e.lasting
	}
	return e.lasting + (e.recent-e.lasting)*(1-float64(age)/float64(fadeTime))
}

// Class returns the lasting slowdown as a power of two. It changes seldom, and is mostly
// the same on all routers.
func (e *Estimate) Class() float64 {
	if e.class == 0 {
		return 1
	}
	return e.class
}

// updateClass follows the lasting slowdown.
func (e *Estimate) updateClass() {
	if e.newest.Sub(e.first) < settleTime {
		return
	}
	if octaves := math.Log2(e.lasting); math.Abs(octaves-math.Log2(e.Class())) > classMargin {
		e.class = math.Exp2(math.Round(octaves))
	}
}

// Record adds a word. Each word counts for the time since the one before it, so that
// many answers at one moment have the effect of one. Older words than the newest one
// are dropped, and those that are no number.
func (e *Estimate) Record(w Word) {
	if math.IsNaN(w.Slowdown) {
		return
	}
	slowdown := min(max(w.Slowdown, MinSlowdown), MaxSlowdown)
	if !e.Known() {
		e.lasting, e.recent, e.first, e.newest = slowdown, slowdown, w.At, w.At
		return
	}
	since := w.At.Sub(e.newest)
	if since <= 0 {
		return
	}
	e.newest = w.At
	e.recent += (slowdown - e.recent) * weight(since, recentTime)
	e.lasting += (slowdown - e.lasting) * weight(since, min(firstTime+w.At.Sub(e.first), lastingTime))
	e.updateClass()
}

// weight returns the weight of a value that holds for a time in a mean over another.
func weight(since, over time.Duration) float64 {
	return float64(since) / float64(since+over)
}

// Tell reports whether other routers have to be told of a word of this server that this
// router has received, and records it as told. It must be called before Record.
func (e *Estimate) Tell(w Word) bool {
	known := e.told.Slowdown
	if since := w.At.Sub(e.told.At); since < repeatTime && w.Slowdown < known*(1+resolution) && w.Slowdown > known*(1-resolution) {
		return false
	}
	e.told = w
	return true
}

// RecordTold adds a word that another router has received.
func (e *Estimate) RecordTold(w Word) {
	if w.At.After(e.told.At) {
		e.told = w
	}
	e.Record(w)
}
