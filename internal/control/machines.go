package control

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// systemCommand is a log entry of the settings group.
type systemCommand struct {
	Change *settings.Change        `msgpack:"c,omitempty"`
	Update *membership.Update      `msgpack:"u,omitempty"`
	Fleet  *membership.FleetUpdate `msgpack:"f,omitempty"`
}

// systemStateMachine is the state machine of the settings group: the settings tree, the
// directory of schedulers and their engines, and the fleet of gateways, engines and ledger
// hosts.
type systemStateMachine struct {
	tree      *settings.Tree
	directory *membership.Directory
	fleet     *membership.Fleet
}

func newSystemStateMachine(options Options) *systemStateMachine {
	tree := settings.NewTree()
	tree.DisableVersionCheck = options.DisableVersionCheck
	return &systemStateMachine{tree: tree, directory: membership.NewDirectory(), fleet: membership.NewFleet()}
}

type systemSnapshot struct {
	Tree      []byte `msgpack:"t"`
	Directory []byte `msgpack:"d"`
	Fleet     []byte `msgpack:"f,omitempty"`
}

// Apply applies a log entry of the settings group.
func (m *systemStateMachine) Apply(_ uint64, data []byte) (any, []storage.Record) {
	var command systemCommand
	if err := protocol.Decode(data, &command); err != nil {
		return settings.Reply{Error: result.New(result.Internal, "decoding a log entry: %v", err)}, nil
	}
	if command.Update != nil {
		m.directory.Apply(*command.Update)
		return nil, nil
	}
	if command.Fleet != nil {
		m.fleet.Apply(*command.Fleet)
		return nil, nil
	}
	if command.Change != nil {
		return m.tree.Apply(*command.Change), nil
	}
	return nil, nil
}

// Snapshot encodes the settings tree, the directory and the fleet.
func (m *systemStateMachine) Snapshot() ([]byte, error) {
	tree, err := m.tree.Snapshot()
	if err != nil {
		return nil, err
	}
	directory, err := m.directory.Snapshot()
	if err != nil {
		return nil, err
	}
	fleet, err := m.fleet.Snapshot()
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(&systemSnapshot{Tree: tree, Directory: directory, Fleet: fleet})
}

// Restore replaces the settings tree, the directory and the fleet by those of a snapshot.
func (m *systemStateMachine) Restore(data []byte) error {
	var snapshot systemSnapshot
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &snapshot); err != nil {
			return err
		}
	}
	if err := m.tree.Restore(snapshot.Tree); err != nil {
		return err
	}
	if err := m.directory.Restore(snapshot.Directory); err != nil {
		return err
	}
	return m.fleet.Restore(snapshot.Fleet)
}

// ledgerStateMachine is the state machine of one ledger group.
type ledgerStateMachine struct {
	ledger *program.Ledger
}

func newLedgerStateMachine(options Options) *ledgerStateMachine {
	ledger := program.NewLedger()
	ledger.DisableFencing = options.DisableFencing
	ledger.DisableBudget = options.DisableBudget
	ledger.DisableAtMostOnce = options.DisableAtMostOnce
	ledger.DisableTurnOrder = options.DisableTurnOrder
	return &ledgerStateMachine{ledger: ledger}
}

// Apply applies a log entry of a ledger group.
func (m *ledgerStateMachine) Apply(index uint64, data []byte) (any, []storage.Record) {
	var command program.Command
	if err := protocol.Decode(data, &command); err != nil {
		return program.Reply{Error: result.New(result.Internal, "decoding a log entry: %v", err)}, nil
	}
	reply, effects := m.ledger.Apply(index, command)
	return reply, recordsOf(effects)
}

func recordsOf(effects program.Effects) []storage.Record {
	var records []storage.Record
	if effects.Write != nil {
		value, err := protocol.Encode(effects.Write)
		if err == nil {
			records = append(records, storage.Record{Program: effects.Program, Turn: effects.Write.Turn, Value: value})
		}
	}
	for _, deleted := range effects.DeletePrograms {
		for turn := uint64(1); turn <= deleted.LastTurn; turn++ {
			records = append(records, storage.Record{Program: deleted.Program, Turn: turn})
		}
	}
	return records
}

// Snapshot encodes the program headers of the ledger.
func (m *ledgerStateMachine) Snapshot() ([]byte, error) { return m.ledger.Snapshot() }

// Restore replaces the program headers of the ledger by those of a snapshot.
func (m *ledgerStateMachine) Restore(data []byte) error { return m.ledger.Restore(data) }
