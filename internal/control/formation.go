package control

import (
	"github.com/ochrebay/ochrebay/internal/replication"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

// sendHellos introduces a process that isn't part of a cluster yet, or whose
// groups have not let its replica in.
func (c *Core) sendHellos() {
	if c.nowMs-c.lastHelloMs < helloEveryMs || (c.formed && c.admitted()) {
		return
	}
	c.lastHelloMs = c.nowMs
	for _, member := range c.options.Members {
		if member.Name != c.options.Name {
			c.outlet.Send(member.Name, protocol.KindHello, c.hello())
		}
	}
	if !c.formed {
		c.formFirst()
	}
}

func (c *Core) hello() protocol.Hello {
	hello := protocol.Hello{From: c.options.Name, Replica: c.storage.Replica(), Formed: c.formed}
	if c.formed {
		hello.Bootstrap, _, _ = c.storage.Bootstrap()
		hello.Joining = !c.admitted()
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

// Hello takes another process's introduction.
func (c *Core) Hello(hello protocol.Hello, nowMs int64) {
	c.setNow(nowMs)
	c.heardMs[hello.From] = nowMs
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

// formFirst makes the first configuration once every member has said that its
// disk is new. Invariant: while one disk remembers a cluster, no second one is
// formed beside it.
func (c *Core) formFirst() {
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
