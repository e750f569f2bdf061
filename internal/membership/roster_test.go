package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestRosterFollowers applies deltas from a directory or from other followers at arbitrary
// versions and checks that all followers at the latest version have the same list.
func TestRosterFollowers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directory := NewDirectory()
		followers := []*Roster{NewRoster(), NewRoster(), NewRoster()}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			name := fmt.Sprint("s", rapid.IntRange(0, 6).Draw(t, "scheduler"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				directory.Apply(Update{Schedulers: []Scheduler{{Name: name, Incarnation: directory.Version}}})
			case 1:
				directory.Apply(Update{RemoveSchedulers: []string{name}})
			case 2:
				directory.Apply(Update{Engines: []Engine{{Name: "e", Owner: name}}})
			case 3:
				data, err := directory.Snapshot()
				if err != nil || directory.Restore(data) != nil {
					t.Fatal("the snapshot does not restore")
				}
			default:
				to := followers[rapid.IntRange(0, 2).Draw(t, "to")]
				from := directory.Roster()
				if other := followers[rapid.IntRange(0, 2).Draw(t, "from")]; other != to && rapid.Bool().Draw(t, "peer") {
					from = other
				}
				before := to.Version()
				to.ApplyDelta(from.DeltaSince(to.Version()))
				if to.Version() < before {
					t.Fatalf("version decreased from %d to %d", before, to.Version())
				}
			}
		}
		for _, follower := range followers {
			follower.ApplyDelta(directory.Roster().DeltaSince(follower.Version()))
			if fmt.Sprint(follower.List()) != fmt.Sprint(directory.SchedulerList()) {
				t.Fatalf("follower has %v, the directory %v", follower.List(), directory.SchedulerList())
			}
		}
	})
}
