package control

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

const (
	termsPeerB = consensus.ReplicaID(1)
	termsPeerC = consensus.ReplicaID(2)
	// termsAnyRound confirms every read of a term.
	termsAnyRound = 1 << 40
)

// loneControl is a control process whose peers are played by the test, message by message.
type loneControl struct {
	t       *testing.T
	core    *Core
	nowMs   int64
	next    RequestID
	replies map[RequestID]any
}

func (l *loneControl) Send(string, protocol.Kind, any) {}

func (l *loneControl) Reply(id RequestID, reply any) {
	if _, twice := l.replies[id]; twice {
		l.t.Fatalf("request %d is answered twice", id)
	}
	l.replies[id] = reply
}

func newLoneControl(t *testing.T) *loneControl {
	store, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	configuration := consensus.Configuration{Replicas: []consensus.Replica{
		{ID: store.Replica(), Member: "a:1"}, {ID: termsPeerB, Member: "b:1"}, {ID: termsPeerC, Member: "c:1"},
	}}
	if err := store.SetBootstrap(configuration); err != nil {
		t.Fatal(err)
	}
	options := DefaultOptions("a:1", []Member{{Name: "a:1", Address: "a:1"}, {Name: "b:1", Address: "b:1"}, {Name: "c:1", Address: "c:1"}}, 0)
	options.Discovered = true
	options.MinVoters = 3
	options.Fleet = membership.FleetOptions{EngineTimeoutMs: engineSilentMs, GatewayTimeoutMs: gatewaySilentMs, GatewayRepollTimeoutMs: gatewayReturnMs, LedgerTimeoutMs: ledgerSilentMs, LedgerRetentionMs: ledgerForgottenMs, InitialPlacementDelayMs: formationMs}
	l := &loneControl{t: t, nowMs: 1000, replies: map[RequestID]any{}}
	l.core, err = NewCore(options, store, l, l.nowMs)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (l *loneControl) node() *consensus.Node { return l.core.Node(0) }

func (l *loneControl) peer(from consensus.ReplicaID, message consensus.Message) {
	message.From = from
	message.To = l.node().ID()
	name := map[consensus.ReplicaID]string{termsPeerB: "b:1", termsPeerC: "c:1"}[from]
	l.core.HandlePeerBatch(protocol.PeerBatch{From: name, Messages: []protocol.PeerMessage{{Message: message}}}, l.nowMs)
}

func (l *loneControl) tick() {
	l.nowMs += l.core.options.TickMs
	l.core.Tick(l.nowMs)
	flush(l.t, l.core)
}

// lead hands the lead to the process, and loseLead takes it away: neither needs a tick.
func (l *loneControl) lead() {
	l.peer(termsPeerB, consensus.Message{Kind: consensus.MessageTimeoutNow, Term: l.node().Term()})
	l.peer(termsPeerC, consensus.Message{Kind: consensus.MessageVoteResponse, Term: l.node().Term()})
	if !l.core.Leads(0) {
		l.t.Fatal("the process does not lead")
	}
}

func (l *loneControl) loseLead() {
	l.peer(termsPeerB, consensus.Message{Kind: consensus.MessageHeartbeat, Term: l.node().Term() + 1})
}

// overwrite has peer B, which leads, put an entry of its own after an index.
func (l *loneControl) overwrite(after uint64) {
	term := l.node().Term()
	l.peer(termsPeerB, consensus.Message{
		Kind: consensus.MessageAppend, Term: term, Index: after, LogTerm: l.node().TermAt(after),
		Entries: []consensus.Entry{{Index: after + 1, Term: term, Kind: consensus.EntryBarrier}},
	})
}

// confirm has peer B hold the whole log and answer a heartbeat of the latest round.
func (l *loneControl) confirm() {
	flush(l.t, l.core)
	l.peer(termsPeerB, consensus.Message{Kind: consensus.MessageAppendResponse, Term: l.node().Term(), Index: l.node().LastIndex()})
	flush(l.t, l.core)
	l.peer(termsPeerB, consensus.Message{Kind: consensus.MessageHeartbeatResponse, Term: l.node().Term(), Context: termsAnyRound})
	flush(l.t, l.core)
}

// ask sends a request and returns its number.
func (l *loneControl) ask(request any) RequestID {
	l.next++
	l.core.HandleRequest(l.next, request, l.nowMs)
	return l.next
}

func (l *loneControl) fleetReply(id RequestID) *protocol.FleetSyncReply {
	reply, _ := l.replies[id].(*protocol.FleetSyncReply)
	return reply
}

// refused reports whether a heartbeat was answered that this process does not lead.
func (l *loneControl) refused(id RequestID) bool {
	reply := l.fleetReply(id)
	return reply != nil && reply.Error != nil && reply.Error.Code == result.NotLeader
}

func proofOf(gateway string, holdMs int64) *protocol.FleetSync {
	return &protocol.FleetSync{Gateway: &membership.Gateway{Name: gateway, IsReady: true}, Prove: true, HoldMs: holdMs}
}

// TestHeartbeatsOverTerms answers a leader that was frozen, lost the lead and was handed it
// back before its next tick: what its gateways ask for must not wait for what nobody confirms.
func TestHeartbeatsOverTerms(t *testing.T) {
	leading := func() *loneControl {
		l := newLoneControl(t)
		l.lead()
		l.confirm()
		l.tick()
		l.confirm()
		return l
	}
	Convey("heartbeats that ask for a proof end with the term, and those of the next are proved", t, func() {
		l := leading()
		first := l.ask(proofOf("g1", 0))
		behind := l.ask(proofOf("g2", 0))
		flush(t, l.core)
		So(l.fleetReply(first), ShouldBeNil)
		l.loseLead()
		l.lead()
		flush(t, l.core)
		So(l.refused(first), ShouldBeTrue)
		So(l.refused(behind), ShouldBeTrue)
		again := l.ask(proofOf("g1", 0))
		l.confirm()
		So(l.fleetReply(again), ShouldNotBeNil)
		So(l.fleetReply(again).Error, ShouldBeNil)
		So(l.fleetReply(again).Confirmed, ShouldBeTrue)
	})
	Convey("held heartbeats end with the term", t, func() {
		l := leading()
		held := l.ask(proofOf("g1", 700))
		l.confirm()
		plain := l.ask(&protocol.FleetSync{Gateway: &membership.Gateway{Name: "g2", IsReady: true}, Version: l.core.system.fleet.Version(), HoldMs: 700})
		flush(t, l.core)
		So(l.fleetReply(held), ShouldBeNil)
		So(l.fleetReply(plain), ShouldBeNil)
		l.loseLead()
		So(l.refused(held), ShouldBeTrue)
		So(l.refused(plain), ShouldBeTrue)
	})
	Convey("what the leader knew of the fleet, and what it permitted, is of one term", t, func() {
		l := leading()
		tracker, permits := l.core.fleetTracker, l.core.permits
		l.nowMs += 4000
		l.loseLead()
		l.lead()
		So(l.core.fleetTracker, ShouldNotBeNil)
		So(l.core.fleetTracker, ShouldNotEqual, tracker)
		So(l.core.permits, ShouldNotEqual, permits)
		So(l.core.leadingSinceMs, ShouldEqual, l.nowMs)
	})
	Convey("a heartbeat that is confirmed after the term is not held by nobody", t, func() {
		l := leading()
		asked := l.ask(proofOf("g1", 700))
		flush(t, l.core)
		l.peer(termsPeerB, consensus.Message{Kind: consensus.MessageHeartbeatResponse, Term: l.node().Term(), Context: termsAnyRound})
		l.loseLead()
		flush(t, l.core)
		So(l.refused(asked), ShouldBeTrue)
	})
}

// TestPlansOverTerms holds that a plan whose entry another leader overwrote does not keep the
// leader from planning.
func TestPlansOverTerms(t *testing.T) {
	l := newLoneControl(t)
	l.lead()
	l.confirm()
	l.tick()
	// The gateways of an earlier leader that this one never hears are to be removed.
	for number := range 3 {
		l.ask(&protocol.FleetSync{Gateway: &membership.Gateway{Name: fmt.Sprintf("g%d", number), IsReady: true}})
	}
	l.confirm()
	before := l.node().LastIndex()
	gateway := func(name string) {
		l.ask(&protocol.FleetSync{Gateway: &membership.Gateway{Name: name, IsReady: true}})
	}
	for quiet := int64(0); quiet < 2*gatewaySilentMs && !l.core.fleetPlanning; quiet += l.core.options.TickMs {
		if l.node().LastIndex() == before {
			// Entries of others stand before the plan's, so that the log comes to its place
			// again only with what is proposed in the next term.
			gateway("g3")
			gateway("g4")
		}
		l.tick()
		l.peer(termsPeerB, consensus.Message{Kind: consensus.MessageHeartbeatResponse, Term: l.node().Term()})
	}
	if !l.core.fleetPlanning || l.node().LastIndex() == before {
		t.Fatal("no plan is under way")
	}
	l.loseLead()
	l.overwrite(l.node().Commit())
	l.lead()
	gateway("g5")
	l.confirm()
	for quiet := int64(0); quiet < 2*gatewaySilentMs; quiet += l.core.options.TickMs {
		l.tick()
		l.confirm()
	}
	if left := l.core.system.fleet.Gateways(); len(left) != 0 {
		t.Fatalf("%d gateways that fell silent are still there", len(left))
	}
}
