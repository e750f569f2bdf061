package scheduler

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// controlRequest is a request to the leader of a log group. It is sent again, to the leader that a
// reply names or else to the next member, until a reply arrives or its deadline passes.
type controlRequest struct {
	group   uint32
	kind    protocol.Kind
	message any
	// onReply is called with the reply, or with nil when deadlineMs has passed.
	onReply    func(reply any)
	deadlineMs int64
	// resendAtMs is the time at which to send the request again, or 0 while a reply is pending.
	resendAtMs       int64
	attemptTimeoutMs int64
	sentMs           int64
	member           string
}

func (c *Core) startControlRequest(group uint32, kind protocol.Kind, message any, totalTimeoutMs int64, onReply func(reply any)) {
	request := &controlRequest{
		group: group, kind: kind, message: message, onReply: onReply,
		deadlineMs: c.nowMs + totalTimeoutMs, attemptTimeoutMs: controlTimeoutMs,
	}
	if kind == protocol.KindSync {
		request.attemptTimeoutMs += c.options.SyncLongPollMs
	}
	c.lastControlID++
	c.controlRequests[c.lastControlID] = request
	c.sendControlRequest(c.lastControlID, request)
}

func (c *Core) sendControlRequest(id ControlID, request *controlRequest) {
	member, ok := c.leaders[request.group]
	if !ok || member == "" {
		member = c.options.ControlMembers[c.memberIndex%len(c.options.ControlMembers)]
	}
	request.member = member
	request.resendAtMs = 0
	request.sentMs = c.nowMs
	c.transport.SendControlRequest(member, id, request.kind, request.message)
}

// HandleControlReply handles the reply of a control process. A nil reply means that none arrived.
func (c *Core) HandleControlReply(id ControlID, reply any, nowMs int64) {
	c.nowMs = nowMs
	request, ok := c.controlRequests[id]
	if !ok || request.resendAtMs != 0 {
		return
	}
	if reply == nil {
		c.retryOtherMember(request)
		return
	}
	failure, leader := errorAndLeader(reply)
	if failure != nil && (failure.Code == result.NotLeader || failure.Code == result.NoQuorum) {
		if leader != "" && leader != request.member {
			c.leaders[request.group] = leader
			request.resendAtMs = c.nowMs + 1
			return
		}
		c.retryOtherMember(request)
		return
	}
	c.leaders[request.group] = request.member
	delete(c.controlRequests, id)
	request.onReply(reply)
	c.dispatch()
}

func (c *Core) retryOtherMember(request *controlRequest) {
	delete(c.leaders, request.group)
	c.memberIndex++
	request.resendAtMs = c.nowMs + controlRetryDelayMs
}

func errorAndLeader(reply any) (*result.Error, string) {
	switch typed := reply.(type) {
	case *protocol.LedgerReply:
		return typed.Reply.Error, typed.Leader
	case *protocol.SyncReply:
		return typed.Error, typed.Leader
	case *protocol.EndedProgramsReply:
		return typed.Error, typed.Leader
	case *protocol.PermitReply:
		return typed.Error, typed.Leader
	case *protocol.ReadReply:
		return typed.Error, typed.Leader
	}
	return nil, ""
}

// tickControl sends control requests again that are due or whose attempt has timed out, and ends
// those whose deadline has passed.
func (c *Core) tickControl() {
	for _, id := range sortedIDs(c.controlRequests) {
		request := c.controlRequests[id]
		if c.nowMs >= request.deadlineMs {
			delete(c.controlRequests, id)
			request.onReply(nil)
			continue
		}
		if request.resendAtMs == 0 && c.nowMs-request.sentMs > request.attemptTimeoutMs {
			c.retryOtherMember(request)
		}
		if request.resendAtMs != 0 && c.nowMs >= request.resendAtMs {
			// With the new ControlID, a late reply to the earlier send is ignored.
			delete(c.controlRequests, id)
			c.lastControlID++
			c.controlRequests[c.lastControlID] = request
			c.sendControlRequest(c.lastControlID, request)
		}
	}
}

