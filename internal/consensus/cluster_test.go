package consensus

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// disk is what survives a crash of one replica.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
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
		d.hard = *ready.HardState
	}
}

// cluster runs replicas over a network that the test drives.
type cluster struct {
	nodes     map[ReplicaID]*Node
	disks     map[ReplicaID]*disk
	network   []Message
	committed map[uint64]Entry
	applied   map[ReplicaID]uint64
	leaders   map[uint64]ReplicaID
	options   Options
	fault     string
}

func newCluster(size int, options Options) *cluster {
	c := &cluster{
		nodes: map[ReplicaID]*Node{}, disks: map[ReplicaID]*disk{}, committed: map[uint64]Entry{},
		applied: map[ReplicaID]uint64{}, leaders: map[uint64]ReplicaID{}, options: options,
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
	stored := c.disks[id]
	c.nodes[id] = NewNode(options, PersistedState{HardState: stored.hard, Snapshot: stored.snapshot, Entries: slices.Clone(stored.entries)})
	c.applied[id] = stored.snapshot.Index
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

// suspect removes a replica as a crash does, and tells the others, as the
// owner of the replicas does when a peer process falls silent.
func (c *cluster) suspect(id ReplicaID) {
	delete(c.nodes, id)
	for _, node := range c.nodes {
		node.Wake()
	}
}

// process carries out one Ready; stopBefore 1 crashes before the sync, 2 after.
func (c *cluster) process(id ReplicaID, stopBefore int) {
	node := c.nodes[id]
	if node == nil || !node.HasReady() {
		return
	}
	ready := node.Ready()
	c.network = append(c.network, ready.Messages...)
	if stopBefore == 1 {
		delete(c.nodes, id)
		return
	}
	c.disks[id].write(ready)
	if stopBefore == 2 {
		delete(c.nodes, id)
		return
	}
	c.network = append(c.network, ready.MessagesAfterSync...)
	if ready.Snapshot != nil {
		c.applied[id] = ready.Snapshot.Index
	}
	c.check(id, ready)
	node.Advance(ready)
	for _, to := range ready.SnapshotTargets {
		index := node.AppliedIndex()
		term, ok := node.log.term(index)
		if ok {
			node.SendSnapshot(to, Snapshot{Index: index, Term: term, Configuration: node.ConfigurationAt(index)})
		}
	}
}

func (c *cluster) check(id ReplicaID, ready Ready) {
	node := c.nodes[id]
	if node.Role() == Leader {
		if other, ok := c.leaders[node.Term()]; ok && other != id {
			c.fault = fmt.Sprintf("two leaders in term %d: %d and %d", node.Term(), other, id)
		}
		c.leaders[node.Term()] = id
	}
	for _, entry := range ready.CommittedEntries {
		if entry.Index != c.applied[id]+1 {
			c.fault = fmt.Sprintf("replica %d applied %d after %d", id, entry.Index, c.applied[id])
		}
		c.applied[id] = entry.Index
		known, ok := c.committed[entry.Index]
		if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
			c.fault = fmt.Sprintf("index %d committed twice: term %d and %d", entry.Index, known.Term, entry.Term)
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

// settle runs the cluster without faults for the given number of ticks.
func (c *cluster) settle(ticks int) {
	for range ticks {
		for _, id := range c.ids() {
			c.nodes[id].Tick()
		}
		for range 20 {
			for _, id := range c.ids() {
				c.process(id, 0)
			}
			delivered := c.network
			c.network = nil
			for _, message := range delivered {
				if node := c.nodes[message.To]; node != nil {
					node.Step(message)
				}
			}
		}
	}
}

func (c *cluster) anyChange(t *rapid.T) {
	leader := c.leader()
	if leader == nil {
		return
	}
	next := leader.Configuration()
	id := ReplicaID(rapid.IntRange(1, 5).Draw(t, "changed replica"))
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		next = next.With(Replica{ID: id, IsLearner: true})
	case 1:
		next = next.With(Replica{ID: id})
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

func (c *cluster) anyAction(t *rapid.T) {
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
		c.anyChange(t)
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
	c.anyDelivery(t)
}

func (c *cluster) anyDelivery(t *rapid.T) {
	for range rapid.IntRange(0, 4).Draw(t, "deliveries") {
		if len(c.network) == 0 {
			return
		}
		position := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
		message := c.network[position]
		if rapid.IntRange(0, 9).Draw(t, "duplicate") > 0 {
			c.network = slices.Delete(c.network, position, position+1)
		}
		node := c.nodes[message.To]
		if node != nil && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
			node.Step(message)
		}
	}
}

func TestSafetyUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, testOptions())
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			c.anyAction(t)
			if c.fault != "" {
				t.Fatal(c.fault)
			}
		}
	})
}

