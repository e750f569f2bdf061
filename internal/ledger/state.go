package ledger

import (
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// contentRecordNumber is the record number under which the content of a turn is stored.
const contentRecordNumber = 1

// stateMachine is the replicated state of one ledger group.
type stateMachine struct {
	turns *program.TurnLedger
	// quotas holds the reservations under the limits of the tenants that belong to the group.
	quotas *quota.State
}

// newStateMachine returns the empty state of a group.
func newStateMachine(options Options) *stateMachine {
	turns := program.NewTurnLedger()
	turns.DisableBudget = options.DisableBudget
	return &stateMachine{turns: turns, quotas: quota.NewState(options.QuotaWindowMs)}
}

// TurnLedger returns the turn ledger, for inspection.
func (m *stateMachine) TurnLedger() *program.TurnLedger { return m.turns }

// Apply executes a committed command. It returns the reply and the records to store; a record
// without a value deletes the stored one.
func (m *stateMachine) Apply(_ uint64, data []byte) (any, []storage.Record) {
	var command program.TurnCommand
	if err := protocol.Decode(data, &command); err != nil {
		return program.TurnReply{Error: result.New(result.Internal, "decoding a log entry: %v", err)}, nil
	}
	if command.Quota != nil {
		m.quotas.Apply(*command.Quota)
		return program.TurnReply{}, nil
	}
	reply, effects := m.turns.Apply(command)
	var records []storage.Record
	if effects.WriteRequest != "" {
		content := effects.Content
		if content == nil {
			content = []byte{}
		}
		records = append(records, storage.Record{Program: effects.WriteRequest, Turn: contentRecordNumber, Value: content})
	}
	for _, request := range effects.DeleteRequests {
		records = append(records, storage.Record{Program: request, Turn: contentRecordNumber})
	}
	return reply, records
}

// groupSnapshot is the encoded form of a group's state.
type groupSnapshot struct {
	Turns  []byte `msgpack:"turns"`
	Quotas []byte `msgpack:"quotas"`
}

// Snapshot encodes the turns and the reservations. The contents of the turns are not included,
// since they are stored as records.
func (m *stateMachine) Snapshot() ([]byte, error) {
	turns, err := m.turns.Snapshot()
	if err != nil {
		return nil, err
	}
	quotas, err := m.quotas.Snapshot()
	if err != nil {
		return nil, err
	}
	return protocol.Encode(&groupSnapshot{Turns: turns, Quotas: quotas})
}

// Restore replaces the state by that of a snapshot. Empty data is the empty state.
func (m *stateMachine) Restore(data []byte) error {
	var encoded groupSnapshot
	if len(data) > 0 {
		if err := protocol.Decode(data, &encoded); err != nil {
			return err
		}
	}
	if encoded.Turns == nil {
		// Snapshots of releases without tenant limits encode the turns alone.
		encoded.Turns = data
	}
	if err := m.turns.Restore(encoded.Turns); err != nil {
		return err
	}
	return m.quotas.Restore(encoded.Quotas)
}
