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
	stepMs           = 10
	testBudgetTokens = 1000
	testMaxTokens    = 100

	testQuotaWindowMs = 5000
)

// memoryDisk is an in-memory disk with atomic and durable writes.
type memoryDisk struct {
	replica  consensus.ReplicaID
	groups   map[storage.GroupID]*consensus.PersistedState
	records  map[storage.GroupID]map[string][]byte
	staged   map[storage.GroupID]map[string][]byte
	metadata map[string][]byte
}

func newMemoryDisk(replica consensus.ReplicaID) *memoryDisk {
	return &memoryDisk{
		replica: replica, groups: map[storage.GroupID]*consensus.PersistedState{},
		records: map[storage.GroupID]map[string][]byte{}, staged: map[storage.GroupID]map[string][]byte{}, metadata: map[string][]byte{},
	}
}

func (d *memoryDisk) Replica() consensus.ReplicaID { return d.replica }
func (d *memoryDisk) PutMetadata(name string, value []byte) error {
	d.metadata[name] = value
	return nil
}
func (d *memoryDisk) GetMetadata(name string) ([]byte, error) { return d.metadata[name], nil }
func (d *memoryDisk) group(id storage.GroupID) *consensus.PersistedState {
	if d.groups[id] == nil {
		d.groups[id] = &consensus.PersistedState{}
		d.records[id] = map[string][]byte{}
		d.staged[id] = map[string][]byte{}
	}
	return d.groups[id]
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
	return []storage.Record{{Program: name, Turn: contentRecordNumber, Value: value}}, nil
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
		page = append(page, storage.Record{Program: name, Turn: contentRecordNumber, Value: value})
	}
	return page, false, nil
}

// node is one ledger host of a test cluster.
type node struct {
	cluster       *cluster
	host          membership.LedgerHost
	disk          *memoryDisk
	core          *Core
	replies       map[RequestID]func(*protocol.TurnReply)
	lastRequestID RequestID
	partitioned   bool
	// frozen means that the process stands still: what is sent to it waits.
	frozen  bool
	waiting []protocol.PeerBatch
}

// thaw lets a frozen process go on with what waits for it.
func (n *node) thaw() {
	n.frozen = false
	for _, batch := range n.waiting {
		n.core.HandlePeerBatch(batch, n.cluster.nowMs)
	}
	n.waiting = nil
}

// cluster runs cores over a simulated network that delays and loses messages.
type cluster struct {
	t             *testing.T
	random        *rand.Rand
	nowMs         int64
	nodes         []*node
	groups        []membership.Placement
	inFlight      []delivery
	lastReplicaID consensus.ReplicaID
	// acknowledged holds, for each turn whose retention was acknowledged, the content of its chain
	// up to and including the turn. granted counts the acknowledgements of each reserved turn.
	acknowledged map[string]string
	granted      map[string]int
	viewVersion  uint64
	// longestBatchBytes is the size of the longest batch sent between hosts. snapshotMessages
	// counts the snapshot messages in the batches.
	longestBatchBytes int
	snapshotMessages  int
	// appendBatches counts the batches between hosts that contain an append, and
	// emptyAppendBatches those whose appends contain no entries.
	appendBatches      int
	emptyAppendBatches int
	// earlierRelease is the member whose messages say that it records no claims and no holds, if any.
	earlierRelease string
}

// delivery is a batch in flight.
type delivery struct {
	deliverAtMs int64
	deliver     func()
}

// newCluster starts the given number of hosts. The first ones, as many as replicas, host group 1.
func newCluster(t *testing.T, seed uint64, hosts, replicas int) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), nowMs: 1000, acknowledged: map[string]string{}, granted: map[string]int{}}
	for number := range hosts {
		c.lastReplicaID++
		host := membership.LedgerHost{Member: fmt.Sprintf("m%d", number), Name: fmt.Sprintf("ledger-%d", number), Zone: fmt.Sprint(number), Replica: c.lastReplicaID}
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
	c.distributeView()
	return c
}

