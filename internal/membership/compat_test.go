package membership

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
)

// TestEarlierReleases checks the encodings that this package sends and stores against earlier
// releases.
func TestEarlierReleases(t *testing.T) {
	compat.CheckTypes(t, map[string]any{
		"fleetState": &fleetState{}, "directory": &directorySnapshot{},
	})
}
