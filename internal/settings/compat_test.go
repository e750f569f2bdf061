package settings

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
)

// TestEarlierReleases checks the compatibility of the package's encoded types with earlier releases.
func TestEarlierReleases(t *testing.T) {
	compat.CheckTypes(t, map[string]any{
		"snapshot": &snapshot{}, "Change": &Change{},
	})
}
