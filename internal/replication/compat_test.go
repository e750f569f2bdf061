package replication

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// TestEarlierReleases checks that the encodings of this package are compatible with earlier
// releases.
func TestEarlierReleases(t *testing.T) {
	compat.CheckTypes(t, map[string]any{
		"snapshotState": &snapshotState{}, "Records": &[]storage.Record{},
	})
}
