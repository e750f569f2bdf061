package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/semaphore"

	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

const (
	// ledgerCallTimeout bounds one call to one ledger host.
	ledgerCallTimeout = 450 * time.Millisecond
	// leaderProbeTimeout bounds one probe of a host for whether it leads a group.
	leaderProbeTimeout = 150 * time.Millisecond
	// bulkBytes is the size of a content from which on it is sent over a connection of its own, so that it does not
	// delay other requests. For each bulkBytesPerSecond of it the call may take a second longer.
	bulkBytes          = 64 << 10
	bulkBytesPerSecond = 1 << 20
	// settleTimeout bounds the background settlement of a turn that is not retained.
	settleTimeout = 6 * time.Second
	// localReadTimeout bounds a read at the replica in this zone. If it fails, the read falls
	// back to the leader.
	localReadTimeout = 100 * time.Millisecond

	// sourceLocal and sourceLeader name the replica at which older turns were read.
	sourceLocal  = "near"
	sourceLeader = "leader"
)

// ledgerClient finds the leader of each ledger group and sends requests to it.
type ledgerClient struct {
	client *daemon.Client
	// bulkClient sends contents from bulkBytes on. bulkQueue holds their bytes: together they fit into the send queue
	// of one connection.
	bulkClient *daemon.Client
	bulkQueue  *semaphore.Weighted
	zone       string
	// historyReads counts the reads of older turns by source.
	historyReads *prometheus.CounterVec
	mutex        sync.Mutex
	view         *membership.FleetView
	// hasPlacedGroups is true once a view has placed ledger groups.
	hasPlacedGroups bool
	leaders         *leaderCache
	// disabled lists the scheduling mechanisms that are turned off.
	disabled scheduling.DisabledMechanisms
}

func newLedgerClient(zone string, historyReads *prometheus.CounterVec, disabled scheduling.DisabledMechanisms) *ledgerClient {
	l := &ledgerClient{client: daemon.NewClient(), bulkClient: daemon.NewClient(), bulkQueue: semaphore.NewWeighted(protocol.MaxSendQueueBytes), zone: zone, historyReads: historyReads, disabled: disabled}
	l.leaders = newLeaderCache(l.members, l.probe)
	return l
}

func (l *ledgerClient) applyFleet(view *membership.FleetView) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.view = view
	l.hasPlacedGroups = l.hasPlacedGroups || len(view.Groups) > 0
}

// hasNoLedger reports whether the fleet has no ledger hosts at all, as opposed to ones that this gateway
// does not know at the moment.
func (l *ledgerClient) hasNoLedger() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.view != nil && !l.hasPlacedGroups && len(l.view.Ledgers) == 0
}

// groupCount returns the number of ledger groups that are placed on hosts.
func (l *ledgerClient) groupCount() uint32 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.view == nil {
		return 0
	}
	return uint32(len(l.view.Groups))
}

// members returns the addresses of the hosts that a group is placed on.
func (l *ledgerClient) members(group uint32) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.view == nil {
		return nil
	}
	return l.view.Groups[group].Members
}

// probe implements leaderProbe with a call to the member.
func (l *ledgerClient) probe(ctx context.Context, member string, group uint32) (leads bool, hint string) {
	reply := &protocol.TurnReply{}
	err := l.client.CallWithTimeout(ctx, leaderProbeTimeout, member, protocol.KindTurn, &protocol.TurnRequest{Group: group, ProbeLeader: true}, reply)
	return err == nil && reply.Error == nil, reply.Leader
}

// callLeader sends a request to the leader of its group, and repeats it until it is answered or ctx
// ends. Repeating is safe because the ledger identifies a turn by its request id, and a quota
// request by its ticket.
func (l *ledgerClient) callLeader(ctx context.Context, request *protocol.TurnRequest) *protocol.TurnReply {
	reply, _ := l.tryLeaders(ctx, request)
	return reply
}

