package control

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
)

// TestEarlierReleases checks that what this package sends and stores is compatible with earlier
// releases.
func TestEarlierReleases(t *testing.T) {
	compat.CheckTypes(t, map[string]any{
		"systemCommand": &systemCommand{}, "systemSnapshot": &systemSnapshot{},
	})
}