func sortedIDs[K ~uint64, V any](values map[K]V) []K {
	ids := make([]K, 0, len(values))
	for id := range values {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// syncWithControl keeps one long-polling heartbeat to control in flight at all times.
func (c *Core) syncWithControl() {
	if c.isSyncing {
		return
	}
	c.isSyncing = true
	message := &protocol.SyncRequest{
		Heartbeat: c.newHeartbeat(), Revision: c.tree.Revision(), DirectoryVersion: c.roster.Version(),
		LongPollMs: c.options.SyncLongPollMs, ConfirmNow: !c.isSynced,
	}
	c.startControlRequest(0, protocol.KindSync, message, 2*controlTimeoutMs, func(reply any) {
		c.isSyncing = false
		typed, ok := reply.(*protocol.SyncReply)
		if !ok || typed.Error != nil {
			return
		}
		hasNewerRoster := typed.Feed.Roster.Version > c.roster.Version()
		c.applyFeed(typed.Feed)
		if hasNewerRoster && typed.EnginesChanged {
			c.setEngines(typed.Engines)
		}
		c.isSynced = true
		c.tickFollowers()
		c.syncWithControl()
	})
}

func (c *Core) newHeartbeat() membership.Heartbeat {
	heartbeat := membership.Heartbeat{
		Scheduler: membership.Scheduler{
			Name: c.options.Name, Zone: c.options.Zone, Address: c.options.Address,
			Incarnation: c.options.Incarnation, Draining: c.isDraining,
		},
		Revision: c.tree.Revision(), ReadyEngines: map[string]int{},
		QueueLength: len(c.waitingCalls), InFlight: len(c.attempts),
	}
	for _, owned := range c.engines {
		if owned.schedulingEngine.Ready && !owned.info.Leaving {
			heartbeat.ReadyEngines[owned.info.Pool]++
		}
	}
	heartbeat.SidecarRevision = heartbeat.Revision
	for _, name := range sortedNames(c.followers) {
		sidecar := c.followers[name]
		heartbeat.SidecarCount++
		heartbeat.SidecarRevision = min(heartbeat.SidecarRevision, sidecar.revision)
		if sidecar.revision < heartbeat.Revision && len(heartbeat.LaggingSidecars) < maxLaggingSidecars {
			heartbeat.LaggingSidecars = append(heartbeat.LaggingSidecars, name)
		}
	}
	return heartbeat
}

func sortedNames[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// HandleFollow handles a sidecar's heartbeat.
func (c *Core) HandleFollow(sink SinkID, request *protocol.FollowRequest, nowMs int64) {
	c.nowMs = nowMs
	c.followers[request.Sidecar] = &follower{
		revision: request.Revision, lastContactMs: nowMs, sink: sink, request: request,
		pollDeadlineMs: nowMs + request.LongPollMs, isWaiting: true,
	}
	c.tickFollowers()
	c.reportSidecarRevision()
}

// reportSidecarRevision reports to control when the last sidecar has reached the revision of this
// scheduler. The report does not wait for the next heartbeat, because operators wait for it.
func (c *Core) reportSidecarRevision() {
	if !c.isSynced || c.reportedRevision == c.tree.Revision() {
		return
	}
	for _, sidecar := range c.followers {
		if sidecar.revision < c.tree.Revision() {
			return
		}
	}
	c.reportedRevision = c.tree.Revision()
	c.sendHeartbeat()
}

// sendHeartbeat sends a heartbeat without long polling, in addition to the one in flight.
func (c *Core) sendHeartbeat() {
	message := &protocol.SyncRequest{Heartbeat: c.newHeartbeat(), Revision: c.tree.Revision(), DirectoryVersion: c.roster.Version()}
	c.startControlRequest(0, protocol.KindSync, message, controlTimeoutMs, func(any) {})
}

// tickFollowers replies to a sidecar's heartbeat if there are updates for the sidecar, if its long
// poll has ended, or if this scheduler is draining, which the sidecar must learn. It removes
// sidecars that have sent no new heartbeat for followerTimeoutMs.
func (c *Core) tickFollowers() {
	for _, name := range sortedNames(c.followers) {
		sidecar := c.followers[name]
		if !sidecar.isWaiting {
			if c.nowMs-sidecar.lastContactMs > followerTimeoutMs {
				delete(c.followers, name)
			}
			continue
		}
		hasUpdates := c.tree.Revision() > sidecar.request.Revision || c.roster.ChangeVersion() > sidecar.request.DirectoryVersion
		if !c.isSynced || (!hasUpdates && c.nowMs < sidecar.pollDeadlineMs && !c.isDraining) {
			continue
		}
		sidecar.isWaiting = false
		sidecar.lastContactMs = c.nowMs
		reply := &protocol.FollowReply{Feed: c.feedSince(sidecar.request)}
		c.transport.Reply(sidecar.sink, protocol.KindResponse, reply, true)
	}
}

func (c *Core) feedSince(request *protocol.FollowRequest) protocol.Feed {
	feed := protocol.NewFeed(c.tree, request.Revision)
	if c.options.DisableRevision && c.tree.Revision() != request.Revision {
		feed.Snapshot, _ = c.tree.FollowerState()
	}
	feed.Roster = c.roster.DeltaSince(request.DirectoryVersion)
	feed.Groups = c.groups
	return feed
}