// tryLeaders is callLeader. It also returns whether the request was sent to any host.
func (l *ledgerClient) tryLeaders(ctx context.Context, request *protocol.TurnRequest) (reply *protocol.TurnReply, wasSent bool) {
	client, timeout := l.client, ledgerCallTimeout
	if size := request.ContentBytes(); size >= bulkBytes {
		queued := min(size, protocol.MaxSendQueueBytes)
		if l.bulkQueue.Acquire(ctx, queued) != nil {
			return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "group %d: other contents are being sent", request.Group)}, false
		}
		defer l.bulkQueue.Release(queued)
		client, timeout = l.bulkClient, timeout+time.Duration(size)*time.Second/bulkBytesPerSecond
	}
	request.TimeoutMs = timeout.Milliseconds()
	lastError := result.New(result.LedgerUnreachable, "group %d: no leader found", request.Group)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		leader := l.leaders.find(ctx, request.Group)
		if leader == "" {
			break
		}
		reply := &protocol.TurnReply{}
		wasSent = true
		err := client.CallWithTimeout(ctx, timeout, leader, protocol.KindTurn, request, reply)
		switch {
		case err != nil:
			lastError = result.New(result.LedgerUnreachable, "group %d: %s: %v", request.Group, leader, err)
			l.leaders.invalidate(request.Group, leader)
		case reply.Error == nil:
			return reply, true
		case reply.Error.Code == result.NotLeader || reply.Error.Code == result.NoQuorum:
			lastError = reply.Error
			l.leaders.invalidate(request.Group, leader)
			if attempt == 0 && reply.Leader != "" && reply.Leader != leader {
				l.leaders.set(request.Group, reply.Leader)
			}
		default:
			return reply, true
		}
	}
	return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "%s", lastError.Message)}, wasSent
}

// groupOf returns the group that stores the turns of a program, or that owns the rate limit of a
// tenant. It returns false if no group is placed.
func (l *ledgerClient) groupOf(id string) (uint32, bool) {
	groups := l.groupCount()
	if groups == 0 {
		return 0, false
	}
	return program.GroupOf(id, groups), true
}

// settle closes a turn at the ledger.
func (l *ledgerClient) settle(settle *program.Settle, timeout time.Duration) *result.Error {
	group, isPlaced := l.groupOf(settle.Program)
	if !isPlaced {
		return result.New(result.LedgerUnreachable, "no ledger group is placed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.callLeader(ctx, &protocol.TurnRequest{Group: group, Settle: settle}).Error
}

// reserve opens a turn in its program's group. cachedTurn names the turn up to which the gateway has
// the history cached, "" for none.
func (l *ledgerClient) reserve(ctx context.Context, reserve *program.Reserve, cachedTurn string) *protocol.TurnReply {
	group, isPlaced := l.groupOf(reserve.Program)
	if !isPlaced {
		return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "no ledger group is placed")}
	}
	reply := l.callLeader(ctx, &protocol.TurnRequest{Group: group, Reserve: reserve, CachedTurn: cachedTurn, Zone: l.zone})
	if reply.Error == nil && len(reply.OlderTurns) > 0 {
		l.prependOlderTurns(ctx, group, reply)
	}
	return reply
}

// claim claims an attempt of a request. The reply has the resulting record. It has none if the fleet has no
// ledger, or one of a release that records no crashes. wasSent is false if no host can have recorded it.
func (l *ledgerClient) claim(ctx context.Context, claim *program.Crash) (reply *protocol.TurnReply, wasSent bool) {
	return l.callCrashRecord(ctx, claim.Key, &protocol.TurnRequest{Crash: claim})
}

// reportCrash closes attempts of a request, or reports ones that were not claimed. The reply is as for claim.
func (l *ledgerClient) reportCrash(ctx context.Context, crash *program.Crash) *protocol.TurnReply {
	reply, _ := l.callCrashRecord(ctx, crash.Key, &protocol.TurnRequest{Crash: crash})
	return reply
}

