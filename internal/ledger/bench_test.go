package ledger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	benchHosts  = 5
	benchGroups = 4
)

// freeAddress returns a loopback address with a free port.
func freeAddress(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// benchCluster runs ledger daemons over loopback and real disks. There is no control; the daemons
// receive their placement once.
func benchCluster(b *testing.B) []string {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var daemons []*Daemon
	var delta membership.FleetDelta
	initial := consensus.Configuration{}
	var members []string
	for number := range benchHosts {
		process := config.Process{Role: "ledger", Name: fmt.Sprintf("ledger-%d", number), Zone: fmt.Sprintf("z%d", number)}
		process.Listen.Address, process.Listen.HTTP = freeAddress(b), freeAddress(b)
		process.Data.Path = b.TempDir()
		host, err := NewDaemon(process, log.NewNopLogger())
		if err != nil {
			b.Fatal(err)
		}
		go func() {
			if err := host.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
				b.Error(err)
			}
		}()
		daemons = append(daemons, host)
		members = append(members, process.Listen.Address)
		initial = initial.With(consensus.Replica{ID: host.store.Replica(), Member: process.Listen.Address})
		delta.Ledgers = append(delta.Ledgers, membership.LedgerHost{Member: process.Listen.Address, Name: process.Name, Zone: process.Zone, Replica: host.store.Replica()})
	}
	for group := range benchGroups {
		delta.Groups = append(delta.Groups, membership.Placement{Group: uint32(group + 1), Members: members, Initial: initial})
	}
	delta.Version, delta.IsFull = 1, true
	var view *membership.FleetView
	view, _ = view.ApplyDelta(delta)
	for _, host := range daemons {
		host.applyView(view, nil)
	}
	return members
}

// callLeader calls the hosts in turn until the leader of the group replies.
func callLeader(b *testing.B, client *daemon.Client, members []string, leaders map[uint32]string, request *protocol.TurnRequest) {
	for attempt := 0; ; attempt++ {
		target := leaders[request.Group]
		if target == "" {
			target = members[attempt%len(members)]
		}
		reply := &protocol.TurnReply{}
		err := client.CallWithTimeout(context.Background(), time.Second, target, protocol.KindTurn, request, reply)
		if err == nil && reply.Error == nil {
			leaders[request.Group] = target
			return
		}
		leaders[request.Group] = ""
		if err == nil && reply.Error.Code != result.NotLeader {
			b.Fatal(reply.Error)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// BenchmarkTurn measures a reservation and its settlement on five hosts with real disks. Its CPU
// time is that of all hosts.
func BenchmarkTurn(b *testing.B) {
	members := benchCluster(b)
	client := daemon.NewClient()
	defer client.Close()
	leaders := map[uint32]string{}
	turn := 0
	for b.Loop() {
		turn++
		group := uint32(turn%benchGroups + 1)
		id := fmt.Sprint("turn-", turn)
		programID := fmt.Sprint("program-", turn)
		callLeader(b, client, members, leaders, &protocol.TurnRequest{Group: group, Reserve: &program.Reserve{
			Program: programID, Request: id, BudgetTokens: 5000, MaxTokens: 575, Session: "s",
		}})
		settle := &program.Settle{Program: programID, Request: id, UsedTokens: 200, Session: "s", Engine: "i-1"}
		go func() {
			reply := &protocol.TurnReply{}
			_ = client.CallWithTimeout(context.Background(), time.Second, leaders[group], protocol.KindTurn, &protocol.TurnRequest{Group: group, Settle: settle}, reply)
		}()
		time.Sleep(5 * time.Millisecond)
	}
}
