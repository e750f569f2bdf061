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
	peerB = consensus.ReplicaID(1)
	peerC = consensus.ReplicaID(2)
	// anyReadRound is the number of a round that confirms every read of a term.
	anyReadRound = 1 << 40
)

// scriptedControl is a control process whose peers' messages are scripted by the test.
type scriptedControl struct {
	t           *testing.T
	core        *Core
	nowMs       int64
	lastRequest RequestID
	replies     map[RequestID]any
}

func (s *scriptedControl) Send(string, protocol.Kind, any) {}

func (s *scriptedControl) Reply(id RequestID, reply any) {
	if _, answered := s.replies[id]; answered {
		s.t.Fatalf("request %d was answered twice", id)
	}
	s.replies[id] = reply
}

func newScriptedControl(t *testing.T) *scriptedControl {
	store, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	configuration := consensus.Configuration{Replicas: []consensus.Replica{
		{ID: store.Replica(), Member: "a:1"}, {ID: peerB, Member: "b:1"}, {ID: peerC, Member: "c:1"},
	}}
	if err := store.SetBootstrap(configuration); err != nil {
		t.Fatal(err)
	}
	options := DefaultOptions("a:1", []Member{{Name: "a:1", Address: "a:1"}, {Name: "b:1", Address: "b:1"}, {Name: "c:1", Address: "c:1"}}, 0)
	options.Discovered = true
	options.MinVoters = 3
	options.Fleet = membership.FleetOptions{EngineTimeoutMs: engineTimeoutMs, GatewayTimeoutMs: gatewayTimeoutMs, GatewayRepollTimeoutMs: gatewayRepollTimeoutMs, LedgerTimeoutMs: ledgerTimeoutMs, LedgerRetentionMs: ledgerRetentionMs, InitialPlacementDelayMs: initialPlacementDelayMs}
	s := &scriptedControl{t: t, nowMs: 1000, replies: map[RequestID]any{}}
	s.core, err = NewCore(options, store, s, s.nowMs)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *scriptedControl) node() *consensus.Node { return s.core.Node(0) }

func (s *scriptedControl) sendFromPeer(from consensus.ReplicaID, message consensus.Message) {
	message.From = from
	message.To = s.node().ID()
	name := map[consensus.ReplicaID]string{peerB: "b:1", peerC: "c:1"}[from]
	s.core.HandlePeerBatch(protocol.PeerBatch{From: name, Messages: []protocol.PeerMessage{{Message: message}}}, s.nowMs)
}

func (s *scriptedControl) tick() {
	s.nowMs += s.core.options.TickMs
	s.core.Tick(s.nowMs)
	flush(s.t, s.core)
}

// becomeLeader has peers B and C transfer the leadership to the process. It needs no tick, and
// neither does loseLeadership, which has peer B announce a later term.
func (s *scriptedControl) becomeLeader() {
	s.sendFromPeer(peerB, consensus.Message{Kind: consensus.MessageTimeoutNow, Term: s.node().Term()})
	s.sendFromPeer(peerC, consensus.Message{Kind: consensus.MessageVoteResponse, Term: s.node().Term()})
	if !s.core.IsLeader(0) {
		s.t.Fatal("the process does not lead the settings group")
	}
}

func (s *scriptedControl) loseLeadership() {
	s.sendFromPeer(peerB, consensus.Message{Kind: consensus.MessageHeartbeat, Term: s.node().Term() + 1})
}

// overwriteLog has peer B, which leads, replace the log after an index by an entry of its own.
func (s *scriptedControl) overwriteLog(after uint64) {
	term := s.node().Term()
	s.sendFromPeer(peerB, consensus.Message{
		Kind: consensus.MessageAppend, Term: term, Index: after, LogTerm: s.node().TermAt(after),
		Entries: []consensus.Entry{{Index: after + 1, Term: term, Kind: consensus.EntryBarrier}},
	})
}

// confirm has peer B acknowledge the whole log and answer a heartbeat of the latest round.
func (s *scriptedControl) confirm() {
	flush(s.t, s.core)
	s.sendFromPeer(peerB, consensus.Message{Kind: consensus.MessageAppendResponse, Term: s.node().Term(), Index: s.node().LastIndex()})
	flush(s.t, s.core)
	s.sendFromPeer(peerB, consensus.Message{Kind: consensus.MessageHeartbeatResponse, Term: s.node().Term(), Context: anyReadRound})
	flush(s.t, s.core)
}

// ask sends a request and returns its ID.
func (s *scriptedControl) ask(request any) RequestID {
	s.lastRequest++
	s.core.HandleRequest(s.lastRequest, request, s.nowMs)
	return s.lastRequest
}

func (s *scriptedControl) fleetSyncReply(id RequestID) *protocol.FleetSyncReply {
	reply, _ := s.replies[id].(*protocol.FleetSyncReply)
	return reply
}

// isRefused reports whether a heartbeat was refused because this process does not lead.
func (s *scriptedControl) isRefused(id RequestID) bool {
	reply := s.fleetSyncReply(id)
	return reply != nil && reply.Error != nil && reply.Error.Code == result.NotLeader
}

