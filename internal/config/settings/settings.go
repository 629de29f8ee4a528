// Package settings defines the settings of a router process: a JSON document with
// camel-case names, read once at the start.
package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/check"
	"github.com/galenalatch/galenalatch/internal/config/document"
	"github.com/galenalatch/galenalatch/internal/config/duration"
	"github.com/galenalatch/galenalatch/internal/config/secret"
)

// Settings are the settings of one router process. They contain references to
// secrets and never the secrets themselves, so they can be printed.
type Settings struct {
	// ID is the name of the router in the platform's instance list.
	ID         galenalatch.RouterID   `json:"id" validate:"required,max=64,printascii"`
	DataCentre galenalatch.DataCentre `json:"dataCentre" validate:"required,max=64,printascii"`

	// Listen holds the addresses to listen on: for callers, for other routers
	// and for operators. Equal addresses share one listener.
	Listen struct {
		Caller   string `json:"caller" validate:"required,addrport"`
		Peer     string `json:"peer" validate:"required,addrport"`
		Operator string `json:"operator" validate:"required,addrport"`
	} `json:"listen"`

	// Platform is the platform's API: table service, object store and instance
	// list.
	Platform struct {
		Address string        `json:"address" validate:"required,http_url,max=1024"`
		Token   secret.Secret `json:"token"`
	} `json:"platform"`

	// Tokens authenticate other routers and operators.
	Tokens struct {
		Peer     secret.Secret `json:"peer"`
		Operator secret.Secret `json:"operator"`
	} `json:"tokens"`

	// Debug holds the address of an API for tests, which can cut the router off
	// from others. Without an address the API is off. The address must be a
	// loopback address.
	Debug struct {
		Listen string `json:"listen,omitempty" validate:"omitempty,addrport"`
	} `json:"debug,omitzero"`

	// Lease holds the times of the cell leases. All routers of a fleet must
	// have the same values: a router that takes over a cell waits for the
	// Duration and Margin of its own settings.
	Lease struct {
		Duration duration.Duration `json:"duration" validate:"between=1s:60s"`
		Renew    duration.Duration `json:"renew" validate:"between=100ms:20s"`
		Margin   duration.Duration `json:"margin" validate:"between=50ms:10s"`
	} `json:"lease"`

	// Drain holds the times of a graceful shutdown, which SIGTERM starts.
	Drain struct {
		// Delay is the time for which new requests are served after /readyz
		// starts to fail. It must be longer than the load balancer needs to
		// notice that.
		Delay duration.Duration `json:"delay" validate:"between=0s:5m"`
		// Limit is the time after Delay within which running requests may
		// finish.
		Limit duration.Duration `json:"limit" validate:"between=1s:24h"`
	} `json:"drain"`

	// Log holds the lowest level that is logged, and the format.
	Log struct {
		Level  string `json:"level" validate:"oneof=debug info warn error"`
		Format string `json:"format" validate:"oneof=text json logfmt"`
	} `json:"log"`

	// Limits holds the limits on callers' requests.
	Limits struct {
		// HeaderBytes and BodyBytes limit the size of a caller's request.
		HeaderBytes int   `json:"headerBytes" validate:"min=1024,max=1048576"`
		BodyBytes   int64 `json:"bodyBytes" validate:"min=1024,max=67108864"`
		// ConnectionsPerWorkspace limits the requests of one workspace that
		// this router holds at once.
		ConnectionsPerWorkspace int `json:"connectionsPerWorkspace" validate:"min=1,max=100000"`
		// HeldBytesPerWorkspace limits the total size of their bodies.
		HeldBytesPerWorkspace int64 `json:"heldBytesPerWorkspace" validate:"min=1024,max=17179869184,gtefield=BodyBytes"`
	} `json:"limits"`
}

// Default returns the defaults of fields that a document leaves out. Fields
// without a default, which a document must set, are empty.
func Default() Settings {
	var s Settings
	s.Listen.Caller = "0.0.0.0:8080"
	s.Listen.Peer = "0.0.0.0:8081"
	s.Listen.Operator = "0.0.0.0:8082"
	s.Lease.Duration = duration.Duration(4 * time.Second)
	s.Lease.Renew = duration.Duration(1400 * time.Millisecond)
	s.Lease.Margin = duration.Duration(500 * time.Millisecond)
	s.Drain.Delay = duration.Duration(10 * time.Second)
	s.Drain.Limit = duration.Duration(time.Hour)
	s.Log.Level = "info"
	s.Log.Format = "logfmt"
	s.Limits.HeaderBytes = 16 << 10
	s.Limits.BodyBytes = 4 << 20
	s.Limits.ConnectionsPerWorkspace = 512
	s.Limits.HeldBytesPerWorkspace = 64 << 20
	return s
}

// Load reads, decodes and validates the document in the file at path.
func Load(path string) (Settings, error) {
	return document.Load("settings", path, Parse)
}

// Parse decodes and validates a document.
func Parse(data []byte) (Settings, error) {
	return document.Parse(data, Default())
}

var checker = check.New()

// Check returns nil, or an error that lists the faults of s, each with its field,
// its value and what is allowed.
func (s Settings) Check() error {
	return document.Check(s)
}

// Faults implements document.Checked.
func (s Settings) Faults() []string {
	faults, _ := checker.Faults(s, document.MaxFaults)
	if len(faults) > 0 {
		return faults
	}
	return slices.Concat(s.listenFaults(), s.leaseFaults(), s.debugFaults())
}

// listenFaults finds listen addresses that differ but cannot be bound at the same
// time, because they have the same port and one of them is the wildcard address.
func (s Settings) listenFaults() []string {
	type named struct{ name, address string }
	list := []named{
		{"listen.caller", s.Listen.Caller},
		{"listen.peer", s.Listen.Peer},
		{"listen.operator", s.Listen.Operator},
	}
	var faults []string
	for i, a := range list {
		for _, b := range list[:i] {
			p, q := netip.MustParseAddrPort(a.address), netip.MustParseAddrPort(b.address)
			overlap := p.Addr().IsUnspecified() || q.Addr().IsUnspecified()
			if p != q && p.Port() == q.Port() && p.Port() != 0 && overlap {
				faults = append(faults, fmt.Sprintf("%s: %q overlaps with %s %q; allowed: the same address or another port",
					a.name, a.address, b.name, b.address))
			}
		}
	}
	return faults
}

// debugFaults requires that the API for tests has a loopback address and no
// listener in common with callers, routers or operators.
func (s Settings) debugFaults() []string {
	a := s.Debug.Listen
	if a == "" || netip.MustParseAddrPort(a).Addr().IsLoopback() && a != s.Listen.Caller && a != s.Listen.Peer && a != s.Listen.Operator {
		return nil
	}
	return []string{fmt.Sprintf("debug.listen: %q is not allowed; allowed: nothing, or a loopback address of its own", a)}
}

// leaseFaults requires that two renewals fit into the lease less its margin, so
// that one lost write does not end the lease.
func (s Settings) leaseFaults() []string {
	maxRenew := (s.Lease.Duration - s.Lease.Margin) / 2
	if s.Lease.Renew <= maxRenew {
		return nil
	}
	return []string{fmt.Sprintf("lease.renew: %v is not allowed; allowed: at most half of duration minus margin, %v",
		s.Lease.Renew, maxRenew)}
}

// String returns the settings as an indented JSON document.
func (s Settings) String() string {
	return document.String(s)
}
