package membership

import "testing"

// TestOwnersThatReturnHearOfTheirEngines drops all schedulers of a directory at once, as after a
// freeze of the leader, so that nobody is left to take their engines over, and lets them come
// back: who starts again knows nothing and must be told which engines are its own.
func TestOwnersThatReturnHearOfTheirEngines(t *testing.T) {
	directory := NewDirectory()
	scheduler := Scheduler{Name: "s", Zone: "z", Incarnation: 1}
	directory.Apply(Update{Schedulers: []Scheduler{scheduler}, Engines: []Engine{{Name: "e", Zone: "z", Pool: "p", Owner: "s"}}})
	directory.Apply(Update{RemoveSchedulers: []string{"s"}})
	directory.Apply(Update{Schedulers: []Scheduler{scheduler}})
	if len(directory.OwnedBy("s")) != 1 {
		t.Fatal("the engine has another owner")
	}
	if changed := directory.OwnedEnginesVersion("s"); changed != directory.Version {
		t.Fatalf("the engines of s changed at %d, at version %d it came back", changed, directory.Version)
	}
}
