// Package standin defines the settings of the stand-ins for the platform and the
// backend servers, which tests and the demo use.
package standin

import (
	"fmt"
	"net/netip"
	"path/filepath"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/check"
	"github.com/galenalatch/galenalatch/internal/config/document"
)

// Settings are the settings of the stand-ins of one fleet.
type Settings struct {
	Platform Platform `json:"platform"`
	Network  Network  `json:"network"`
	// Engines and Services hold the behaviour of the backend servers by pool. A
	// pool is in one of them only.
	Engines  map[galenalatch.PoolName]Engine  `json:"engines" validate:"max=64,dive"`
	Services map[galenalatch.PoolName]Service `json:"services" validate:"max=64,dive"`
	// Instances is the initial instance list of the platform. The stand-ins
	// listen on the addresses of its backend servers.
	Instances []galenalatch.Instance `json:"instances" validate:"min=1,max=2000"`
}

// Load reads, decodes and validates the document in the file at path. A relative
// path of the catalogue is relative to the directory of this file.
func Load(path string) (Settings, error) {
	s, err := document.Load("stand-in settings", path, Parse)
	if err != nil {
		return Settings{}, err
	}
	if s.Platform.Catalogue != "" && !filepath.IsAbs(s.Platform.Catalogue) {
		s.Platform.Catalogue = filepath.Join(filepath.Dir(path), s.Platform.Catalogue)
	}
	return s, nil
}

// Parse decodes and validates a document.
func Parse(data []byte) (Settings, error) {
	return document.Parse(data, Settings{Platform: defaultPlatform()})
}

var checker = check.New()

// Faults implements document.Checked.
func (s Settings) Faults() []string {
	faults, _ := checker.Faults(s, document.MaxFaults)
	return append(faults, s.instanceFaults()...)
}

// instanceFaults finds faults of the instance list that the validate tags cannot
// express.
func (s Settings) instanceFaults() []string {
	var faults []string
	add := func(i int, field, value, allowed string) {
		faults = append(faults, fmt.Sprintf("instances[%d].%s: %s is not allowed; allowed: %s", i, field, check.Quote(value), allowed))
	}
	ids := make(map[string]bool)
	addresses := make(map[string]bool)
	for i, x := range s.Instances {
		if x.ID == "" || ids[x.ID] {
			add(i, "id", x.ID, "a name that no other instance has")
		}
		ids[x.ID] = true
		if _, err := netip.ParseAddrPort(x.Address); err != nil || addresses[x.Address] {
			add(i, "address", x.Address, "an IP address with a port that no other instance has")
		}
		addresses[x.Address] = true
		if x.DataCentre == "" {
			add(i, "dataCentre", "", "a name")
		}
		_, engine := s.Engines[x.Pool]
		_, service := s.Services[x.Pool]
		switch {
		case x.Role == galenalatch.ServerRole && engine == service:
			add(i, "pool", string(x.Pool), "a pool of engines or of services")
		case x.Role == galenalatch.RouterRole && x.Pool != "":
			add(i, "pool", string(x.Pool), "no pool for a router")
		case x.Role != galenalatch.RouterRole && x.Role != galenalatch.ServerRole:
			add(i, "role", string(x.Role), "one of router, server")
		}
	}
	return faults
}

// String returns the settings as an indented JSON document.
func (s Settings) String() string {
	return document.String(s)
}
