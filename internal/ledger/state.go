package ledger

import (
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// contentRecord is the number under which a turn's content is stored.
const contentRecord = 1

// stateMachine is the replicated state of one ledger group.
type stateMachine struct {
	turns *program.TurnLedger
	// quotas are the reservations of the limits of the tenants that belong to the group.
	quotas *quota.State
}

func newStateMachine(options Options) *stateMachine {
	turns := program.NewTurnLedger()
	turns.DisableBudget = options.DisableBudget
	return &stateMachine{turns: turns, quotas: quota.NewState(options.QuotaWindowMs)}
}

// TurnLedger returns the turns for reading.
func (m *stateMachine) TurnLedger() *program.TurnLedger { return m.turns }

// Apply carries out an entry.
func (m *stateMachine) Apply(_ uint64, data []byte) (any, []storage.Record) {
	var command program.TurnCommand
	if err := protocol.Decode(data, &command); err != nil {
		return program.TurnReply{Error: result.New(result.Internal, "undecodable entry: %v", err)}, nil
	}
	if command.Quota != nil {
		m.quotas.Apply(*command.Quota)
		return program.TurnReply{}, nil
	}
	outcome, effects := m.turns.Apply(command)
	var records []storage.Record
	if effects.WriteRequest != "" {
		content := effects.Content
		if content == nil {
			content = []byte{}
		}
		records = append(records, storage.Record{Program: effects.WriteRequest, Turn: contentRecord, Value: content})
	}
	for _, request := range effects.DeleteRequests {
		records = append(records, storage.Record{Program: request, Turn: contentRecord})
	}
	return outcome, records
}

// groupSnapshot is the encoded form of a group's state.
type groupSnapshot struct {
	Turns  []byte `msgpack:"turns"`
	Quotas []byte `msgpack:"quotas"`
}

// Snapshot encodes the turns without their content, which is in the records, and the
// reservations.
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

// Restore replaces the state.
func (m *stateMachine) Restore(data []byte) error {
	var encoded groupSnapshot
	if len(data) > 0 {
		if err := protocol.Decode(data, &encoded); err != nil {
			return err
		}
	}
	if encoded.Turns == nil {
		// A snapshot from before there were limits is that of the turns alone.
		encoded.Turns = data
	}
	if err := m.turns.Restore(encoded.Turns); err != nil {
		return err
	}
	return m.quotas.Restore(encoded.Quotas)
}
