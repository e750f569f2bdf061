package protocol

import (
	"bytes"
	"reflect"
	"testing"
)

func messages() []any {
	return []any{
		&PeerBatch{}, &Hello{}, &LedgerRequest{}, &LedgerReply{}, &SyncRequest{}, &SyncReply{}, &EndedProgramsRequest{}, &EndedProgramsReply{},
		&PermitRequest{}, &PermitReply{}, &SettingsRequest{}, &SettingsReply{}, &ReadRequest{}, &ReadReply{}, &CallRequest{},
		&CallChunk{}, &CallReply{}, &Cancel{}, &FollowRequest{}, &FollowReply{}, &ProgramRequest{}, &ProgramReply{},
		&FleetRequest{}, &FleetReply{}, &FleetSync{}, &FleetSyncReply{}, &TurnRequest{}, &TurnReply{},
	}
}

// FuzzDecode feeds the decoder of every message whatever comes: it must not panic,
// and what it takes must survive a second trip.
func FuzzDecode(f *testing.F) {
	for _, message := range messages() {
		raw, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, message := range messages() {
			if Decode(raw, message) != nil {
				continue
			}
			again, err := Encode(message)
			if err != nil {
				t.Fatalf("%T was decoded and can't be encoded: %v", message, err)
			}
			second := reflect.New(reflect.TypeOf(message).Elem()).Interface()
			if err := Decode(again, second); err != nil {
				t.Fatalf("%T does not survive a second trip: %v", message, err)
			}
		}
	})
}

// FuzzFrame reads frames from arbitrary bytes and checks that frames come back as
// they were written.
func FuzzFrame(f *testing.F) {
	f.Add(AppendFrame(nil, Frame{Call: 7, Kind: KindCall, Last: true, Body: []byte("x")}))
	f.Add([]byte{0, 0, 0, 200, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := ReadFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		again, err := ReadFrame(bytes.NewReader(AppendFrame(nil, frame)))
		if err != nil || again.Call != frame.Call || again.Kind != frame.Kind || again.Last != frame.Last || !bytes.Equal(again.Body, frame.Body) {
			t.Fatalf("%+v came back as %+v, %v", frame, again, err)
		}
	})
}
