package consensus

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	// newReplica is the replica that replaces a voter in the tests.
	newReplica ReplicaID = 9
	// settleTicks is enough for an election and for what the new leader does first.
	settleTicks = 80
)

// addLearner adds newReplica as a learner and waits until it has caught up.
func (c *cluster) addLearner() {
	c.disks[newReplica] = &disk{}
	c.restart(newReplica)
	_ = c.leader().ProposeConfiguration(c.leader().Configuration().With(Replica{ID: newReplica, IsLearner: true}))
	c.runTicks(10)
}

// decides reports whether the group has a leader that commits a command.
func (c *cluster) decides() bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	index, _, err := leader.Propose([]byte("decided"))
	c.runTicks(settleTicks)
	return err == nil && string(c.committed[index].Data) == "decided"
}

// step lets one replica do its work and delivers its messages, in an order that the test draws.
func (c *cluster) step(t *rapid.T) {
	id := rapid.SampledFrom(c.ids()).Draw(t, "replica")
	c.process(id, 0)
	count := rapid.IntRange(0, len(c.inFlight)).Draw(t, "deliveries")
	delivered := slices.Clone(c.inFlight[:count])
	c.inFlight = slices.Clone(c.inFlight[count:])
	for _, message := range delivered {
		if node := c.nodes[message.To]; node != nil {
			node.Step(message)
		}
	}
}

// TestReplacementKeepsQuorumWhenAnotherDiskIsLost guards against a group that passes, while a silent voter is
// replaced, through a configuration in which the silent voter's disk counts no more and the new one's not
// yet: one more lost disk would end the group for good although a majority of the disks stands.
func TestReplacementKeepsQuorumWhenAnotherDiskIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "voters")
		c := newCluster(size, testOptions())
		c.runTicks(60)
		silent := c.leader().ID()%ReplicaID(size) + 1
		c.crashAndWake(silent)
		c.addLearner()
		if err := c.leader().ProposeReplacement(silent, newReplica); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			c.step(t)
		}
		lost := rapid.SampledFrom(slices.DeleteFunc(c.ids(), func(id ReplicaID) bool { return id == newReplica })).Draw(t, "lost disk")
		c.crashAndWake(lost)
		delete(c.disks, lost)
		c.restart(silent)
		c.runTicks(settleTicks)
		if !c.decides() {
			t.Fatalf("no quorum after the loss of disk %d", lost)
		}
		if c.violation != "" {
			t.Fatal(c.violation)
		}
	})
}

// TestReplacementsInARow guards against a group that loses a vote with each voter that is replaced, so that
// it ends after some losses although it always had a majority of its voters.
func TestReplacementsInARow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "voters")
		c := newCluster(size, testOptions())
		c.runTicks(60)
		for round := range ReplicaID(rapid.IntRange(1, 8).Draw(t, "replacements")) {
			next := newReplica + round
			lost := rapid.SampledFrom(c.ids()).Draw(t, "lost")
			c.crashAndWake(lost)
			delete(c.disks, lost)
			c.runTicks(settleTicks)
			c.disks[next] = &disk{}
			c.restart(next)
			leader := c.leader()
			if err := leader.ProposeConfiguration(leader.Configuration().With(Replica{ID: next, IsLearner: true})); err != nil {
				t.Fatal(err)
			}
			c.runTicks(10)
			if err := leader.ProposeReplacement(lost, next); err != nil {
				t.Fatal(err)
			}
			c.runTicks(10)
			configuration := leader.Configuration()
			if configuration.IsJoint() || len(configuration.Voters()) != size || configuration.IsVoter(lost) || !configuration.IsVoter(next) {
				t.Fatalf("configuration after round %d: %v", round, configuration)
			}
		}
		if !c.decides() || c.violation != "" {
			t.Fatal("the group decides nothing, or: ", c.violation)
		}
	})
}

func TestProposeReplacement(t *testing.T) {
	Convey("A replacement", t, func() {
		c := newCluster(3, testOptions())
		c.runTicks(60)
		leader := c.leader()
		voter := leader.ID()%3 + 1
		Convey("needs a learner, and a voter that it replaces", func() {
			So(leader.ProposeReplacement(voter, newReplica), ShouldEqual, ErrNotReplaceable)
			c.addLearner()
			So(leader.ProposeReplacement(7, newReplica), ShouldEqual, ErrNotReplaceable)
			So(leader.ProposeReplacement(newReplica, voter), ShouldEqual, ErrNotReplaceable)
			So(c.nodes[voter].ProposeReplacement(voter, newReplica), ShouldEqual, ErrNotLeader)
		})
		Convey("is the only change until the joint configuration has ended", func() {
			c.addLearner()
			So(leader.ProposeReplacement(voter, newReplica), ShouldBeNil)
			So(leader.Configuration().IsJoint(), ShouldBeTrue)
			So(leader.ProposeConfiguration(leader.Configuration().Without(voter)), ShouldEqual, ErrChangePending)
			So(leader.ProposeReplacement(voter, newReplica), ShouldEqual, ErrChangePending)
			c.runTicks(10)
			So(leader.Configuration().IsJoint(), ShouldBeFalse)
			So(leader.Configuration().IsVoter(voter), ShouldBeFalse)
			So(leader.Configuration().IsVoter(newReplica), ShouldBeTrue)
		})
		Convey("may replace the leader, which steps down", func() {
			c.addLearner()
			So(leader.ProposeReplacement(leader.ID(), newReplica), ShouldBeNil)
			c.runTicks(settleTicks)
			So(c.leader(), ShouldNotBeNil)
			So(c.leader().ID(), ShouldNotEqual, leader.ID())
			So(c.leader().Configuration().IsVoter(leader.ID()), ShouldBeFalse)
			So(c.violation, ShouldBeEmpty)
		})
		Convey("ends also if the leader fails before it has left the joint configuration", func() {
			c.addLearner()
			So(leader.ProposeReplacement(voter, newReplica), ShouldBeNil)
			c.process(leader.ID(), 0)
			delivered := c.inFlight
			c.inFlight = nil
			for _, message := range delivered {
				c.nodes[message.To].Step(message)
			}
			for _, id := range c.ids() {
				if id != leader.ID() {
					c.process(id, 0)
				}
			}
			c.crashAndWake(leader.ID())
			c.inFlight = nil
			c.runTicks(settleTicks)
			So(c.leader(), ShouldNotBeNil)
			So(c.leader().Configuration().IsJoint(), ShouldBeFalse)
			So(c.leader().Configuration().IsVoter(voter), ShouldBeFalse)
			So(c.violation, ShouldBeEmpty)
		})
	})
}
