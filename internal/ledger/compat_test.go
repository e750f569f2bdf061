package ledger

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
)

// TestEarlierReleases holds what this package sends and stores against earlier releases.
func TestEarlierReleases(t *testing.T) {
	compat.CheckTypes(t, map[string]any{
		"groupSnapshot": &groupSnapshot{}, "placementNoted": &placementNoted{},
	})
}
