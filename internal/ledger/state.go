package ledger

import (
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// contentRecord is the number under which a turn's content is stored.
const contentRecord = 1

// stateMachine is the replicated state of one ledger group.
type stateMachine struct {
	turns *program.Turns
}

func newStateMachine(disableBudget bool) *stateMachine {
	turns := program.NewTurns()
	turns.DisableBudget = disableBudget
	return &stateMachine{turns: turns}
}

// Turns returns the turns for reading.
func (m *stateMachine) Turns() *program.Turns { return m.turns }

// Apply carries out an entry.
func (m *stateMachine) Apply(_ uint64, data []byte) (any, []storage.Record) {
	var command program.TurnCommand
	if err := protocol.Decode(data, &command); err != nil {
		return program.TurnOutcome{Error: result.New(result.Internal, "undecodable entry: %v", err)}, nil
	}
	outcome, effects := m.turns.Apply(command)
	var records []storage.Record
	if effects.Write != "" {
		content := effects.Content
		if content == nil {
			content = []byte{}
		}
		records = append(records, storage.Record{Program: effects.Write, Turn: contentRecord, Value: content})
	}
	for _, request := range effects.Forget {
		records = append(records, storage.Record{Program: request, Turn: contentRecord})
	}
	return outcome, records
}

// Snapshot encodes the turns without their content, which is in the records.
func (m *stateMachine) Snapshot() ([]byte, error) { return m.turns.Snapshot() }

// Restore replaces the turns.
func (m *stateMachine) Restore(data []byte) error { return m.turns.Restore(data) }
