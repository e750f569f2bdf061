package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

const (
	// ledgerCallTimeout bounds one question to one ledger host.
	ledgerCallTimeout = 450 * time.Millisecond
	// leaderProbeTimeout bounds the question whether a host leads a group.
	leaderProbeTimeout = 150 * time.Millisecond
	// settleTimeout bounds the background settling of a turn that is not kept.
	settleTimeout = 6 * time.Second
	// localReadTimeout bounds a question to the replica in this zone, behind which the leader
	// stands.
	localReadTimeout = 100 * time.Millisecond

	// sourceLocal and sourceLeader say where a history was read.
	sourceLocal  = "near"
	sourceLeader = "leader"
)

// ledgerClient finds the leader of each ledger group and asks it.
type ledgerClient struct {
	caller *daemon.Caller
	zone   string
	// historyReads counts the reads of older turns by source.
	historyReads *prometheus.CounterVec
	mutex        sync.Mutex
	view         *membership.FleetView
	leaders      *leaderCache
	// disabled are the mechanisms that are turned off.
	disabled scheduling.DisabledMechanisms
}

func newLedgerClient(zone string, histories *prometheus.CounterVec, disabled scheduling.DisabledMechanisms) *ledgerClient {
	l := &ledgerClient{caller: daemon.NewCaller(), zone: zone, historyReads: histories, disabled: disabled}
	l.leaders = newLeaderCache(l.members, l.probe)
	return l
}

func (l *ledgerClient) applyFleet(view *membership.FleetView) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.view = view
}

// groupCount returns how many groups are placed.
func (l *ledgerClient) groupCount() uint32 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.view == nil {
		return 0
	}
	return uint32(len(l.view.Groups))
}

// members returns where a group is placed.
func (l *ledgerClient) members(group uint32) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.view == nil {
		return nil
	}
	return l.view.Groups[group].Members
}

// probe asks a member whether it leads a group.
func (l *ledgerClient) probe(ctx context.Context, member string, group uint32) (leads bool, hint string) {
	reply := &protocol.TurnReply{}
	err := l.caller.CallWithin(ctx, leaderProbeTimeout, member, protocol.KindTurn, &protocol.TurnRequest{Group: group, Probe: true}, reply)
	return err == nil && reply.Error == nil, reply.Leader
}

// callLeader puts a question to the leader of its group until it is answered or ctx ends.
// All questions may be put again: the ledger knows a turn by its request.
func (l *ledgerClient) callLeader(ctx context.Context, request *protocol.TurnRequest) *protocol.TurnReply {
	request.WithinMs = ledgerCallTimeout.Milliseconds()
	lastError := result.New(result.LedgerUnreachable, "group %d: no leader found", request.Group)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		leader := l.leaders.find(ctx, request.Group)
		if leader == "" {
			break
		}
		reply := &protocol.TurnReply{}
		err := l.caller.CallWithin(ctx, ledgerCallTimeout, leader, protocol.KindTurn, request, reply)
		switch {
		case err != nil:
			lastError = result.New(result.LedgerUnreachable, "group %d: %s: %v", request.Group, leader, err)
			l.leaders.invalidate(request.Group, leader)
		case reply.Error == nil:
			return reply
		case reply.Error.Code == result.NotLeader || reply.Error.Code == result.NoQuorum:
			lastError = reply.Error
			l.leaders.invalidate(request.Group, leader)
			if attempt == 0 && reply.Leader != "" && reply.Leader != leader {
				l.leaders.set(request.Group, reply.Leader)
			}
		default:
			return reply
		}
	}
	return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "%s", lastError.Message)}
}

// groupOf returns the group that keeps a program's turns, or counts a tenant's requests.
func (l *ledgerClient) groupOf(id string) (uint32, bool) {
	groups := l.groupCount()
	if groups == 0 {
		return 0, false
	}
	return program.GroupOf(id, groups), true
}

