package ledger

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

const (
	stepMs     = 10
	testBudget = 1000
	testMost   = 100

	testQuotaWindowMs = 5000
)

// memoryDisk is a disk whose writes are atomic and last.
type memoryDisk struct {
	replica  consensus.ReplicaID
	restored map[storage.GroupID]*consensus.PersistedState
	records  map[storage.GroupID]map[string][]byte
	staged   map[storage.GroupID]map[string][]byte
	notes    map[string][]byte
}

func newMemoryDisk(replica consensus.ReplicaID) *memoryDisk {
	return &memoryDisk{
		replica: replica, restored: map[storage.GroupID]*consensus.PersistedState{},
		records: map[storage.GroupID]map[string][]byte{}, staged: map[storage.GroupID]map[string][]byte{}, notes: map[string][]byte{},
	}
}

func (d *memoryDisk) Replica() consensus.ReplicaID                { return d.replica }
func (d *memoryDisk) PutMetadata(name string, value []byte) error { d.notes[name] = value; return nil }
func (d *memoryDisk) GetMetadata(name string) ([]byte, error)     { return d.notes[name], nil }
func (d *memoryDisk) group(id storage.GroupID) *consensus.PersistedState {
	if d.restored[id] == nil {
		d.restored[id] = &consensus.PersistedState{}
		d.records[id] = map[string][]byte{}
		d.staged[id] = map[string][]byte{}
	}
	return d.restored[id]
}

func (d *memoryDisk) Write(writes []storage.GroupWrite) error {
	for _, write := range writes {
		group := d.group(write.Group)
		if write.Snapshot != nil {
			group.Snapshot = *write.Snapshot
		}
		if len(write.Entries) > 0 {
			first := write.Entries[0].Index
			group.Entries = slices.DeleteFunc(group.Entries, func(entry consensus.Entry) bool { return entry.Index >= first })
			group.Entries = append(group.Entries, write.Entries...)
		}
		group.Entries = slices.DeleteFunc(group.Entries, func(entry consensus.Entry) bool { return entry.Index <= group.Snapshot.Index })
		if write.HardState != nil {
			group.HardState = *write.HardState
		}
		if write.ResetStaged {
			d.staged[write.Group] = map[string][]byte{}
		}
		putRecords(d.staged[write.Group], write.Staged)
		if write.PromoteStaged {
			d.records[write.Group] = d.staged[write.Group]
			d.staged[write.Group] = map[string][]byte{}
		}
		putRecords(d.records[write.Group], write.Records)
	}
	return nil
}

func putRecords(into map[string][]byte, records []storage.Record) {
	for _, record := range records {
		if record.Value == nil {
			delete(into, record.Program)
		} else {
			into[record.Program] = record.Value
		}
	}
}

func (d *memoryDisk) Load(id storage.GroupID) (consensus.PersistedState, error) {
	group := d.group(id)
	return consensus.PersistedState{HardState: group.HardState, Snapshot: group.Snapshot, Entries: slices.Clone(group.Entries)}, nil
}

func (d *memoryDisk) Records(id storage.GroupID, name string, _ uint64) ([]storage.Record, error) {
	d.group(id)
	value, ok := d.records[id][name]
	if !ok {
		return nil, nil
	}
	return []storage.Record{{Program: name, Turn: contentRecord, Value: value}}, nil
}

func (d *memoryDisk) RecordsAfter(id storage.GroupID, after storage.RecordKey, maxBytes int) (page []storage.Record, more bool, err error) {
	d.group(id)
	size := 0
	for _, name := range slices.Sorted(maps.Keys(d.records[id])) {
		if name <= after.Program {
			continue
		}
		value := d.records[id][name]
		if size += len(value); size > maxBytes && len(page) > 0 {
			return page, true, nil
		}
		page = append(page, storage.Record{Program: name, Turn: contentRecord, Value: value})
	}
	return page, false, nil
}

// node is one ledger host of a test cluster.
type node struct {
	cluster *cluster
	host    membership.LedgerHost
	disk    *memoryDisk
	core    *Core
	replies map[RequestID]func(*protocol.TurnReply)
	next    RequestID
	cut     bool
}

