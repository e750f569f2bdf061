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
	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	// ledgerTry bounds one question to one ledger host.
	ledgerTry = 450 * time.Millisecond
	// ledgerPause is the pause after a question that nobody answered for the group.
	ledgerPause = 25 * time.Millisecond
	// reserveTimeout bounds the time until a turn is open, keepTimeout until it is
	// kept, and settleTimeout the background settling of one that is not kept.
	reserveTimeout = 1200 * time.Millisecond
	keepTimeout    = 1500 * time.Millisecond
	settleTimeout  = 6 * time.Second
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
	// leaders are the groups' leaders as last heard.
	leaders map[uint32]string
}

func newLedgers(zone string, histories *prometheus.CounterVec) *ledgers {
	return &ledgers{caller: daemon.NewCaller(), zone: zone, histories: histories, leaders: map[uint32]string{}}
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

// target returns the member to ask for a group at the given try.
func (l *ledgers) target(group uint32, try int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if leader := l.leaders[group]; leader != "" {
		return leader
	}
	if l.view == nil || len(l.view.Groups[group].Members) == 0 {
		return ""
	}
	members := l.view.Groups[group].Members
	return members[try%len(members)]
}

func (l *ledgers) setLeader(group uint32, leader string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaders[group] = leader
}

// ask puts a question to the leader of its group until it is answered or ctx ends.
// All questions may be put again: the ledger knows a turn by its request.
func (l *ledgers) ask(ctx context.Context, request *protocol.TurnRequest) *protocol.TurnReply {
	last := result.New(result.LedgerUnreachable, "group %d: no host known", request.Group)
	for try := 0; ctx.Err() == nil; try++ {
		member := l.target(request.Group, try)
		reply := &protocol.TurnReply{}
		err := context.Cause(ctx)
		if member != "" {
			err = l.caller.CallWithin(ctx, ledgerTry, member, protocol.KindTurn, request, reply)
		}
		switch {
		case member == "" || err != nil:
			l.setLeader(request.Group, "")
			if err != nil {
				last = result.New(result.LedgerUnreachable, "group %d: %s: %v", request.Group, member, err)
			}
		case reply.Error == nil:
			l.setLeader(request.Group, member)
			return reply
		case reply.Error.Code == result.NotLeader || reply.Error.Code == result.NoQuorum:
			last = reply.Error
			l.setLeader(request.Group, reply.Leader)
			if reply.Leader != "" && reply.Leader != member && try < 2 {
				continue
			}
		default:
			l.setLeader(request.Group, member)
			return reply
		}
		select {
		case <-ctx.Done():
		case <-time.After(ledgerPause):
		}
	}
	return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "%s", last.Message)}
}

// groupOf returns the group that keeps a program's turns.
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
	near := l.nearReplica(group)
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
