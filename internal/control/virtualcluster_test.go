package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/storage"
)

const (
	// virtualStepMs is the step of virtual time, and virtualTickMs the interval between ticks of a core.
	virtualStepMs = 10
	virtualTickMs = 50
	// maxDelayMs is the longest delay of a message on its way.
	maxDelayMs = 8
)

// virtualDisk is an in-memory disk with atomic and durable writes.
type virtualDisk struct {
	replica   consensus.ReplicaID
	bootstrap *consensus.Configuration
	state     consensus.PersistedState
}

func (d *virtualDisk) Replica() consensus.ReplicaID { return d.replica }

func (d *virtualDisk) Bootstrap() (consensus.Configuration, bool, error) {
	if d.bootstrap == nil {
		return consensus.Configuration{}, false, nil
	}
	return *d.bootstrap, true, nil
}

func (d *virtualDisk) SetBootstrap(configuration consensus.Configuration) error {
	d.bootstrap = &configuration
	return nil
}

func (d *virtualDisk) Write(writes []storage.GroupWrite) error {
	for _, write := range writes {
		if write.Snapshot != nil {
			d.state.Snapshot = *write.Snapshot
		}
		if len(write.Entries) > 0 {
			first := write.Entries[0].Index
			d.state.Entries = slices.DeleteFunc(d.state.Entries, func(entry consensus.Entry) bool { return entry.Index >= first })
			d.state.Entries = append(d.state.Entries, write.Entries...)
		}
		d.state.Entries = slices.DeleteFunc(d.state.Entries, func(entry consensus.Entry) bool { return entry.Index <= d.state.Snapshot.Index })
		if write.HardState != nil {
			d.state.HardState = *write.HardState
		}
	}
	return nil
}

func (d *virtualDisk) Load(storage.GroupID) (consensus.PersistedState, error) {
	state := d.state
	state.Entries = slices.Clone(d.state.Entries)
	return state, nil
}

func (d *virtualDisk) Records(storage.GroupID, string, uint64) ([]storage.Record, error) {
	return nil, nil
}

func (d *virtualDisk) RecordsAfter(storage.GroupID, storage.RecordKey, int) ([]storage.Record, bool, error) {
	return nil, false, nil
}

// virtualControl is a control process of a virtualCluster.
type virtualControl struct {
	cluster     *virtualCluster
	name        string
	disk        *virtualDisk
	seeds       []Member
	bootstraps  bool
	core        *Core
	frozenUntil int64
	queued      []func()
	replies     map[RequestID]any
	lastRequest RequestID
}

func (p *virtualControl) Reply(id RequestID, reply any) { p.replies[id] = reply }

// Send sends a copy of a message over the network.
func (p *virtualControl) Send(member string, kind protocol.Kind, message any) {
	c := p.cluster
	if c.random.Float64() < c.lossShare {
		return
	}
	raw, err := protocol.Encode(message)
	if err != nil {
		panic(err)
	}
	c.inFlight = append(c.inFlight, virtualMessage{to: member, kind: kind, raw: raw, atMs: c.nowMs + 1 + c.random.Int64N(maxDelayMs)})
}

// isFrozen reports whether the process stands still. Its messages wait.
func (p *virtualControl) isFrozen() bool { return p.frozenUntil > p.cluster.nowMs }

// start starts the process on its disk.
func (p *virtualControl) start() {
	options := DefaultOptions(p.name, p.seeds, 0)
	options.Discovered = true
	options.ElectionTicks = discoveredElectionTicks
	options.MayBootstrap = p.bootstraps
	options.MinVoters = 2*p.cluster.tolerated + 1
	options.Fleet = membership.FleetOptions{EngineTimeoutMs: engineTimeoutMs, GatewayTimeoutMs: gatewayTimeoutMs, GatewayRepollTimeoutMs: gatewayRepollTimeoutMs, GatewaySmallUpdateRepollTimeoutMs: gatewaySmallUpdateRepollTimeoutMs, LedgerTimeoutMs: ledgerTimeoutMs, LedgerRetentionMs: ledgerRetentionMs, InitialPlacementDelayMs: initialPlacementDelayMs}
	p.replies = map[RequestID]any{}
	core, err := NewCore(options, p.disk, p, p.cluster.nowMs)
	if err != nil {
		panic(err)
	}
	p.core = core
}