func confirmationRequest(gateway string, holdMs int64) *protocol.FleetSync {
	return &protocol.FleetSync{Gateway: &membership.Gateway{Name: gateway, IsReady: true}, ConfirmLeadership: true, LongPollMs: holdMs}
}

// TestHeartbeatsOverTerms checks a leader that was frozen, lost the leadership and regained it
// before its next tick: heartbeats of its gateways must not wait for a confirmation that belongs
// to the old term and never comes.
func TestHeartbeatsOverTerms(t *testing.T) {
	newLeader := func() *scriptedControl {
		s := newScriptedControl(t)
		s.becomeLeader()
		s.confirm()
		s.tick()
		s.confirm()
		return s
	}
	Convey("heartbeats that request a confirmation are refused when the term ends, and those of the next term are confirmed", t, func() {
		s := newLeader()
		first := s.ask(confirmationRequest("g1", 0))
		second := s.ask(confirmationRequest("g2", 0))
		flush(t, s.core)
		So(s.fleetSyncReply(first), ShouldBeNil)
		s.loseLeadership()
		s.becomeLeader()
		flush(t, s.core)
		So(s.isRefused(first), ShouldBeTrue)
		So(s.isRefused(second), ShouldBeTrue)
		afterTerm := s.ask(confirmationRequest("g1", 0))
		s.confirm()
		So(s.fleetSyncReply(afterTerm), ShouldNotBeNil)
		So(s.fleetSyncReply(afterTerm).Error, ShouldBeNil)
		So(s.fleetSyncReply(afterTerm).IsConfirmed, ShouldBeTrue)
	})
	Convey("held heartbeats are refused when the term ends", t, func() {
		s := newLeader()
		held := s.ask(confirmationRequest("g1", 700))
		s.confirm()
		unconfirmed := s.ask(&protocol.FleetSync{Gateway: &membership.Gateway{Name: "g2", IsReady: true}, FleetVersion: s.core.system.fleet.Version(), LongPollMs: 700})
		flush(t, s.core)
		So(s.fleetSyncReply(held), ShouldBeNil)
		So(s.fleetSyncReply(unconfirmed), ShouldBeNil)
		s.loseLeadership()
		So(s.isRefused(held), ShouldBeTrue)
		So(s.isRefused(unconfirmed), ShouldBeTrue)
	})
	Convey("the leader's fleet tracker and its permits belong to one term", t, func() {
		s := newLeader()
		tracker, permits := s.core.fleetTracker, s.core.permits
		s.nowMs += 4000
		s.loseLeadership()
		s.becomeLeader()
		So(s.core.fleetTracker, ShouldNotBeNil)
		So(s.core.fleetTracker, ShouldNotEqual, tracker)
		So(s.core.permits, ShouldNotEqual, permits)
		So(s.core.leadingSinceMs, ShouldEqual, s.nowMs)
	})
	Convey("a heartbeat whose confirmation arrives as the term ends is refused and not left waiting", t, func() {
		s := newLeader()
		pending := s.ask(confirmationRequest("g1", 700))
		flush(t, s.core)
		s.sendFromPeer(peerB, consensus.Message{Kind: consensus.MessageHeartbeatResponse, Term: s.node().Term(), Context: anyReadRound})
		s.loseLeadership()
		flush(t, s.core)
		So(s.isRefused(pending), ShouldBeTrue)
	})
}

// TestPlansOverTerms checks that a leader plans again after another leader has overwritten the log
// entry of its pending plan.
func TestPlansOverTerms(t *testing.T) {
	s := newScriptedControl(t)
	s.becomeLeader()
	s.confirm()
	s.tick()
	// These gateways fall silent, so the leader plans to remove them.
	for number := range 3 {
		s.ask(&protocol.FleetSync{Gateway: &membership.Gateway{Name: fmt.Sprintf("g%d", number), IsReady: true}})
	}
	s.confirm()
	before := s.node().LastIndex()
	sendHeartbeat := func(name string) {
		s.ask(&protocol.FleetSync{Gateway: &membership.Gateway{Name: name, IsReady: true}})
	}
	for elapsedMs := int64(0); elapsedMs < 2*gatewayTimeoutMs && !s.core.fleetUpdatePending; elapsedMs += s.core.options.TickMs {
		if s.node().LastIndex() == before {
			// Other entries precede the entry of the plan, so that in the next term the log
			// reaches its index again only through new proposals.
			sendHeartbeat("g3")
			sendHeartbeat("g4")
		}
		s.tick()
		s.sendFromPeer(peerB, consensus.Message{Kind: consensus.MessageHeartbeatResponse, Term: s.node().Term()})
	}
	if !s.core.fleetUpdatePending || s.node().LastIndex() == before {
		t.Fatal("no plan is pending")
	}
	s.loseLeadership()
	s.overwriteLog(s.node().CommitIndex())
	s.becomeLeader()
	sendHeartbeat("g5")
	s.confirm()
	for elapsedMs := int64(0); elapsedMs < 2*gatewayTimeoutMs; elapsedMs += s.core.options.TickMs {
		s.tick()
		s.confirm()
	}
	if remaining := s.core.system.fleet.Gateways(); len(remaining) != 0 {
		t.Fatalf("%d silent gateways are still in the fleet", len(remaining))
	}
}
