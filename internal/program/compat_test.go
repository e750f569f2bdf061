package program

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
)

// TestEarlierReleases checks the encodings that this package sends and stores against earlier
// releases.
func TestEarlierReleases(t *testing.T) {
	compat.CheckTypes(t, map[string]any{
		"headers": &[]*Header{}, "turnsSnapshot": &turnLedgerSnapshot{}, "Command": &Command{}, "TurnCommand": &TurnCommand{}, "TurnRecord": &TurnRecord{},
	})
}