func TestProgress(t *testing.T) {
	Convey("a healthy group elects, commits, answers reads and goes quiet", t, func() {
		c := newCluster(3, testOptions())
		c.settle(60)
		leader := c.leader()
		So(leader, ShouldNotBeNil)
		So(leader.IsQuiescent(), ShouldBeTrue)
		index, _, err := leader.Propose([]byte("x"))
		So(err, ShouldBeNil)
		c.settle(6)
		So(string(c.committed[index].Data), ShouldEqual, "x")
		So(leader.ReadIndex(41), ShouldBeNil)
		c.process(leader.ID(), 0)
		for _, message := range c.network {
			c.nodes[message.To].Step(message)
		}
		c.network = nil
		for _, id := range c.ids() {
			if id != leader.ID() {
				c.process(id, 0)
			}
		}
		for _, message := range c.network {
			c.nodes[message.To].Step(message)
		}
		So(leader.Ready().ReadStates, ShouldResemble, []ReadState{{Context: 41, Index: index}})
	})
	Convey("a leader cut off in silence answers no read and steps down", t, func() {
		c := newCluster(3, testOptions())
		c.settle(60)
		old := c.leader()
		c.suspect(old.ID())
		c.settle(60)
		So(c.leader(), ShouldNotBeNil)
		So(old.ReadIndex(1), ShouldBeNil)
		for range 30 {
			old.Tick()
		}
		So(old.Ready().ReadStates, ShouldBeEmpty)
		So(old.Role(), ShouldNotEqual, Leader)
	})
	Convey("leadership is handed over on request", t, func() {
		c := newCluster(3, testOptions())
		c.settle(60)
		old := c.leader().ID()
		target := old%3 + 1
		So(c.leader().TransferLeadership(target), ShouldBeTrue)
		c.settle(3)
		So(c.leader().ID(), ShouldEqual, target)
	})
}

func TestLostDisk(t *testing.T) {
	Convey("a member that lost its disk rejoins as a new replica; then a second machine is lost", t, func() {
		c := newCluster(3, testOptions())
		c.settle(60)
		lost := c.leader().ID()%3 + 1
		delete(c.nodes, lost)
		delete(c.disks, lost)
		c.disks[9] = &disk{}
		c.restart(9)
		leader := c.leader()
		for range 30 {
			_, _, _ = leader.Propose([]byte("filler"))
		}
		c.settle(10)
		So(leader.ProposeConfiguration(leader.Configuration().Without(lost)), ShouldBeNil)
		c.settle(5)
		So(leader.ProposeConfiguration(leader.Configuration().With(Replica{ID: 9, IsLearner: true})), ShouldBeNil)
		c.settle(10)
		So(leader.IsCaughtUp(9, 0), ShouldBeTrue)
		So(leader.ProposeConfiguration(leader.Configuration().With(Replica{ID: 9})), ShouldBeNil)
		c.settle(10)
		before := len(c.committed)
		c.suspect(leader.ID())
		c.settle(60)
		So(c.leader(), ShouldNotBeNil)
		_, _, err := c.leader().Propose([]byte("after"))
		So(err, ShouldBeNil)
		c.settle(5)
		So(len(c.committed), ShouldBeGreaterThan, before)
		So(c.fault, ShouldBeEmpty)
	})
}
