package standin

import (
	"fmt"
	"os"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/duration"
	"github.com/galenalatch/galenalatch/internal/config/secret"
	"github.com/galenalatch/galenalatch/internal/config/strict"
)

// Platform holds the settings of the stand-in for the table service, the object
// store and the instance list.
type Platform struct {
	Listen string        `json:"listen" validate:"required,addrport"`
	Token  secret.Secret `json:"token"`
	// Catalogue is the path of a file with the first version of the catalogue;
	// empty when there is none.
	Catalogue string `json:"catalogue,omitempty" validate:"max=4096"`
	// Seed is the seed of the random choice of lost responses.
	Seed uint64 `json:"seed"`
}

func defaultPlatform() Platform {
	return Platform{Listen: "127.0.0.1:7000", Seed: 1}
}

// ReadCatalogue reads and decodes the file at the path Catalogue. It does not
// validate the catalogue.
func (p Platform) ReadCatalogue() (galenalatch.Catalogue, error) {
	data, err := os.ReadFile(p.Catalogue)
	if err != nil {
		return galenalatch.Catalogue{}, fmt.Errorf("catalogue: %w", err)
	}
	var c galenalatch.Catalogue
	if err := strict.Decode(data, &c); err != nil {
		return galenalatch.Catalogue{}, fmt.Errorf("catalogue %s: %w", p.Catalogue, err)
	}
	return c, nil
}

// Network holds the one-way latencies of the simulated network.
type Network struct {
	BetweenDataCentres duration.Duration `json:"betweenDataCentres" validate:"between=0s:1s"`
	ToClients          duration.Duration `json:"toClients" validate:"between=0s:1s"`
}
