package control

import (
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

// orphanTimeoutMs is how long a member waits for a leader before it asks to be admitted again.
const orphanTimeoutMs = 3000

// sendHellos sends hello messages while this process has not formed, its groups have not
// admitted its replica, or it has known no leader for orphanTimeoutMs.
func (c *Core) sendHellos() {
	if c.nowMs-c.lastHelloMs < helloIntervalMs || (c.formed && c.isAdmitted() && !c.isOrphaned()) {
		return
	}
	c.lastHelloMs = c.nowMs
	for _, member := range c.knownMembers() {
		if member != c.options.Name {
			c.transport.Send(member, protocol.KindHello, c.newHello())
		}
	}
	if !c.formed {
		c.formCluster()
	}
}

// SetSeeds replaces the processes to contact first. Invariant: the processes that create
// the first configuration never change; a process that has not formed keeps its seeds.
func (c *Core) SetSeeds(seeds []string) {
	if !c.options.Discovered || !c.formed {
		return
	}
	c.options.Members = nil
	for _, seed := range seeds {
		c.options.Members = append(c.options.Members, Member{Name: seed, Address: seed})
	}
}

// knownMembers returns all processes that may belong to the cluster: the configured ones
// and those of the configuration that the disk holds.
func (c *Core) knownMembers() []string {
	var names []string
	for _, member := range c.options.Members {
		names = append(names, member.Name)
	}
	if c.formed && c.options.Discovered {
		for _, name := range c.memberNames() {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// isOrphaned reports whether this process has known no leader for so long that the
// other members may have continued without it.
func (c *Core) isOrphaned() bool {
	return c.options.Discovered && c.nowMs-c.leaderSeenMs > orphanTimeoutMs
}

// recordLeader records the time if this process knows a leader of the settings group.
func (c *Core) recordLeader() {
	if c.host.Groups[0].Node.Leader() != consensus.None {
		c.leaderSeenMs = c.nowMs
	}
}

func (c *Core) newHello() protocol.Hello {
	hello := protocol.Hello{From: c.options.Name, Replica: c.storage.Replica(), HasClusterState: c.formed}
	if c.formed {
		hello.Bootstrap, _, _ = c.storage.Bootstrap()
		hello.IsJoining = !c.isAdmitted() || c.isOrphaned()
	}
	return hello
}

// isAdmitted reports whether this replica is a voter of every group.
func (c *Core) isAdmitted() bool {
	for _, group := range c.host.Groups {
		if !group.Node.Configuration().IsVoter(c.storage.Replica()) {
			return false
		}
	}
	return true
}

// HandleHello handles the hello message of another process.
func (c *Core) HandleHello(hello protocol.Hello, nowMs int64) {
	c.setNow(nowMs)
	if !hello.IsForwarded {
		c.lastReceivedMs[hello.From] = nowMs
	}
	if c.formed {
		c.handleHelloWhenFormed(hello)
		return
	}
	if !hello.HasClusterState {
		c.unformedReplicas[hello.From] = hello.Replica
		c.formCluster()
		return
	}
	if _, isNamed := hello.Bootstrap.Find(c.storage.Replica()); isNamed {
		c.applyBootstrap(hello.Bootstrap)
		return
	}
	// Invariant: a replica that the first configuration does not name must not vote
	// before the groups admit it, since its disk holds no earlier votes. It is enough to
	// know that a cluster exists: a sender that was itself admitted later does not have the
	// first configuration, and if the process waited for a sender that has it, a third
	// repair would wait for a disk that is permanently gone.
	c.applyBootstrap(consensus.Configuration{})
}

func (c *Core) handleHelloWhenFormed(hello protocol.Hello) {
	if !hello.HasClusterState {
		c.transport.Send(hello.From, protocol.KindHello, c.newHello())
	}
	if !hello.IsJoining {
		return
	}
	c.forwardHello(hello)
	joining := c.candidates[hello.From]
	if joining == nil || joining.replica != hello.Replica {
		joining = &candidate{replica: hello.Replica}
		c.candidates[hello.From] = joining
	}
	joining.helloCount++
	for _, group := range c.host.Groups {
		group.Node.Wake()
	}
	joining.lastHelloMs = c.nowMs
}

// forwardHello passes the hello message of a joining process on to the leader, which may
// not be among the processes that the joining one contacts.
func (c *Core) forwardHello(hello protocol.Hello) {
	leader := c.host.Groups[0].LeaderMember()
	if !c.options.Discovered || hello.IsForwarded || leader == "" || leader == c.options.Name {
		return
	}
	hello.IsForwarded = true
	c.transport.Send(leader, protocol.KindHello, hello)
}

// formCluster creates the first configuration once every member has reported that its
// disk is new. Invariant: no second cluster is formed while any of the disks belongs to
// a cluster.
func (c *Core) formCluster() {
	if !c.options.MayBootstrap || !c.isBootstrapMember() {
		return
	}
	configuration := consensus.Configuration{}
	for _, member := range c.options.Members {
		replica, ok := c.unformedReplicas[member.Name]
		if member.Name == c.options.Name {
			replica, ok = c.storage.Replica(), true
		}
		if !ok {
			return
		}
		configuration.Replicas = append(configuration.Replicas, consensus.Replica{ID: replica, Member: member.Name})
	}
	slices.SortFunc(configuration.Replicas, func(a, b consensus.Replica) int { return strings.Compare(a.Member, b.Member) })
	c.applyBootstrap(configuration)
}

// isBootstrapMember reports whether this process is one of those that create the first
// configuration.
func (c *Core) isBootstrapMember() bool {
	return slices.ContainsFunc(c.options.Members, func(member Member) bool { return member.Name == c.options.Name })
}

func (c *Core) applyBootstrap(configuration consensus.Configuration) {
	if err := c.storage.SetBootstrap(configuration); err != nil {
		return
	}
	if err := c.createGroups(configuration); err != nil {
		c.host.Groups = nil
		c.formed = false
	}
}

// HasSilentMember reports whether any other control process has been silent for longer than
// suspectTimeoutMs.
func (c *Core) HasSilentMember() bool {
	return slices.ContainsFunc(c.memberNames(), func(member string) bool {
		return member != c.options.Name && c.silenceMs(member) > suspectTimeoutMs
	})
}
