package sidecar

import (
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

// sendFollow keeps one long-polling heartbeat in flight to a scheduler. The reply contains updates
// of the settings and of the directory of schedulers.
func (c *Core) sendFollow() {
	if c.followID != 0 && c.nowMs-c.followSentMs < followTimeoutMs+c.options.FollowLongPollMs {
		return
	}
	if c.followID != 0 {
		delete(c.outbound, c.followID)
		c.followIndex++
	}
	target, ok := c.followTarget()
	if !ok {
		return
	}
	c.lastOutboundID++
	c.followID = c.lastOutboundID
	c.followSentMs = c.nowMs
	c.outbound[c.lastOutboundID] = &outboundRequest{id: c.lastOutboundID, address: target.Address, scheduler: target.Name, isFollow: true}
	c.transport.Send(target.Address, c.lastOutboundID, protocol.KindFollow, &protocol.FollowRequest{
		Sidecar: c.options.Name, Revision: c.tree.Revision(), DirectoryVersion: c.roster.Version(), LongPollMs: c.options.FollowLongPollMs,
	})
}

// followTarget returns the scheduler to follow. It prefers the schedulers of the sidecar's zone that
// are not draining, and moves to the next one in the order only if a heartbeat fails.
func (c *Core) followTarget() (membership.Scheduler, bool) {
	var localSchedulers, otherSchedulers []membership.Scheduler
	for _, scheduler := range c.schedulers {
		if scheduler.Zone == c.options.Zone && !scheduler.Draining {
			localSchedulers = append(localSchedulers, scheduler)
		} else {
			otherSchedulers = append(otherSchedulers, scheduler)
		}
	}
	ordered := append(localSchedulers, otherSchedulers...)
	if len(ordered) == 0 {
		ordered = c.options.Seeds
	}
	if len(ordered) == 0 {
		return membership.Scheduler{}, false
	}
	return ordered[c.followIndex%len(ordered)], true
}

// HandleFollowReply applies the updates from a scheduler. Invariant: neither the settings revision
// nor the directory version decreases, whichever scheduler sends the updates. With DisableRevision
// set, the settings revision may decrease.
func (c *Core) HandleFollowReply(id OutboundRequestID, reply *protocol.FollowReply, nowMs int64) {
	c.nowMs = nowMs
	if id != c.followID {
		return
	}
	delete(c.outbound, id)
	c.followID = 0
	if reply.Error != nil {
		c.followIndex++
		return
	}
	feed := reply.Feed
	c.tree = feed.ApplyTo(c.tree, c.options.DisableRevision)
	if c.roster.ApplyDelta(feed.Roster) {
		c.schedulers = c.roster.List()
		c.retryDelisted()
	}
	c.isSynced = true
	c.sendFollow()
}

// retryDelisted treats the requests to a scheduler as lost if the directory no longer lists the
// scheduler, or lists a later incarnation: a machine that loses power does not close its
// connections.
func (c *Core) retryDelisted() {
	listedIncarnations := map[string]uint64{}
	for _, scheduler := range c.schedulers {
		listedIncarnations[scheduler.Name] = scheduler.Incarnation
	}
	for _, id := range sortedIDs(c.outbound) {
		sent := c.outbound[id]
		incarnation, ok := listedIncarnations[sent.scheduler]
		hasRestarted := sent.incarnation != 0 && incarnation > sent.incarnation
		if sent.call != nil && (!ok || hasRestarted) {
			c.HandleLostRequest(id, c.nowMs)
		}
	}
}

// SchedulerAddresses returns the addresses of the schedulers, those of the sidecar's zone first.
func (c *Core) SchedulerAddresses() []string {
	schedulers := c.schedulers
	if len(schedulers) == 0 {
		schedulers = c.options.Seeds
	}
	var addresses []string
	for _, scheduler := range schedulers {
		if scheduler.Zone == c.options.Zone {
			addresses = append(addresses, scheduler.Address)
		}
	}
	for _, scheduler := range schedulers {
		if scheduler.Zone != c.options.Zone {
			addresses = append(addresses, scheduler.Address)
		}
	}
	return addresses
}
