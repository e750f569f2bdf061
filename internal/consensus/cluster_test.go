package consensus

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// disk holds the state of one replica that survives a crash.
type disk struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

func (d *disk) write(ready Ready) {
	if ready.Snapshot != nil {
		d.snapshot = *ready.Snapshot
		d.entries = nil
	}
	for _, entry := range ready.Entries {
		keep := int(entry.Index - d.snapshot.Index - 1)
		d.entries = append(slices.Clone(d.entries[:keep]), entry)
	}
	if ready.HardState != nil {
		d.hardState = *ready.HardState
	}
}

// cluster runs replicas over a network that is controlled by the test.
type cluster struct {
	nodes        map[ReplicaID]*Node
	disks        map[ReplicaID]*disk
	inFlight     []Message
	committed    map[uint64]Entry
	appliedIndex map[ReplicaID]uint64
	leaderByTerm map[uint64]ReplicaID
	options      Options
	violation    string
}

func newCluster(size int, options Options) *cluster {
	c := &cluster{
		nodes: map[ReplicaID]*Node{}, disks: map[ReplicaID]*disk{}, committed: map[uint64]Entry{},
		appliedIndex: map[ReplicaID]uint64{}, leaderByTerm: map[uint64]ReplicaID{}, options: options,
	}
	var configuration Configuration
	for id := 1; id <= size; id++ {
		configuration.Replicas = append(configuration.Replicas, Replica{ID: ReplicaID(id), Member: fmt.Sprint("m", id)})
	}
	for id := 1; id <= size; id++ {
		c.disks[ReplicaID(id)] = &disk{snapshot: Snapshot{Configuration: configuration}}
		c.restart(ReplicaID(id))
	}
	return c
}

func testOptions() Options {
	return Options{Seed: 7, ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 1 << 16, MaxInflight: 8, QuiesceTicks: 12}
}

func (c *cluster) restart(id ReplicaID) {
	options := c.options
	options.ID = id
	persisted := c.disks[id]
	c.nodes[id] = NewNode(options, PersistedState{HardState: persisted.hardState, Snapshot: persisted.snapshot, Entries: slices.Clone(persisted.entries)})
	c.appliedIndex[id] = persisted.snapshot.Index
}

func (c *cluster) ids() []ReplicaID {
	var ids []ReplicaID
	for id := range c.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *cluster) diskIDs() []ReplicaID {
	var ids []ReplicaID
	for id := range c.disks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// crashAndWake removes a replica, as a crash does, and wakes the others, as their owners do when a peer
// process is suspected to have failed.
func (c *cluster) crashAndWake(id ReplicaID) {
	delete(c.nodes, id)
	for _, node := range c.nodes {
		node.Wake()
	}
}

// process does the work of one Ready. With crashPoint 1 the replica crashes before the sync, with
// crashPoint 2 after it.
func (c *cluster) process(id ReplicaID, crashPoint int) {
	node := c.nodes[id]
	if node == nil || !node.HasReady() {
		return
	}
	ready := node.Ready()
	c.inFlight = append(c.inFlight, ready.Messages...)
	if crashPoint == 1 {
		delete(c.nodes, id)
		return
	}
	c.disks[id].write(ready)
	if crashPoint == 2 {
		delete(c.nodes, id)
		return
	}
	c.inFlight = append(c.inFlight, ready.MessagesAfterSync...)
	if ready.Snapshot != nil {
		c.appliedIndex[id] = ready.Snapshot.Index
	}
	c.checkInvariants(id, ready)
	node.Advance(ready)
	for _, to := range ready.SnapshotTargets {
		index := node.AppliedIndex()
		term, ok := node.log.term(index)
		if ok {
			node.SendSnapshot(to, Snapshot{Index: index, Term: term, Configuration: node.ConfigurationAt(index)})
		}
	}
}

func (c *cluster) checkInvariants(id ReplicaID, ready Ready) {
	node := c.nodes[id]
	if node.Role() == Leader {
		if other, ok := c.leaderByTerm[node.Term()]; ok && other != id {
			c.violation = fmt.Sprintf("two leaders in term %d: %d and %d", node.Term(), other, id)
		}
		c.leaderByTerm[node.Term()] = id
	}
	for _, entry := range ready.CommittedEntries {
		if entry.Index != c.appliedIndex[id]+1 {
			c.violation = fmt.Sprintf("replica %d applied index %d after %d", id, entry.Index, c.appliedIndex[id])
		}
		c.appliedIndex[id] = entry.Index
		known, ok := c.committed[entry.Index]
		if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
			c.violation = fmt.Sprintf("index %d committed with different entries, of terms %d and %d", entry.Index, known.Term, entry.Term)
		}
		c.committed[entry.Index] = entry
	}
}

