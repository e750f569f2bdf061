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
	// ledgerTry bounds one question to one ledger host.
	ledgerTry = 450 * time.Millisecond
	// probeTry bounds the question whether a host leads a group.
	probeTry = 150 * time.Millisecond
	// settleTimeout bounds the background settling of a turn that is not kept.
	settleTimeout = 6 * time.Second
	// nearTry bounds a question to the replica in this zone, behind which the leader
	// stands.
	nearTry = 100 * time.Millisecond

	// sourceNear and sourceLeader say where a history was read.
	sourceNear   = "near"
	sourceLeader = "leader"
)

// ledgers finds the leader of each ledger group and asks it.
type ledgers struct {
	caller *daemon.Caller
	zone   string
	// histories counts the reads of older turns by source.
	histories *prometheus.CounterVec
	mutex     sync.Mutex
	view      *membership.FleetView
	leaders   *leaders
	// disabled are the mechanisms that are turned off.
	disabled scheduling.DisabledMechanisms
}

func newLedgers(zone string, histories *prometheus.CounterVec, disabled scheduling.DisabledMechanisms) *ledgers {
	l := &ledgers{caller: daemon.NewCaller(), zone: zone, histories: histories, disabled: disabled}
	l.leaders = newLeaders(l.members, l.probe)
	return l
}

func (l *ledgers) follow(view *membership.FleetView) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.view = view
}

// groups returns how many groups are placed.
func (l *ledgers) groups() uint32 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.view == nil {
		return 0
	}
	return uint32(len(l.view.Groups))
}

// members returns where a group is placed.
func (l *ledgers) members(group uint32) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.view == nil {
		return nil
	}
	return l.view.Groups[group].Members
}

// probe asks a member whether it leads a group.
func (l *ledgers) probe(ctx context.Context, member string, group uint32) (leads bool, hint string) {
	reply := &protocol.TurnReply{}
	err := l.caller.CallWithin(ctx, probeTry, member, protocol.KindTurn, &protocol.TurnRequest{Group: group, Probe: true}, reply)
	return err == nil && reply.Error == nil, reply.Leader
}

// ask puts a question to the leader of its group until it is answered or ctx ends.
// All questions may be put again: the ledger knows a turn by its request.
func (l *ledgers) ask(ctx context.Context, request *protocol.TurnRequest) *protocol.TurnReply {
	request.WithinMs = ledgerTry.Milliseconds()
	last := result.New(result.LedgerUnreachable, "group %d: no leader found", request.Group)
	for try := 0; ctx.Err() == nil; try++ {
		leader := l.leaders.find(ctx, request.Group)
		if leader == "" {
			break
		}
		reply := &protocol.TurnReply{}
		err := l.caller.CallWithin(ctx, ledgerTry, leader, protocol.KindTurn, request, reply)
		switch {
		case err != nil:
			last = result.New(result.LedgerUnreachable, "group %d: %s: %v", request.Group, leader, err)
			l.leaders.lost(request.Group, leader)
		case reply.Error == nil:
			return reply
		case reply.Error.Code == result.NotLeader || reply.Error.Code == result.NoQuorum:
			last = reply.Error
			l.leaders.lost(request.Group, leader)
			if try == 0 && reply.Leader != "" && reply.Leader != leader {
				l.leaders.set(request.Group, reply.Leader)
			}
		default:
			return reply
		}
	}
	return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "%s", last.Message)}
}

// groupOf returns the group that keeps a program's turns, or counts a tenant's requests.
func (l *ledgers) groupOf(id string) (uint32, bool) {
	groups := l.groups()
	if groups == 0 {
		return 0, false
	}
	return program.GroupOf(id, groups), true
}