// settle closes a turn.
func (l *ledgerClient) settle(settle *program.Settle, timeout time.Duration) *result.Error {
	group, isPlaced := l.groupOf(settle.Program)
	if !isPlaced {
		return result.New(result.LedgerUnreachable, "no ledger group is placed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.callLeader(ctx, &protocol.TurnRequest{Group: group, Settle: settle}).Error
}

// reserve opens a turn in its program's group; known names the turn up to which the
// gateway has the chain.
func (l *ledgerClient) reserve(ctx context.Context, reserve *program.Reserve, cachedTurn string) *protocol.TurnReply {
	group, isPlaced := l.groupOf(reserve.Program)
	if !isPlaced {
		return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "no ledger group is placed")}
	}
	reply := l.callLeader(ctx, &protocol.TurnRequest{Group: group, Reserve: reserve, Known: cachedTurn, Zone: l.zone})
	if reply.Error == nil && len(reply.Older) > 0 {
		l.prependOlderTurns(ctx, group, reply)
	}
	return reply
}

// prependOlderTurns puts the content of the older turns before what the leader has sent: from a
// replica in this zone, which saves the way between zones, or else from the leader.
func (l *ledgerClient) prependOlderTurns(ctx context.Context, group uint32, reply *protocol.TurnReply) {
	request := &protocol.TurnRequest{Group: group, Contents: reply.Older}
	older := &protocol.TurnReply{}
	source := sourceLocal
	replica := ""
	if !l.disabled.Has(scheduling.MechanismZoneLocalReads) {
		replica = l.localReplica(group)
	}
	if replica == "" || l.caller.CallWithin(ctx, localReadTimeout, replica, protocol.KindTurn, request, older) != nil || older.Error != nil {
		source = sourceLeader
		older = l.callLeader(ctx, request)
	}
	l.historyReads.WithLabelValues(source).Inc()
	reply.Error = older.Error
	reply.Chain = append(older.Chain, reply.Chain...)
}

// localReplica returns a member of a group in this zone, "" where there is none.
func (l *ledgerClient) localReplica(group uint32) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.view == nil {
		return ""
	}
	for _, member := range l.view.Groups[group].Members {
		if l.view.Ledgers[member].Zone == l.zone {
			return member
		}
	}
	return ""
}

// findInOtherGroups looks for a turn in all groups but the program's own: a program may
// go on from a turn of another. Invariant: it says that there is no such turn only
// where every group has confirmed that.
func (l *ledgerClient) findInOtherGroups(ctx context.Context, turn, ownProgram string) *protocol.TurnReply {
	ownGroup, _ := l.groupOf(ownProgram)
	groups := l.groupCount()
	replies := make(chan *protocol.TurnReply, groups)
	requested := 0
	for group := uint32(1); group <= groups; group++ {
		if group == ownGroup {
			continue
		}
		requested++
		go func() { replies <- l.callLeader(ctx, &protocol.TurnRequest{Group: group, Find: turn}) }()
	}
	notFound := &protocol.TurnReply{Error: result.New(result.UnknownTurn, "no group keeps turn %s", turn)}
	for range requested {
		reply := <-replies
		if reply.Error == nil {
			return reply
		}
		if reply.Error.Code != result.UnknownTurn {
			notFound = reply
		}
	}
	return notFound
}

// requestQuota asks the owner of a tenant's limit for one request.
func (l *ledgerClient) requestQuota(ctx context.Context, request *quota.Request) *protocol.TurnReply {
	group, isPlaced := l.groupOf(request.Tenant)
	if !isPlaced {
		return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "no ledger group is placed")}
	}
	return l.callLeader(ctx, &protocol.TurnRequest{Group: group, Quota: request})
}

// sendQuotaOnce gives a grant or a place in the queue back. Invariant: it is sent once at the
// most. An answer that is lost leaves the grant counted until it has left the window; a return
// that came twice would take another request's grant out of it.
func (l *ledgerClient) sendQuotaOnce(request *quota.Request) *result.Error {
	ctx, cancel := context.WithTimeout(context.Background(), grantReturnTimeout)
	defer cancel()
	group, isPlaced := l.groupOf(request.Tenant)
	if !isPlaced {
		return result.New(result.LedgerUnreachable, "no ledger group is placed")
	}
	leader := l.leaders.find(ctx, group)
	if leader == "" {
		return result.New(result.LedgerUnreachable, "group %d: no leader found", group)
	}
	reply := &protocol.TurnReply{}
	if err := l.caller.CallWithin(ctx, ledgerCallTimeout, leader, protocol.KindTurn, &protocol.TurnRequest{Group: group, Quota: request}, reply); err != nil {
		return result.New(result.LedgerUnreachable, "group %d: %s: %v", group, leader, err)
	}
	return reply.Error
}