// handle passes a message to the core, or keeps it while the process is frozen.
func (p *virtualControl) handle(message virtualMessage) {
	if p.isFrozen() {
		p.queued = append(p.queued, func() { p.handle(message) })
		return
	}
	switch message.kind {
	case protocol.KindPeer:
		var batch protocol.PeerBatch
		mustDecode(message.raw, &batch)
		p.core.HandlePeerBatch(batch, p.cluster.nowMs)
	case protocol.KindHello:
		var hello protocol.Hello
		mustDecode(message.raw, &hello)
		p.core.HandleHello(hello, p.cluster.nowMs)
	}
	p.flush()
}

func mustDecode(raw []byte, into any) {
	if err := protocol.Decode(raw, into); err != nil {
		panic(err)
	}
}

func (p *virtualControl) flush() {
	if err := p.core.Flush(); err != nil {
		panic(err)
	}
}

func (p *virtualControl) tick() {
	if p.isFrozen() {
		return
	}
	// The daemon's event loop handles a tick that is due before messages that have waited.
	p.core.Tick(p.cluster.nowMs)
	p.flush()
	queued := p.queued
	p.queued = nil
	for _, handle := range queued {
		handle()
	}
}

type virtualMessage struct {
	to   string
	kind protocol.Kind
	raw  []byte
	atMs int64
}

// virtualCluster runs control cores on virtual time, over a network that delays, reorders and loses messages.
type virtualCluster struct {
	random    *rand.Rand
	nowMs     int64
	tolerated int
	lossShare float64
	running   []*virtualControl
	inFlight  []virtualMessage
	created   int
	// generation is the highest acknowledged generation of the routing table, and attempted the
	// highest one that was proposed.
	generation uint64
	attempted  uint64
	// steps describes what was done, for the report of a failure.
	steps []string
}

func newVirtualCluster(seed uint64, size, tolerated int) *virtualCluster {
	c := &virtualCluster{random: rand.New(rand.NewPCG(seed, 1)), nowMs: 1000, tolerated: tolerated}
	var seeds []Member
	for number := range size {
		name := fmt.Sprintf("10.0.0.%d:1", number)
		if number < 3 {
			seeds = append(seeds, Member{Name: name, Address: name})
		}
	}
	for range size {
		c.add(seeds, true)
	}
	return c
}

func (c *virtualCluster) notef(format string, arguments ...any) {
	c.steps = append(c.steps, fmt.Sprintf("%6d ", c.nowMs)+fmt.Sprintf(format, arguments...))
}

// add starts a process on an empty disk at an address of its own.
func (c *virtualCluster) add(seeds []Member, bootstraps bool) *virtualControl {
	process := &virtualControl{cluster: c, name: fmt.Sprintf("10.0.0.%d:1", c.created), seeds: seeds, bootstraps: bootstraps,
		disk: &virtualDisk{replica: consensus.ReplicaID(c.random.Uint64()>>1 | 1)}}
	c.created++
	process.start()
	c.running = append(c.running, process)
	return process
}

// addSuccessor starts a process on an empty disk with three running ones, drawn at random, as its seeds.
func (c *virtualCluster) addSuccessor() *virtualControl {
	var seeds []Member
	for _, position := range c.random.Perm(len(c.running))[:min(3, len(c.running))] {
		seeds = append(seeds, Member{Name: c.running[position].name, Address: c.running[position].name})
	}
	process := c.add(seeds, false)
	c.notef("%s starts empty", process.name)
	return process
}

// end ends a process for good.
func (c *virtualCluster) end(process *virtualControl) {
	c.notef("%s is gone for good, leads: %t", process.name, process.core.IsLeader(0))
	c.running = slices.DeleteFunc(c.running, func(other *virtualControl) bool { return other == process })
}

