package sidecar

import (
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

// follow keeps one heartbeat under way at a scheduler; its answer brings the
// settings and the list of schedulers.
func (c *Core) follow() {
	if c.following != 0 && c.nowMs-c.followedAt < followTimeoutMs+c.options.FollowLongPollMs {
		return
	}
	if c.following != 0 {
		delete(c.sends, c.following)
		c.followTurn++
	}
	target, ok := c.followTarget()
	if !ok {
		return
	}
	c.nextSend++
	c.following = c.nextSend
	c.followedAt = c.nowMs
	c.sends[c.nextSend] = &send{id: c.nextSend, address: target.Address, name: target.Name, follow: true}
	c.outlet.Send(target.Address, c.nextSend, protocol.KindFollow, &protocol.FollowRequest{
		Sidecar: c.options.Name, Revision: c.tree.Revision(), DirectoryVersion: c.roster.Version(), LongPollMs: c.options.FollowLongPollMs,
	})
}

// followTarget goes round the schedulers of one's own zone first, and changes
// only when one is lost.
func (c *Core) followTarget() (membership.Scheduler, bool) {
	var local, others []membership.Scheduler
	for _, peer := range c.peers {
		if peer.Zone == c.options.Zone && !peer.Draining {
			local = append(local, peer)
		} else {
			others = append(others, peer)
		}
	}
	all := append(local, others...)
	if len(all) == 0 {
		all = c.options.Seeds
	}
	if len(all) == 0 {
		return membership.Scheduler{}, false
	}
	return all[c.followTurn%len(all)], true
}

// HandleFollowReply takes news from a scheduler. Invariant: revision and directory only
// grow here, whichever scheduler sends them.
func (c *Core) HandleFollowReply(id OutboundRequestID, reply *protocol.FollowReply, nowMs int64) {
	c.nowMs = nowMs
	if id != c.following {
		return
	}
	delete(c.sends, id)
	c.following = 0
	if reply.Error != nil {
		c.followTurn++
		return
	}
	feed := reply.Feed
	c.tree = feed.ApplyTo(c.tree, c.options.DisableRevision)
	if c.roster.ApplyDelta(feed.Roster) {
		c.peers = c.roster.List()
		c.loseDelisted()
	}
	c.synced = true
	c.follow()
}

// loseDelisted gives up what was sent to schedulers that the directory no longer
// lists, or lists with a later start: a machine that lost its power closes no
// connection.
func (c *Core) loseDelisted() {
	listed := map[string]uint64{}
	for _, peer := range c.peers {
		listed[peer.Name] = peer.Incarnation
	}
	for _, id := range sortedIDs(c.sends) {
		sent := c.sends[id]
		start, ok := listed[sent.name]
		restarted := sent.start != 0 && start > sent.start
		if sent.call != nil && (!ok || restarted) {
			c.HandleLostRequest(id, c.nowMs)
		}
	}
}

// SchedulerAddresses returns the schedulers' addresses in the order in which to ask them.
func (c *Core) SchedulerAddresses() []string {
	peers := c.peers
	if len(peers) == 0 {
		peers = c.options.Seeds
	}
	var addresses []string
	for _, peer := range peers {
		if peer.Zone == c.options.Zone {
			addresses = append(addresses, peer.Address)
		}
	}
	for _, peer := range peers {
		if peer.Zone != c.options.Zone {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}