func (c *cluster) leader() *Node {
	var found *Node
	for _, id := range c.ids() {
		if c.nodes[id].Role() == Leader && (found == nil || c.nodes[id].Term() > found.Term()) {
			found = c.nodes[id]
		}
	}
	return found
}

// runTicks runs the cluster without faults for a number of ticks.
func (c *cluster) runTicks(ticks int) {
	for range ticks {
		for _, id := range c.ids() {
			c.nodes[id].Tick()
		}
		for range 20 {
			for _, id := range c.ids() {
				c.process(id, 0)
			}
			delivered := c.inFlight
			c.inFlight = nil
			for _, message := range delivered {
				if node := c.nodes[message.To]; node != nil {
					node.Step(message)
				}
			}
		}
	}
}

func (c *cluster) proposeRandomChange(t *rapid.T) {
	leader := c.leader()
	if leader == nil {
		return
	}
	next := leader.Configuration()
	id := ReplicaID(rapid.IntRange(1, 5).Draw(t, "changed replica"))
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		next = next.With(Replica{ID: id, IsLearner: true})
	case 1:
		next = next.With(Replica{ID: id})
	case 2:
		_ = leader.ProposeReplacement(ReplicaID(rapid.IntRange(1, 5).Draw(t, "replaced voter")), id)
		return
	default:
		next = next.Without(id)
	}
	if len(next.Voters()) < 2 {
		return
	}
	if c.disks[id] == nil {
		c.disks[id] = &disk{}
		c.restart(id)
	}
	_ = leader.ProposeConfiguration(next)
}

func (c *cluster) takeRandomAction(t *rapid.T) {
	id := rapid.SampledFrom(c.diskIDs()).Draw(t, "replica")
	node := c.nodes[id]
	switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
	case node == nil:
		if action < 6 {
			c.restart(id)
		}
	case action < 6:
		for range rapid.IntRange(1, 12).Draw(t, "ticks") {
			node.Tick()
		}
	case action < 12:
		c.process(id, 0)
	case action == 12:
		c.process(id, 1)
	case action == 13:
		c.process(id, 2)
	case action == 14:
		c.proposeRandomChange(t)
	case action == 15 && node.AppliedIndex() > 2:
		index := node.AppliedIndex() - 1
		if index > node.SnapshotIndex() {
			term, _ := node.log.term(index)
			c.disks[id].entries = c.disks[id].entries[index-c.disks[id].snapshot.Index:]
			c.disks[id].snapshot = Snapshot{Index: index, Term: term, Configuration: node.ConfigurationAt(index)}
			node.Compact(index)
		}
	default:
		_, _, _ = node.Propose([]byte(fmt.Sprint(len(c.committed), id)))
	}
	c.deliverRandomMessages(t)
}

func (c *cluster) deliverRandomMessages(t *rapid.T) {
	for range rapid.IntRange(0, 4).Draw(t, "deliveries") {
		if len(c.inFlight) == 0 {
			return
		}
		position := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
		message := c.inFlight[position]
		if rapid.IntRange(0, 9).Draw(t, "duplicate") > 0 {
			c.inFlight = slices.Delete(c.inFlight, position, position+1)
		}
		node := c.nodes[message.To]
		if node != nil && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
			node.Step(message)
		}
	}
}

