package control

import (
	"github.com/ochrebay/ochrebay/internal/replication"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

const (
	// forsakenAfterMs is how long a member waits for a leader before it asks to be
	// let in again, and lostMemberAfterMs how long one is silent that is taken out.
	forsakenAfterMs   = 3000
	lostMemberAfterMs = 6000
	minVoters         = 3
)

// sendHellos introduces a process that isn't part of a cluster yet, or whose
// groups have not let its replica in.
func (c *Core) sendHellos() {
	if c.nowMs-c.lastHelloMs < helloEveryMs || (c.formed && c.admitted() && !c.forsaken()) {
		return
	}
	c.lastHelloMs = c.nowMs
	for _, member := range c.knownMembers() {
		if member != c.options.Name {
			c.outlet.Send(member, protocol.KindHello, c.hello())
		}
	}
	if !c.formed {
		c.formFirst()
	}
}

// SetSeeds replaces the processes to ask first. Invariant: the processes that make
// the first configuration never change; a process that has not formed keeps them.
func (c *Core) SetSeeds(seeds []string) {
	if !c.options.Discovered || !c.formed {
		return
	}
	c.options.Members = nil
	for _, seed := range seeds {
		c.options.Members = append(c.options.Members, Member{Name: seed, Address: seed})
	}
}

// knownMembers are all processes that may know of the cluster: the configured ones
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

// forsaken reports whether no leader has been known for so long that the others
// may have gone on without this process.
func (c *Core) forsaken() bool {
	return c.options.Discovered && c.nowMs-c.leaderSeenMs > forsakenAfterMs
}

// noteLeader remembers when the settings group last had a leader.
func (c *Core) noteLeader() {
	if c.host.Groups[0].Node.Leader() != consensus.None {
		c.leaderSeenMs = c.nowMs
	}
}

func (c *Core) hello() protocol.Hello {
	hello := protocol.Hello{From: c.options.Name, Replica: c.storage.Replica(), Formed: c.formed}
	if c.formed {
		hello.Bootstrap, _, _ = c.storage.Bootstrap()
		hello.Joining = !c.admitted() || c.forsaken()
	}
	return hello
}

// admitted reports whether every group counts this replica as a voter.
func (c *Core) admitted() bool {
	for _, group := range c.host.Groups {
		if !group.Node.Configuration().IsVoter(c.storage.Replica()) {
			return false
		}
	}
	return true
}

// HandleHello takes another process's introduction.
func (c *Core) HandleHello(hello protocol.Hello, nowMs int64) {
	c.setNow(nowMs)
	if !hello.Forwarded {
		c.heardMs[hello.From] = nowMs
	}
	if c.formed {
		c.helloWhenFormed(hello)
		return
	}
	if !hello.Formed {
		c.unformed[hello.From] = hello.Replica
		c.formFirst()
		return
	}
	if _, own := hello.Bootstrap.Find(c.storage.Replica()); own {
		c.adopt(hello.Bootstrap)
		return
	}
	// Invariant: a disk that the first configuration doesn't name has promised
	// nothing, so it must not vote before the groups let it in. A sender that was
	// let in itself knows no first configuration; that there is a cluster is
	// enough, or a third repair would wait for a disk that is long gone.
	c.adopt(consensus.Configuration{})
}

func (c *Core) helloWhenFormed(hello protocol.Hello) {
	if !hello.Formed {
		c.outlet.Send(hello.From, protocol.KindHello, c.hello())
	}
	if !hello.Joining {
		return
	}
	c.forwardHello(hello)
	known := c.candidates[hello.From]
	if known == nil || known.replica != hello.Replica {
		known = &candidate{replica: hello.Replica}
		c.candidates[hello.From] = known
	}
	known.hellos++
	for _, group := range c.host.Groups {
		group.Node.Wake()
	}
	known.lastMs = c.nowMs
}

// forwardHello hands a joining process's introduction to the leader, which may not
// be among the processes that the joining one knows.
func (c *Core) forwardHello(hello protocol.Hello) {
	leader := c.host.Groups[0].LeaderMember()
	if !c.options.Discovered || hello.Forwarded || leader == "" || leader == c.options.Name {
		return
	}
	hello.Forwarded = true
	c.outlet.Send(leader, protocol.KindHello, hello)
}

// formFirst makes the first configuration once every member has said that its
// disk is new. Invariant: while one disk remembers a cluster, no second one is
// formed beside it.
func (c *Core) formFirst() {
	if !c.options.MayBootstrap || !c.isConfigured() {
		return
	}
	configuration := consensus.Configuration{}
	for _, member := range c.options.Members {
		replica, ok := c.unformed[member.Name]
		if member.Name == c.options.Name {
			replica, ok = c.storage.Replica(), true
		}
		if !ok {
			return
		}
		configuration.Replicas = append(configuration.Replicas, consensus.Replica{ID: replica, Member: member.Name})
	}
	slices.SortFunc(configuration.Replicas, func(a, b consensus.Replica) int { return strings.Compare(a.Member, b.Member) })
	c.adopt(configuration)
}

// isConfigured reports whether this process is one of those that make the first
// configuration.
func (c *Core) isConfigured() bool {
	return slices.ContainsFunc(c.options.Members, func(member Member) bool { return member.Name == c.options.Name })
}

func (c *Core) adopt(configuration consensus.Configuration) {
	if err := c.storage.SetBootstrap(configuration); err != nil {
		return
	}
	if err := c.form(configuration); err != nil {
		c.host.Groups = nil
		c.formed = false
	}
}

// admitCandidates brings replicas on new disks into the groups led here: the old
// incarnation is voted out, the new one learns, and then votes.
func (c *Core) admitCandidates() {
	for _, name := range replication.SortedKeys(c.candidates) {
		known := c.candidates[name]
		if c.nowMs-known.lastMs > 5*helloEveryMs {
			delete(c.candidates, name)
			continue
		}
		if known.hellos < candidateHellos {
			continue
		}
		for _, group := range c.host.Groups {
			if group.Node.Role() == consensus.Leader {
				c.admit(group, name, known.replica)
			}
		}
	}
}

// replaceLost takes a voter out of the settings group that has been silent for
// long, where enough voters stay. Invariant: the group never shrinks below the
// number of voters that the machines to be borne need, so that members that are
// merely down keep their place.
func (c *Core) replaceLost() {
	group := c.host.Groups[0]
	if !c.options.Discovered || !group.IsLeader() || c.nowMs-c.leadingSinceMs < lostMemberAfterMs {
		return
	}
	configuration := group.Node.Configuration()
	if len(configuration.Voters()) <= max(c.options.MinVoters, minVoters) {
		return
	}
	for _, replica := range configuration.Replicas {
		if replica.ID != group.Node.ID() && c.silentMs(replica.Member) > lostMemberAfterMs {
			_ = group.Node.ProposeConfiguration(configuration.Without(replica.ID))
			return
		}
	}
}

func (c *Core) admit(group *replication.Group, name string, replica consensus.ReplicaID) {
	configuration := group.Node.Configuration()
	for _, other := range configuration.Replicas {
		if other.Member != name || other.ID == replica {
			continue
		}
		// Invariant: a replica that still answers has not lost its disk.
		if !group.Node.RecentlyActive(other.ID) {
			_ = group.Node.ProposeConfiguration(configuration.Without(other.ID))
		}
		return
	}
	current, ok := configuration.Find(replica)
	switch {
	case !ok:
		_ = group.Node.ProposeConfiguration(configuration.With(consensus.Replica{ID: replica, Member: name, Learner: true}))
	case current.Learner && group.Node.CaughtUp(replica, 0):
		_ = group.Node.ProposeConfiguration(configuration.With(consensus.Replica{ID: replica, Member: name}))
	}
}

// HasSilentMember reports whether another control process has not been heard lately.
func (c *Core) HasSilentMember() bool {
	return slices.ContainsFunc(c.memberNames(), func(member string) bool {
		return member != c.options.Name && c.silentMs(member) > suspectAfterMs
	})
}