// lookUpCrashes asks for the crash record of a request. The reply has none if there is none.
func (l *ledgerClient) lookUpCrashes(ctx context.Context, key *program.RequestKey) *protocol.TurnReply {
	reply, _ := l.callCrashRecord(ctx, *key, &protocol.TurnRequest{CrashesOf: key})
	return reply
}

// callCrashRecord sends a request to the group that holds the crash record of a key.
func (l *ledgerClient) callCrashRecord(ctx context.Context, key program.RequestKey, request *protocol.TurnRequest) (reply *protocol.TurnReply, wasSent bool) {
	group, isPlaced := l.groupOf(key.Scope)
	if !isPlaced {
		if l.hasNoLedger() {
			return &protocol.TurnReply{}, false
		}
		return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "no ledger group is placed")}, false
	}
	request.Group = group
	reply, wasSent = l.tryLeaders(ctx, request)
	if reply.Error != nil && reply.Error.Code == result.MalformedRequest {
		return &protocol.TurnReply{}, false
	}
	return reply, wasSent
}

// openStream records or finds the origin of a stream in its program's group.
func (l *ledgerClient) openStream(ctx context.Context, open *program.OpenStream) *protocol.TurnReply {
	group, isPlaced := l.groupOf(open.Program)
	if !isPlaced {
		return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "no ledger group is placed")}
	}
	return l.callLeader(ctx, &protocol.TurnRequest{Group: group, Stream: open})
}

// prependOlderTurns prepends the content of older turns to the history in the leader's reply. It
// reads them from a replica in this zone, which avoids traffic between zones, or else from the
// leader.
func (l *ledgerClient) prependOlderTurns(ctx context.Context, group uint32, reply *protocol.TurnReply) {
	request := &protocol.TurnRequest{Group: group, ContentsOf: reply.OlderTurns}
	older := &protocol.TurnReply{}
	source := sourceLocal
	replica := ""
	if !l.disabled.Has(scheduling.MechanismZoneLocalReads) {
		replica = l.localReplica(group)
	}
	if replica == "" || l.client.CallWithTimeout(ctx, localReadTimeout, replica, protocol.KindTurn, request, older) != nil || older.Error != nil {
		source = sourceLeader
		older = l.callLeader(ctx, request)
	}
	l.historyReads.WithLabelValues(source).Inc()
	reply.Error = older.Error
	reply.History = append(older.History, reply.History...)
}

// localReplica returns a member of a group in this zone, "" if there is none.
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

// findInOtherGroups looks for a turn in all groups except that of the program, because a program may
// continue from a turn of another program. Invariant: it returns UnknownTurn only if each of these
// groups has confirmed that it does not have the turn.
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
		go func() { replies <- l.callLeader(ctx, &protocol.TurnRequest{Group: group, HistoryOf: turn}) }()
	}
	failedReply := &protocol.TurnReply{Error: result.New(result.UnknownTurn, "no ledger group has turn %s", turn)}
	for range requested {
		reply := <-replies
		if reply.Error == nil {
			return reply
		}
		if reply.Error.Code != result.UnknownTurn {
			failedReply = reply
		}
	}
	return failedReply
}

// requestQuota requests a grant for one run from the owner of the tenant's rate limit.
func (l *ledgerClient) requestQuota(ctx context.Context, request *quota.Request) *protocol.TurnReply {
	group, isPlaced := l.groupOf(request.Tenant)
	if !isPlaced {
		return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "no ledger group is placed")}
	}
	return l.callLeader(ctx, &protocol.TurnRequest{Group: group, Quota: request})
}

// sendQuotaOnce returns a grant or cancels a queued quota request. Invariant: the message is sent at
// most once. If it is lost, the grant counts until it leaves the rate limit's window; a return that
// arrived twice would remove the grant of another request from the window.
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
	if err := l.client.CallWithTimeout(ctx, ledgerCallTimeout, leader, protocol.KindTurn, &protocol.TurnRequest{Group: group, Quota: request}, reply); err != nil {
		return result.New(result.LedgerUnreachable, "group %d: %s: %v", group, leader, err)
	}
	return reply.Error
}