// TestSafetyUnderAnyInterleaving checks with random actions, message losses and crashes that a term
// has at most one leader, and that all replicas apply the same entries in order.
func TestSafetyUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, testOptions())
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			c.takeRandomAction(t)
			if c.violation != "" {
				t.Fatal(c.violation)
			}
		}
	})
}

func TestProgress(t *testing.T) {
	Convey("a healthy group elects a leader, commits, confirms reads and becomes quiescent", t, func() {
		c := newCluster(3, testOptions())
		c.runTicks(60)
		leader := c.leader()
		So(leader, ShouldNotBeNil)
		So(leader.IsQuiescent(), ShouldBeTrue)
		index, _, err := leader.Propose([]byte("x"))
		So(err, ShouldBeNil)
		c.runTicks(6)
		So(string(c.committed[index].Data), ShouldEqual, "x")
		So(leader.ReadIndex(41), ShouldBeNil)
		c.process(leader.ID(), 0)
		for _, message := range c.inFlight {
			c.nodes[message.To].Step(message)
		}
		c.inFlight = nil
		for _, id := range c.ids() {
			if id != leader.ID() {
				c.process(id, 0)
			}
		}
		for _, message := range c.inFlight {
			c.nodes[message.To].Step(message)
		}
		So(leader.Ready().ReadStates, ShouldResemble, []ReadState{{Context: 41, Index: index}})
	})
	Convey("a partitioned leader confirms no reads and steps down", t, func() {
		c := newCluster(3, testOptions())
		c.runTicks(60)
		old := c.leader()
		c.crashAndWake(old.ID())
		c.runTicks(60)
		So(c.leader(), ShouldNotBeNil)
		So(old.ReadIndex(1), ShouldBeNil)
		for range 30 {
			old.Tick()
		}
		So(old.Ready().ReadStates, ShouldBeEmpty)
		So(old.Role(), ShouldNotEqual, Leader)
	})
	Convey("leadership is transferred on request", t, func() {
		c := newCluster(3, testOptions())
		c.runTicks(60)
		old := c.leader().ID()
		target := old%3 + 1
		So(c.leader().TransferLeadership(target), ShouldBeTrue)
		c.runTicks(3)
		So(c.leader().ID(), ShouldEqual, target)
	})
}

func TestLostDisk(t *testing.T) {
	Convey("a member that lost its disk rejoins as a new replica, and the group then survives the loss of a second machine", t, func() {
		c := newCluster(3, testOptions())
		c.runTicks(60)
		lost := c.leader().ID()%3 + 1
		delete(c.nodes, lost)
		delete(c.disks, lost)
		c.disks[9] = &disk{}
		c.restart(9)
		leader := c.leader()
		for range 30 {
			_, _, _ = leader.Propose([]byte("filler"))
		}
		c.runTicks(10)
		So(leader.ProposeConfiguration(leader.Configuration().Without(lost)), ShouldBeNil)
		c.runTicks(5)
		So(leader.ProposeConfiguration(leader.Configuration().With(Replica{ID: 9, IsLearner: true})), ShouldBeNil)
		c.runTicks(10)
		So(leader.IsCaughtUp(9, 0), ShouldBeTrue)
		So(leader.ProposeConfiguration(leader.Configuration().With(Replica{ID: 9})), ShouldBeNil)
		c.runTicks(10)
		before := len(c.committed)
		c.crashAndWake(leader.ID())
		c.runTicks(60)
		So(c.leader(), ShouldNotBeNil)
		_, _, err := c.leader().Propose([]byte("after"))
		So(err, ShouldBeNil)
		c.runTicks(5)
		So(len(c.committed), ShouldBeGreaterThan, before)
		So(c.violation, ShouldBeEmpty)
	})
}