// cluster runs cores over a network that delays and loses messages.
type cluster struct {
	t      *testing.T
	random *rand.Rand
	nowMs  int64
	nodes  []*node
	groups []membership.Placement
	flying []delivery
	nextID consensus.ReplicaID
	// kept is what was acknowledged: the content of the chain up to each turn.
	kept    map[string]string
	granted map[string]int
	version uint64
	// longest is the longest message sent between hosts, bytes; snapshots counts those
	// of whole snapshots.
	longest   int
	snapshots int
	// appends counts the messages between hosts that carry an append, and commits those
	// whose appends bring no entry.
	appends int
	commits int
}

type delivery struct {
	atMs int64
	run  func()
}

func newCluster(t *testing.T, seed uint64, hosts, replicas int) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), nowMs: 1000, kept: map[string]string{}, granted: map[string]int{}}
	for number := range hosts {
		c.nextID++
		host := membership.LedgerHost{Member: fmt.Sprintf("m%d", number), Name: fmt.Sprintf("ledger-%d", number), Zone: fmt.Sprint(number), Replica: c.nextID}
		c.nodes = append(c.nodes, &node{cluster: c, host: host, disk: newMemoryDisk(host.Replica)})
	}
	placement := membership.Placement{Group: 1}
	for _, node := range c.nodes[:replicas] {
		placement.Members = append(placement.Members, node.host.Member)
		placement.Initial = placement.Initial.With(consensus.Replica{ID: node.host.Replica, Member: node.host.Member})
	}
	c.groups = []membership.Placement{placement}
	for _, node := range c.nodes {
		node.start()
	}
	c.tellView()
	return c
}