// find returns the running process with a name, nil if there is none.
func (c *virtualCluster) find(name string) *virtualControl {
	for _, process := range c.running {
		if process.name == name {
			return process
		}
	}
	return nil
}

// run lets virtual time pass.
func (c *virtualCluster) run(forMs int64) {
	for endMs := c.nowMs + forMs; c.nowMs < endMs; {
		c.nowMs += virtualStepMs
		var due, later []virtualMessage
		for _, message := range c.inFlight {
			if message.atMs <= c.nowMs {
				due = append(due, message)
			} else {
				later = append(later, message)
			}
		}
		c.inFlight = later
		for _, message := range due {
			if process := c.find(message.to); process != nil {
				process.handle(message)
			}
		}
		for number, process := range slices.Clone(c.running) {
			if (c.nowMs/virtualStepMs+int64(number))%(virtualTickMs/virtualStepMs) == 0 {
				process.tick()
			}
		}
	}
}

// leader returns the process that leads in the highest term, nil if there is none.
func (c *virtualCluster) leader() *virtualControl {
	var found *virtualControl
	for _, process := range c.running {
		if process.core.IsLeader(0) && (found == nil || process.core.Node(0).Term() > found.core.Node(0).Term()) {
			found = process
		}
	}
	return found
}

// runUntil lets time pass until the condition holds, for at most some time, and reports whether it holds.
func (c *virtualCluster) runUntil(withinMs int64, condition func() bool) bool {
	for endMs := c.nowMs + withinMs; c.nowMs < endMs; {
		if condition() {
			return true
		}
		c.run(virtualStepMs)
	}
	return condition()
}

// replaceRouting has the leader replace the routing table, and reports whether that was acknowledged in time.
func (c *virtualCluster) replaceRouting(withinMs int64) bool {
	endMs := c.nowMs + withinMs
	c.attempted++
	generation := c.attempted
	for c.nowMs < endMs {
		process := c.leader()
		if process == nil || process.isFrozen() {
			c.run(virtualStepMs)
			continue
		}
		process.lastRequest++
		id := process.lastRequest
		process.core.HandleRequest(id, &protocol.SettingsRequest{Change: settings.Change{Operator: "op", Number: generation, Routing: &routing.Table{Generation: generation}}}, c.nowMs)
		process.flush()
		c.runUntil(min(1000, endMs-c.nowMs), func() bool { return process.replies[id] != nil })
		if reply, ok := process.replies[id].(*protocol.SettingsReply); ok && reply.Reply.Error == nil {
			c.generation = max(c.generation, generation)
			return true
		}
		c.run(virtualStepMs)
	}
	return false
}

// settled returns why the cluster is not in its final state, "" if it is: every running process votes, no
// other one is in the configuration, and the leader holds the newest acknowledged table.
func (c *virtualCluster) settled() string {
	leader := c.leader()
	if leader == nil {
		return "no leader"
	}
	configuration := leader.core.Node(0).Configuration()
	for _, replica := range configuration.Replicas {
		if c.find(replica.Member) == nil {
			return "a lost member is still in " + describeConfiguration(configuration)
		}
	}
	for _, process := range c.running {
		if !configuration.IsVoter(process.disk.replica) {
			return process.name + " has no vote in " + describeConfiguration(configuration)
		}
	}
	if table := leader.core.SettingsTree().Routing(); c.generation > 0 && (table == nil || table.Generation < c.generation) {
		return fmt.Sprintf("the leader does not hold the acknowledged generation %d", c.generation)
	}
	return ""
}

// report returns the steps and the final configurations for the message of a failure.
func (c *virtualCluster) report() string {
	lines := slices.Clone(c.steps)
	for _, process := range c.running {
		if process.core.Formed() {
			lines = append(lines, fmt.Sprintf("%6d %s: %s, term %d, %s", c.nowMs, process.name, process.core.Node(0).Role(), process.core.Node(0).Term(), describeConfiguration(process.core.Node(0).Configuration())))
		} else {
			lines = append(lines, fmt.Sprintf("%6d %s: not formed", c.nowMs, process.name))
		}
	}
	return strings.Join(lines, "\n")
}
