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

func benchAddress(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// benchCluster runs ledger daemons over loopback and real disks, without control: their
// placement is told once.
func benchCluster(b *testing.B) []string {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var daemons []*Daemon
	var news membership.FleetDelta
	initial := consensus.Configuration{}
	var members []string
	for number := range benchHosts {
		process := config.Process{Role: "ledger", Name: fmt.Sprintf("ledger-%d", number), Zone: fmt.Sprintf("z%d", number)}
		process.Listen.Address, process.Listen.HTTP = benchAddress(b), benchAddress(b)
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
		news.Ledgers = append(news.Ledgers, membership.LedgerHost{Member: process.Listen.Address, Name: process.Name, Zone: process.Zone, Replica: host.store.Replica()})
	}
	for group := range benchGroups {
		news.Groups = append(news.Groups, membership.Placement{Group: uint32(group + 1), Members: members, Initial: initial})
	}
	news.Version, news.IsFull = 1, true
	var view *membership.FleetView
	view, _ = view.ApplyDelta(news)
	for _, host := range daemons {
		host.follow(view, nil)
	}
	return members
}

// askLeader asks the hosts in turn until the group's leader answers.
func askLeader(b *testing.B, caller *daemon.Client, members []string, leader map[uint32]string, request *protocol.TurnRequest) {
	for try := 0; ; try++ {
		target := leader[request.Group]
		if target == "" {
			target = members[try%len(members)]
		}
		reply := &protocol.TurnReply{}
		err := caller.CallWithTimeout(context.Background(), time.Second, target, protocol.KindTurn, request, reply)
		if err == nil && reply.Error == nil {
			leader[request.Group] = target
			return
		}
		leader[request.Group] = ""
		if err == nil && reply.Error.Code != result.NotLeader {
			b.Fatal(reply.Error)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// BenchmarkTurn measures a reservation and its charge through five hosts on real disks;
// its processor time is that of all of them.
func BenchmarkTurn(b *testing.B) {
	members := benchCluster(b)
	caller := daemon.NewClient()
	defer caller.Close()
	leader := map[uint32]string{}
	turn := 0
	for b.Loop() {
		turn++
		group := uint32(turn%benchGroups + 1)
		id := fmt.Sprint("turn-", turn)
		programID := fmt.Sprint("program-", turn)
		askLeader(b, caller, members, leader, &protocol.TurnRequest{Group: group, Reserve: &program.Reserve{
			Program: programID, Request: id, BudgetTokens: 5000, MaxTokens: 575, Session: "s",
		}})
		settle := &program.Settle{Program: programID, Request: id, UsedTokens: 200, Session: "s", Engine: "i-1"}
		go func() {
			reply := &protocol.TurnReply{}
			_ = caller.CallWithTimeout(context.Background(), time.Second, leader[group], protocol.KindTurn, &protocol.TurnRequest{Group: group, Settle: settle}, reply)
		}()
		time.Sleep(5 * time.Millisecond)
	}
}
