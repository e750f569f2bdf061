package ledger

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
)

// TestEarlierReleases checks that the encodings of this package are compatible with earlier
// releases.
func TestEarlierReleases(t *testing.T) {
	compat.CheckTypes(t, map[string]any{
		"groupSnapshot": &groupSnapshot{}, "placementNoted": &savedPlacement{},
	})
}
