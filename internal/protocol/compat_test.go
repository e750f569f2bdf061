package protocol

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
)

// TestEarlierReleases checks the compatibility of the package's messages with earlier releases.
func TestEarlierReleases(t *testing.T) {
	compat.CheckTypes(t, map[string]any{
		"PeerBatch": &PeerBatch{}, "Hello": &Hello{},
		"LedgerRequest": &LedgerRequest{}, "LedgerReply": &LedgerReply{},
		"SyncRequest": &SyncRequest{}, "SyncReply": &SyncReply{},
		"ReleasedRequest": &EndedProgramsRequest{}, "ReleasedReply": &EndedProgramsReply{},
		"PermitRequest": &PermitRequest{}, "PermitReply": &PermitReply{},
		"SettingsRequest": &SettingsRequest{}, "SettingsReply": &SettingsReply{},
		"ReadRequest": &ReadRequest{}, "ReadReply": &ReadReply{},
		"FleetOrder": &FleetRequest{}, "FleetOrderReply": &FleetReply{},
		"FleetSync": &FleetSync{}, "FleetSyncReply": &FleetSyncReply{},
		"TurnRequest": &TurnRequest{}, "TurnReply": &TurnReply{},
		"CallRequest": &CallRequest{}, "Piece": &CallChunk{}, "Answer": &CallReply{}, "Cancel": &Cancel{},
		"FollowRequest": &FollowRequest{}, "FollowReply": &FollowReply{},
		"ProgramRequest": &ProgramRequest{}, "ProgramReply": &ProgramReply{},
	})
}

// TestFramesOfEarlierReleases checks that the encoding of frames and the numbers of message kinds
// do not change: a process of another release identifies a message by its number.
func TestFramesOfEarlierReleases(t *testing.T) {
	var raw []byte
	for _, kind := range []Kind{
		KindClosed, KindPeer, KindHello, KindLedger, KindSync, KindEndedPrograms, KindPermit, KindSettings, KindRead,
		KindFleetRequest, KindFleetSync, KindTurn, KindCall, KindCallChunk, KindCallReply, KindCancel, KindFollow, KindProgram,
		KindEnd, KindResponse,
	} {
		raw = AppendFrame(raw, Frame{Call: 300 + uint64(kind), Kind: kind, Last: kind%2 == 0, Body: []byte("body")})
	}
	for _, topic := range []ReadTopic{ReadSettings, ReadHistory, ReadStatus, ReadEngines, ReadPrograms, ReadProgram, ReadTree} {
		raw = append(raw, byte(topic))
	}
	compat.CheckBytes(t, "frames", raw)
}
