package scheduler

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// controlRequest is a request to the leader of a log group. It is repeated, at
// the leader that the answers point to, until it is answered or given up.
type controlRequest struct {
	group   uint32
	kind    protocol.Kind
	message any
	// done gets the reply, or nil when untilMs has passed.
	done    func(reply any)
	untilMs int64
	// nextMs is when to send again; zero while an answer is awaited.
	nextMs    int64
	timeoutMs int64
	sentMs    int64
	member    string
}

func (c *Core) askControl(group uint32, kind protocol.Kind, message any, patienceMs int64, done func(reply any)) {
	request := &controlRequest{
		group: group, kind: kind, message: message, done: done,
		untilMs: c.nowMs + patienceMs, timeoutMs: controlTimeoutMs,
	}
	if kind == protocol.KindSync {
		request.timeoutMs += c.options.SyncLongPollMs
	}
	c.nextControl++
	c.control[c.nextControl] = request
	c.sendControl(c.nextControl, request)
}

func (c *Core) sendControl(id ControlID, request *controlRequest) {
	member, ok := c.leaders[request.group]
	if !ok || member == "" {
		member = c.options.ControlMembers[c.memberTurn%len(c.options.ControlMembers)]
	}
	request.member = member
	request.nextMs = 0
	request.sentMs = c.nowMs
	c.outlet.SendControlRequest(member, id, request.kind, request.message)
}

// HandleControlReply takes the answer of a control process; a nil reply means that
// none came.
func (c *Core) HandleControlReply(id ControlID, reply any, nowMs int64) {
	c.nowMs = nowMs
	request, ok := c.control[id]
	if !ok || request.nextMs != 0 {
		return
	}
	if reply == nil {
		c.tryElsewhere(request)
		return
	}
	failure, leader := failureOf(reply)
	if failure != nil && (failure.Code == result.NotLeader || failure.Code == result.NoQuorum) {
		if leader != "" && leader != request.member {
			c.leaders[request.group] = leader
			request.nextMs = c.nowMs + 1
			return
		}
		c.tryElsewhere(request)
		return
	}
	c.leaders[request.group] = request.member
	delete(c.control, id)
	request.done(reply)
	c.dispatch()
}

func (c *Core) tryElsewhere(request *controlRequest) {
	delete(c.leaders, request.group)
	c.memberTurn++
	request.nextMs = c.nowMs + controlPauseMs
}

func failureOf(reply any) (*result.Error, string) {
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

// tickControl repeats what is due and gives up what has waited too long.
func (c *Core) tickControl() {
	for _, id := range sortedIDs(c.control) {
		request := c.control[id]
		if c.nowMs >= request.untilMs {
			delete(c.control, id)
			request.done(nil)
			continue
		}
		if request.nextMs == 0 && c.nowMs-request.sentMs > request.timeoutMs {
			c.tryElsewhere(request)
		}
		if request.nextMs != 0 && c.nowMs >= request.nextMs {
			// A new number keeps a late answer to the old send from counting.
			delete(c.control, id)
			c.nextControl++
			c.control[c.nextControl] = request
			c.sendControl(c.nextControl, request)
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

// heartbeat keeps one sync under way at all times.
func (c *Core) heartbeat() {
	if c.syncing {
		return
	}
	c.syncing = true
	message := &protocol.SyncRequest{
		Heartbeat: c.heartbeatReport(), Revision: c.tree.Revision(), DirectoryVersion: c.roster.Version(),
		LongPollMs: c.options.SyncLongPollMs, ConfirmNow: !c.synced,
	}
	c.askControl(0, protocol.KindSync, message, 2*controlTimeoutMs, func(reply any) {
		c.syncing = false
		typed, ok := reply.(*protocol.SyncReply)
		if !ok || typed.Error != nil {
			return
		}
		newer := typed.Feed.Roster.Version > c.roster.Version()
		c.applyFeed(typed.Feed)
		if newer && typed.EnginesChanged {
			c.setEngines(typed.Engines)
		}
		c.synced = true
		c.tickFollows()
		c.heartbeat()
	})
}

func (c *Core) heartbeatReport() membership.Heartbeat {
	report := membership.Heartbeat{
		Scheduler: membership.Scheduler{
			Name: c.options.Name, Zone: c.options.Zone, Address: c.options.Address,
			Incarnation: c.options.Incarnation, Draining: c.draining,
		},
		Revision: c.tree.Revision(), ReadyEngines: map[string]int{},
		QueueLength: len(c.waiting), InFlight: len(c.attempts),
	}
	for _, owned := range c.engines {
		if owned.schedule.Ready && !owned.info.Leaving {
			report.ReadyEngines[owned.info.Pool]++
		}
	}
	report.SidecarRevision = report.Revision
	for _, name := range sortedNames(c.follows) {
		known := c.follows[name]
		report.SidecarCount++
		report.SidecarRevision = min(report.SidecarRevision, known.revision)
		if known.revision < report.Revision && len(report.LaggingSidecars) < maxLagging {
			report.LaggingSidecars = append(report.LaggingSidecars, name)
		}
	}
	return report
}

func sortedNames[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// HandleFollow takes a sidecar's heartbeat.
func (c *Core) HandleFollow(sink SinkID, request *protocol.FollowRequest, nowMs int64) {
	c.nowMs = nowMs
	c.follows[request.Sidecar] = &follower{
		revision: request.Revision, heardMs: nowMs, sink: sink, request: request,
		untilMs: nowMs + request.LongPollMs, isWaiting: true,
	}
	c.tickFollows()
	c.reportSidecars()
}

// reportSidecars tells control at once when the last sidecar has caught up with
// the revision in force here, rather than with the next heartbeat: operators
// wait for it.
func (c *Core) reportSidecars() {
	if !c.synced || c.reportedRevision == c.tree.Revision() {
		return
	}
	for _, known := range c.follows {
		if known.revision < c.tree.Revision() {
			return
		}
	}
	c.reportedRevision = c.tree.Revision()
	c.reportNow()
}

// reportNow sends a heartbeat beside the one that control holds.
func (c *Core) reportNow() {
	message := &protocol.SyncRequest{Heartbeat: c.heartbeatReport(), Revision: c.tree.Revision(), DirectoryVersion: c.roster.Version()}
	c.askControl(0, protocol.KindSync, message, controlTimeoutMs, func(any) {})
}

// tickFollows answers sidecars for which there is news, or whose wait is over.
func (c *Core) tickFollows() {
	for _, name := range sortedNames(c.follows) {
		known := c.follows[name]
		if !known.isWaiting {
			if c.nowMs-known.heardMs > followSilenceMs {
				delete(c.follows, name)
			}
			continue
		}
		news := c.tree.Revision() > known.request.Revision || c.roster.ChangeVersion() > known.request.DirectoryVersion
		if !c.synced || (!news && c.nowMs < known.untilMs && !c.draining) {
			continue
		}
		known.isWaiting = false
		known.heardMs = c.nowMs
		reply := &protocol.FollowReply{Feed: c.feed(known.request)}
		c.outlet.Reply(known.sink, protocol.KindResponse, reply, true)
	}
}

func (c *Core) feed(request *protocol.FollowRequest) protocol.Feed {
	feed := protocol.NewFeed(c.tree, request.Revision)
	if c.options.DisableRevision && c.tree.Revision() != request.Revision {
		feed.Snapshot, _ = c.tree.FollowerState()
	}
	feed.Roster = c.roster.DeltaSince(request.DirectoryVersion)
	feed.Groups = c.groups
	return feed
}
