package replication

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// TestEarlierReleases holds what this package sends and stores against earlier releases.
func TestEarlierReleases(t *testing.T) {
	compat.Hold(t, map[string]any{
		"snapshotState": &snapshotState{}, "Records": &[]storage.Record{},
	})
}
