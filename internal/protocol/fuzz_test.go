package protocol

import (
	"bytes"
	"reflect"
	"testing"
)

func emptyMessages() []any {
	return []any{
		&PeerBatch{}, &Hello{}, &LedgerRequest{}, &LedgerReply{}, &SyncRequest{}, &SyncReply{}, &EndedProgramsRequest{}, &EndedProgramsReply{},
		&PermitRequest{}, &PermitReply{}, &SettingsRequest{}, &SettingsReply{}, &ReadRequest{}, &ReadReply{}, &CallRequest{},
		&CallChunk{}, &CallReply{}, &Cancel{}, &FollowRequest{}, &FollowReply{}, &ProgramRequest{}, &ProgramReply{},
		&FleetRequest{}, &FleetReply{}, &FleetSync{}, &FleetSyncReply{}, &TurnRequest{}, &TurnReply{},
	}
}

// FuzzDecode decodes arbitrary bytes as every message type: decoding must not panic, and a
// decoded message must survive another round trip.
func FuzzDecode(f *testing.F) {
	for _, message := range emptyMessages() {
		raw, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, message := range emptyMessages() {
			if Decode(raw, message) != nil {
				continue
			}
			reencoded, err := Encode(message)
			if err != nil {
				t.Fatalf("%T was decoded but can't be encoded: %v", message, err)
			}
			second := reflect.New(reflect.TypeOf(message).Elem()).Interface()
			if err := Decode(reencoded, second); err != nil {
				t.Fatalf("%T does not survive a second round trip: %v", message, err)
			}
		}
	})
}

// FuzzFrame reads frames from arbitrary bytes and checks that a frame that is written and read
// again is unchanged.
func FuzzFrame(f *testing.F) {
	f.Add(AppendFrame(nil, Frame{Call: 7, Kind: KindCall, Last: true, Body: []byte("x")}))
	f.Add([]byte{0, 0, 0, 200, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := ReadFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		reencoded, err := ReadFrame(bytes.NewReader(AppendFrame(nil, frame)))
		if err != nil || reencoded.Call != frame.Call || reencoded.Kind != frame.Kind || reencoded.Last != frame.Last || !bytes.Equal(reencoded.Body, frame.Body) {
			t.Fatalf("%+v was read back as %+v, error %v", frame, reencoded, err)
		}
	})
}
