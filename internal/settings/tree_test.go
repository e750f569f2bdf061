package settings

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/result"
)

func baseTree() *Tree {
	tree := NewTree()
	tree.Apply(Change{Operator: "setup", Number: 1, Nodes: []NodeChange{
		{Path: "/pools/agents", Fields: Fields{Model: pointer("m")}},
		{Path: "/services/triage", Fields: Fields{Pool: pointer("agents"), Priority: pointer(int64(2))}},
	}})
	return tree
}

func setPriority(operator string, number, version uint64, path string, priority int64) Change {
	return Change{Operator: operator, Number: number, Nodes: []NodeChange{{Path: path, Version: version, Fields: Fields{Priority: &priority, Pool: pointer("agents")}}}}
}

func TestTree(t *testing.T) {
	Convey("a child inherits the fields that it doesn't set", t, func() {
		tree := baseTree()
		So(*tree.EffectiveFields("/services/triage/night").Priority, ShouldEqual, 2)
		So(*tree.EffectiveFields("/services/other").Priority, ShouldEqual, 5)
		So(tree.Apply(Change{Operator: "a", Number: 1, Nodes: []NodeChange{{Path: "/", Fields: Fields{MaxTurns: pointer(int64(9))}}}}).Error, ShouldBeNil)
		So(*tree.EffectiveFields("/services/triage").MaxTurns, ShouldEqual, 9)
	})
	Convey("a resent change receives the first reply, and a different change with the same number is rejected", t, func() {
		tree := baseTree()
		first := tree.Apply(setPriority("a", 7, 1, "/services/triage", 3))
		So(first.Error, ShouldBeNil)
		So(tree.Apply(setPriority("a", 7, 1, "/services/triage", 3)), ShouldResemble, first)
		So(tree.Apply(setPriority("a", 7, 2, "/services/triage", 4)).Error.Code, ShouldEqual, result.ChangeNumberReuse)
		So(tree.Revision(), ShouldEqual, first.Revision)
	})
	Convey("if two operators change the same version of a node under the same change number, the first wins and the other receives the winning node", t, func() {
		tree := baseTree()
		So(tree.Apply(setPriority("a", 7, 1, "/services/triage", 3)).Error, ShouldBeNil)
		conflict := tree.Apply(setPriority("b", 7, 1, "/services/triage", 4))
		So(conflict.Error.Code, ShouldEqual, result.SettingsConflict)
		So(conflict.Winner.Operator, ShouldEqual, "a")
	})
	Convey("an invalid change has no effect, and an unknown field is named in the error", t, func() {
		tree := baseTree()
		invalid := []Change{
			{Operator: "a", Number: 1, Nodes: []NodeChange{{Path: "/services/x", Fields: Fields{Pool: pointer("nowhere")}}}},
			{Operator: "a", Number: 2, Nodes: []NodeChange{{Path: "/pools/agents", Version: 1, Delete: true}}},
			{Operator: "a", Number: 3, Nodes: []NodeChange{{Path: "/pools/b"}}},
			{Operator: "a", Number: 4, Nodes: []NodeChange{{Path: "/services/triage", Version: 1, Fields: Fields{Priority: pointer(int64(99))}}}},
			{Operator: "a", Number: 5, Nodes: []NodeChange{{Path: "no slash"}}},
			{Operator: "a", Number: 6},
			{Operator: "a", Number: 7, Nodes: []NodeChange{{Path: "/", Delete: true}}},
		}
		for _, change := range invalid {
			reply := tree.Apply(change)
			So(reply.Error, ShouldNotBeNil)
			So(reply.Error.Code, ShouldEqual, result.SettingsInvalid)
		}
		So(tree.Revision(), ShouldEqual, 1)
		_, err := ParseFields([]byte(`{"rnak": 3}`))
		So(err.Error(), ShouldContainSubstring, "rnak")
	})
	Convey("a follower applies a change once and rejects it when it arrives again", t, func() {
		tree := baseTree()
		follower := NewTree()
		changes, ok := tree.ChangesSince(0)
		So(ok, ShouldBeTrue)
		So(follower.ApplyAccepted(changes[0]), ShouldBeTrue)
		So(follower.ApplyAccepted(changes[0]), ShouldBeFalse)
		So(*follower.EffectiveFields("/services/triage").Priority, ShouldEqual, 2)
	})
}

// TestConcurrentOperators checks, for arbitrary changes and resends of two operators, that each
// change number of each operator takes effect at most once, and that followers and restored trees
// reach the same state.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := baseTree()
		follower := NewTree()
		appliedRevisions := map[string]uint64{}
		var sent []Change
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			var change Change
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
				change = rapid.SampledFrom(sent).Draw(t, "resent")
			} else {
				path := rapid.SampledFrom([]string{"/services/triage", "/services/b"}).Draw(t, "path")
				node, _ := tree.Get(path)
				version := node.Version - uint64(rapid.IntRange(0, 1).Draw(t, "staleness"))
				change = setPriority(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "operator"),
					uint64(rapid.IntRange(1, 12).Draw(t, "number")), version, path, int64(rapid.IntRange(0, 9).Draw(t, "rank")))
			}
			sent = append(sent, change)
			before := tree.Revision()
			reply := tree.Apply(change)
			key := fmt.Sprint(change.Operator, change.Number)
			if tree.Revision() != before {
				if appliedRevisions[key] != 0 {
					t.Fatalf("%s took effect twice", key)
				}
				appliedRevisions[key] = reply.Revision
			}
			if reply.Error == nil && appliedRevisions[key] != reply.Revision {
				t.Fatalf("%s received revision %d in its reply, but took effect at revision %d", key, reply.Revision, appliedRevisions[key])
			}
		}
		changes, ok := tree.ChangesSince(0)
		if !ok {
			t.Fatal("accepted changes are missing")
		}
		for _, accepted := range changes {
			if !follower.ApplyAccepted(accepted) {
				t.Fatal("the follower rejected a change in order")
			}
		}
		leaderState, _ := tree.FollowerState()
		followerState, _ := follower.FollowerState()
		if string(leaderState) != string(followerState) {
			t.Fatal("the follower's tree differs")
		}
		data, _ := tree.Snapshot()
		restored := NewTree()
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		restoredData, _ := restored.Snapshot()
		if string(restoredData) != string(data) {
			t.Fatal("a restored tree differs from its snapshot")
		}
	})
}