// tellView does what control does: every host hears of all disks and placements.
func (c *cluster) tellView() {
	c.version++
	news := membership.FleetDelta{Version: c.version, IsFull: true, Groups: c.groups}
	for _, node := range c.nodes {
		news.Ledgers = append(news.Ledgers, node.host)
	}
	var view *membership.FleetView
	view, _ = view.ApplyDelta(news)
	for _, node := range c.nodes {
		if node.core != nil {
			if err := node.core.ApplyView(view, c.nowMs); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

func (n *node) start() {
	n.replies = map[RequestID]func(*protocol.TurnReply){}
	options := DefaultOptions(n.host.Member, n.host.Name, n.host.Zone)
	options.Replication.CompactAfterEntries = 20
	options.QuotaWindowMs = testQuotaWindowMs
	n.core = NewCore(options, n.disk, n, n.cluster.nowMs)
	if err := n.core.Restore(n.cluster.nowMs); err != nil {
		n.cluster.t.Fatal(err)
	}
}

// wipe replaces the disk by an empty one.
func (n *node) wipe() {
	n.cluster.nextID++
	n.host.Replica = n.cluster.nextID
	n.disk = newMemoryDisk(n.host.Replica)
}

// Send carries a batch as the wire would, late and now and then not at all.
func (n *node) Send(member string, batch protocol.PeerBatch) {
	raw, err := protocol.Encode(&batch)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	n.cluster.longest = max(n.cluster.longest, len(raw))
	n.cluster.count(batch)
	for _, other := range n.cluster.nodes {
		if other.host.Member != member || n.cut || n.cluster.random.IntN(100) == 0 {
			continue
		}
		at := n.cluster.nowMs + int64(1+n.cluster.random.IntN(8))
		n.cluster.flying = append(n.cluster.flying, delivery{at, func() {
			var decoded protocol.PeerBatch
			if other.core == nil || other.cut || protocol.Decode(raw, &decoded) != nil {
				return
			}
			other.core.HandlePeerBatch(decoded, n.cluster.nowMs)
		}})
	}
}

// count notes what kinds of messages a batch brings.
func (c *cluster) count(batch protocol.PeerBatch) {
	appends, entries := 0, 0
	for _, message := range batch.Messages {
		switch message.Message.Kind {
		case consensus.MessageSnapshot:
			c.snapshots++
		case consensus.MessageAppend:
			appends++
			entries += len(message.Message.Entries)
		}
	}
	if appends > 0 {
		c.appends++
	}
	if appends > 0 && entries == 0 {
		c.commits++
	}
}

// Reply routes an answer to whoever asked.
func (n *node) Reply(request RequestID, reply *protocol.TurnReply) {
	if answer, ok := n.replies[request]; ok {
		delete(n.replies, request)
		answer(reply)
	}
}

func (n *node) ask(request *protocol.TurnRequest, answer func(*protocol.TurnReply)) {
	n.next++
	n.replies[n.next] = answer
	n.core.HandleRequest(n.next, request, n.cluster.nowMs)
}

// run lets time pass.
func (c *cluster) run(durationMs int64) {
	for end := c.nowMs + durationMs; c.nowMs < end; {
		c.nowMs += stepMs
		due := c.flying
		c.flying = nil
		for _, next := range due {
			if next.atMs > c.nowMs {
				c.flying = append(c.flying, next)
				continue
			}
			next.run()
		}
		for _, node := range c.nodes {
			if node.core == nil {
				continue
			}
			node.core.Tick(c.nowMs)
			if err := node.core.Flush(); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

func (c *cluster) leader() *node {
	for _, node := range c.nodes {
		if node.core == nil || node.cut {
			continue
		}
		if group := node.core.host.FindGroup(1); group != nil && group.IsLeader() {
			return node
		}
	}
	return nil
}

// until runs until a condition holds, at most for 30 s of virtual time.
func (c *cluster) until(what string, condition func() bool) {
	c.t.Helper()
	for range 300 {
		if condition() {
			return
		}
		c.run(100)
	}
	c.t.Fatalf("%d ms: %s did not happen", c.nowMs, what)
}

// keep has a turn kept that goes on from another; it notes what was acknowledged.
func (c *cluster) keep(request, previous string) {
	leader := c.leader()
	if leader == nil {
		return
	}
	content := "<" + request + ">"
	leader.ask(&protocol.TurnRequest{Group: 1, Settle: &program.Settle{
		Program: "p", Request: request, PreviousRequest: previous, Retain: true, Content: []byte(content), RetentionMs: 3_600_000,
	}}, func(reply *protocol.TurnReply) {
		if reply.Error == nil {
			c.kept[request] = c.kept[previous] + content
		}
	})
}

// spend reserves a turn that nobody settles.
func (c *cluster) spend(request string) {
	leader := c.leader()
	if leader == nil {
		return
	}
	leader.ask(&protocol.TurnRequest{Group: 1, Reserve: &program.Reserve{
		Program: "budget", Request: request, BudgetTokens: testBudget, MaxTokens: testMost,
	}}, func(reply *protocol.TurnReply) {
		if reply.Error == nil {
			c.granted[request]++
		}
	})
}

// check holds that all that was acknowledged is there, whole and in order, and that
// no more was granted than the budget allows.
func (c *cluster) check() {
	c.t.Helper()
	for request, content := range c.kept {
		got, answered := "", false
		c.until("an answer about "+request, func() bool {
			if leader := c.leader(); leader != nil {
				leader.ask(&protocol.TurnRequest{Group: 1, HistoryOf: request}, func(reply *protocol.TurnReply) {
					if reply.Error == nil || reply.Error.Code == result.UnknownTurn {
						got, answered = string(reply.History), true
					}
				})
				c.run(100)
			}
			return answered
		})
		if got != content {
			c.t.Fatalf("turn %s: kept %q, found %q", request, content, got)
		}
	}
	if len(c.granted) > testBudget/testMost {
		c.t.Fatalf("%d turns of %d granted from a budget of %d", len(c.granted), testMost, testBudget)
	}
}

func (c *cluster) settled() bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	group := leader.core.host.FindGroup(1)
	current := map[string]consensus.ReplicaID{}
	for _, node := range c.nodes {
		current[node.host.Member] = node.host.Replica
	}
	configuration := group.Node.Configuration()
	return len(configuration.Replicas) == len(c.groups[0].Members) && allVote(configuration, c.groups[0].Members, current)
}

// keepMany keeps turns of a few kilobytes each, none of which goes on from another.
func (c *cluster) keepMany(name string, turns int) {
	c.t.Helper()
	const contentBytes = 8 << 10
	for number := range turns {
		request := fmt.Sprintf("%s-%d", name, number)
		content := strings.Repeat(request+" ", contentBytes/len(request))
		c.until("a kept turn", func() bool {
			if leader := c.leader(); leader != nil {
				leader.ask(&protocol.TurnRequest{Group: 1, Settle: &program.Settle{
					Program: "p", Request: request, Retain: true, Content: []byte(content), RetentionMs: 3_600_000,
				}}, func(reply *protocol.TurnReply) {
					if reply.Error == nil {
						c.kept[request] = content
					}
				})
				c.run(30)
			}
			return c.kept[request] != ""
		})
	}
}
