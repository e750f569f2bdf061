package membership

import "testing"

// TestReturningOwnersReceiveTheirEngines guards against a returning scheduler that never
// receives its engines. All schedulers of a directory are removed at once, as after a freeze
// of the leader, so that no scheduler is left to take over their engines. A scheduler that
// starts again has no state and must receive the list of its engines.
func TestReturningOwnersReceiveTheirEngines(t *testing.T) {
	directory := NewDirectory()
	scheduler := Scheduler{Name: "s", Zone: "z", Incarnation: 1}
	directory.Apply(Update{Schedulers: []Scheduler{scheduler}, Engines: []Engine{{Name: "e", Zone: "z", Pool: "p", Owner: "s"}}})
	directory.Apply(Update{RemoveSchedulers: []string{"s"}})
	directory.Apply(Update{Schedulers: []Scheduler{scheduler}})
	if len(directory.OwnedBy("s")) != 1 {
		t.Fatal("the engine has another owner")
	}
	if changed := directory.OwnedEnginesVersion("s"); changed != directory.Version {
		t.Fatalf("version of the engines of s is %d, but s returned at version %d", changed, directory.Version)
	}
}