// distributeView sends every running host a view with all placements and the replica IDs of all
// hosts, as control does.
func (c *cluster) distributeView() {
	c.viewVersion++
	delta := membership.FleetDelta{Version: c.viewVersion, IsFull: true, Groups: c.groups}
	for _, node := range c.nodes {
		delta.Ledgers = append(delta.Ledgers, node.host)
	}
	var view *membership.FleetView
	view, _ = view.ApplyDelta(delta)
	for _, node := range c.nodes {
		if node.core != nil {
			if err := node.core.ApplyView(view, c.nowMs); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

// start starts the host from its disk.
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

// replaceDisk replaces the disk with an empty one, which has a new replica ID.
func (n *node) replaceDisk() {
	n.cluster.lastReplicaID++
	n.host.Replica = n.cluster.lastReplicaID
	n.disk = newMemoryDisk(n.host.Replica)
}

// Send implements Transport. It delivers a batch after a random delay and loses one in a hundred.
func (n *node) Send(member string, batch protocol.PeerBatch) {
	batch.SupportsClaims = batch.SupportsClaims && n.host.Member != n.cluster.earlierRelease
	batch.SupportsReplacement = batch.SupportsReplacement && n.host.Member != n.cluster.earlierRelease
	batch.SupportsHolds = batch.SupportsHolds && n.host.Member != n.cluster.earlierRelease
	raw, err := protocol.Encode(&batch)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	n.cluster.longestBatchBytes = max(n.cluster.longestBatchBytes, len(raw))
	n.cluster.countMessages(batch)
	for _, other := range n.cluster.nodes {
		if other.host.Member != member || n.partitioned || n.cluster.random.IntN(100) == 0 {
			continue
		}
		deliverAtMs := n.cluster.nowMs + int64(1+n.cluster.random.IntN(8))
		n.cluster.inFlight = append(n.cluster.inFlight, delivery{deliverAtMs, func() {
			var decoded protocol.PeerBatch
			if other.core == nil || other.partitioned || protocol.Decode(raw, &decoded) != nil {
				return
			}
			if other.frozen {
				other.waiting = append(other.waiting, decoded)
				return
			}
			other.core.HandlePeerBatch(decoded, n.cluster.nowMs)
		}})
	}
}

// countMessages counts a batch by the kinds of its messages.
func (c *cluster) countMessages(batch protocol.PeerBatch) {
	appends, entries := 0, 0
	for _, message := range batch.Messages {
		switch message.Message.Kind {
		case consensus.MessageSnapshot:
			c.snapshotMessages++
		case consensus.MessageAppend:
			appends++
			entries += len(message.Message.Entries)
		}
	}
	if appends > 0 {
		c.appendBatches++
	}
	if appends > 0 && entries == 0 {
		c.emptyAppendBatches++
	}
}

// Reply implements Transport. It passes a reply to the sender of the request.
func (n *node) Reply(request RequestID, reply *protocol.TurnReply) {
	if onReply, ok := n.replies[request]; ok {
		delete(n.replies, request)
		onReply(reply)
	}
}

// sendRequest sends a request to the host. onReply receives the reply.
func (n *node) sendRequest(request *protocol.TurnRequest, onReply func(*protocol.TurnReply)) {
	n.lastRequestID++
	n.replies[n.lastRequestID] = onReply
	n.core.HandleRequest(n.lastRequestID, request, n.cluster.nowMs)
}

// run advances the virtual time.
func (c *cluster) run(durationMs int64) {
	for end := c.nowMs + durationMs; c.nowMs < end; {
		c.nowMs += stepMs
		inFlight := c.inFlight
		c.inFlight = nil
		for _, next := range inFlight {
			if next.deliverAtMs > c.nowMs {
				c.inFlight = append(c.inFlight, next)
				continue
			}
			next.deliver()
		}
		for _, node := range c.nodes {
			if node.core == nil || node.frozen {
				continue
			}
			node.core.Tick(c.nowMs)
			if err := node.core.Flush(); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

// leader returns a running, connected host that leads the group, or nil if there is none.
func (c *cluster) leader() *node {
	for _, node := range c.nodes {
		if node.core == nil || node.partitioned {
			continue
		}
		if group := node.core.host.FindGroup(1); group != nil && group.IsLeader() {
			return node
		}
	}
	return nil
}

// runUntil runs until a condition holds. It checks every 100 ms of virtual time and fails the test
// after 300 checks. A condition may itself advance the time.
func (c *cluster) runUntil(description string, condition func() bool) {
	c.t.Helper()
	for range 300 {
		if condition() {
			return
		}
		c.run(100)
	}
	c.t.Fatalf("%d ms: timed out waiting for %s", c.nowMs, description)
}

// retainTurn asks the leader to retain a turn that continues another, and records the
// acknowledgement.
func (c *cluster) retainTurn(request, previous string) {
	leader := c.leader()
	if leader == nil {
		return
	}
	content := "<" + request + ">"
	leader.sendRequest(&protocol.TurnRequest{Group: 1, Settle: &program.Settle{
		Program: "p", Request: request, PreviousRequest: previous, Retain: true, Content: []byte(content), RetentionMs: 3_600_000,
	}}, func(reply *protocol.TurnReply) {
		if reply.Error == nil {
			c.acknowledged[request] = c.acknowledged[previous] + content
		}
	})
}

// reserveTurn reserves a turn that is never settled.
func (c *cluster) reserveTurn(request string) {
	leader := c.leader()
	if leader == nil {
		return
	}
	leader.sendRequest(&protocol.TurnRequest{Group: 1, Reserve: &program.Reserve{
		Program: "budget", Request: request, BudgetTokens: testBudgetTokens, MaxTokens: testMaxTokens,
	}}, func(reply *protocol.TurnReply) {
		if reply.Error == nil {
			c.granted[request]++
		}
	})
}

// checkInvariants checks that every acknowledged turn is readable with its whole chain in order, and
// that the granted turns do not exceed the budget.
func (c *cluster) checkInvariants() {
	c.t.Helper()
	for request, content := range c.acknowledged {
		got, answered := "", false
		c.runUntil("a reply about turn "+request, func() bool {
			if leader := c.leader(); leader != nil {
				leader.sendRequest(&protocol.TurnRequest{Group: 1, HistoryOf: request}, func(reply *protocol.TurnReply) {
					if reply.Error == nil || reply.Error.Code == result.UnknownTurn {
						got, answered = string(reply.History), true
					}
				})
				c.run(100)
			}
			return answered
		})
		if got != content {
			c.t.Fatalf("turn %s: want content %q, got %q", request, content, got)
		}
	}
	if len(c.granted) > testBudgetTokens/testMaxTokens {
		c.t.Fatalf("%d turns of %d tokens were granted from a budget of %d", len(c.granted), testMaxTokens, testBudgetTokens)
	}
}

// matchesPlacement reports whether the configuration of the group equals its placement, with the
// current disks as voters.
func (c *cluster) matchesPlacement() bool {
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
	return len(configuration.Replicas) == len(c.groups[0].Members) && allMembersVote(configuration, c.groups[0].Members, current)
}

// retainTurns retains turns of about 8 KiB each, none of which continues another.
func (c *cluster) retainTurns(name string, turns int) {
	c.t.Helper()
	const contentBytes = 8 << 10
	for number := range turns {
		request := fmt.Sprintf("%s-%d", name, number)
		content := strings.Repeat(request+" ", contentBytes/len(request))
		c.runUntil("a retained turn", func() bool {
			if leader := c.leader(); leader != nil {
				leader.sendRequest(&protocol.TurnRequest{Group: 1, Settle: &program.Settle{
					Program: "p", Request: request, Retain: true, Content: []byte(content), RetentionMs: 3_600_000,
				}}, func(reply *protocol.TurnReply) {
					if reply.Error == nil {
						c.acknowledged[request] = content
					}
				})
				c.run(30)
			}
			return c.acknowledged[request] != ""
		})
	}
}