// settle closes a turn.
func (l *ledgers) settle(settle *program.Settle, within time.Duration) *result.Error {
	group, known := l.groupOf(settle.Program)
	if !known {
		return result.New(result.LedgerUnreachable, "no ledger group is placed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return l.ask(ctx, &protocol.TurnRequest{Group: group, Settle: settle}).Error
}

// reserve opens a turn in its program's group; known names the turn up to which the
// gateway has the chain.
func (l *ledgers) reserve(ctx context.Context, reserve *program.Reserve, known string) *protocol.TurnReply {
	group, placed := l.groupOf(reserve.Program)
	if !placed {
		return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "no ledger group is placed")}
	}
	reply := l.ask(ctx, &protocol.TurnRequest{Group: group, Reserve: reserve, Known: known, Zone: l.zone})
	if reply.Error == nil && len(reply.Older) > 0 {
		l.addOlder(ctx, group, reply)
	}
	return reply
}

// addOlder puts the content of the older turns before what the leader has sent: from a
// replica in this zone, which saves the way between zones, or else from the leader.
func (l *ledgers) addOlder(ctx context.Context, group uint32, reply *protocol.TurnReply) {
	request := &protocol.TurnRequest{Group: group, Contents: reply.Older}
	older := &protocol.TurnReply{}
	source := sourceNear
	near := ""
	if !l.disabled.Has(scheduling.MechanismZoneLocalReads) {
		near = l.nearReplica(group)
	}
	if near == "" || l.caller.CallWithin(ctx, nearTry, near, protocol.KindTurn, request, older) != nil || older.Error != nil {
		source = sourceLeader
		older = l.ask(ctx, request)
	}
	l.histories.WithLabelValues(source).Inc()
	reply.Error = older.Error
	reply.Chain = append(older.Chain, reply.Chain...)
}

// nearReplica returns a member of a group in this zone, "" where there is none.
func (l *ledgers) nearReplica(group uint32) string {
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

// findElsewhere looks for a turn in all groups but the program's own: a program may
// go on from a turn of another. Invariant: it says that there is no such turn only
// where every group has confirmed that.
func (l *ledgers) findElsewhere(ctx context.Context, turn, ownProgram string) *protocol.TurnReply {
	own, _ := l.groupOf(ownProgram)
	groups := l.groups()
	replies := make(chan *protocol.TurnReply, groups)
	asked := 0
	for group := uint32(1); group <= groups; group++ {
		if group == own {
			continue
		}
		asked++
		go func() { replies <- l.ask(ctx, &protocol.TurnRequest{Group: group, Find: turn}) }()
	}
	missing := &protocol.TurnReply{Error: result.New(result.UnknownTurn, "no group keeps turn %s", turn)}
	for range asked {
		reply := <-replies
		if reply.Error == nil {
			return reply
		}
		if reply.Error.Code != result.UnknownTurn {
			missing = reply
		}
	}
	return missing
}

// askQuota asks the owner of a tenant's limit for one request.
func (l *ledgers) askQuota(ctx context.Context, ask *quota.Request) *protocol.TurnReply {
	group, placed := l.groupOf(ask.Tenant)
	if !placed {
		return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "no ledger group is placed")}
	}
	return l.ask(ctx, &protocol.TurnRequest{Group: group, Quota: ask})
}

// tellQuotaOnce gives a grant or a place in the queue back. Invariant: it is sent once at the
// most. An answer that is lost leaves the grant counted until it has left the window; a return
// that came twice would take another request's grant out of it.
func (l *ledgers) tellQuotaOnce(ask *quota.Request) *result.Error {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	group, placed := l.groupOf(ask.Tenant)
	if !placed {
		return result.New(result.LedgerUnreachable, "no ledger group is placed")
	}
	leader := l.leaders.find(ctx, group)
	if leader == "" {
		return result.New(result.LedgerUnreachable, "group %d: no leader found", group)
	}
	reply := &protocol.TurnReply{}
	if err := l.caller.CallWithin(ctx, ledgerTry, leader, protocol.KindTurn, &protocol.TurnRequest{Group: group, Quota: ask}, reply); err != nil {
		return result.New(result.LedgerUnreachable, "group %d: %s: %v", group, leader, err)
	}
	return reply.Error
}
