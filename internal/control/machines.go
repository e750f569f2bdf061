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

// systemCommand is an entry of the settings group.
type systemCommand struct {
	Change *settings.Change        `msgpack:"c,omitempty"`
	Update *membership.Update      `msgpack:"u,omitempty"`
	Fleet  *membership.FleetUpdate `msgpack:"f,omitempty"`
}

// systemMachine is the state of the settings group: the tree, the directory of
// schedulers and their engines, and the fleet of gateways and ledgers.
type systemMachine struct {
	tree      *settings.Tree
	directory *membership.Directory
	fleet     *membership.Fleet
}

func newSystemMachine(options Options) *systemMachine {
	tree := settings.NewTree()
	tree.DisableVersionCheck = options.DisableVersionCheck
	return &systemMachine{tree: tree, directory: membership.NewDirectory(), fleet: membership.NewFleet()}
}

type systemSnapshot struct {
	Tree      []byte `msgpack:"t"`
	Directory []byte `msgpack:"d"`
	Fleet     []byte `msgpack:"f,omitempty"`
}

// Apply carries out an entry of the settings group.
func (m *systemMachine) Apply(_ uint64, data []byte) (any, []storage.Record) {
	var command systemCommand
	if err := protocol.Decode(data, &command); err != nil {
		return settings.Reply{Error: result.New(result.Internal, "undecodable entry: %v", err)}, nil
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

// Snapshot encodes tree, directory and fleet.
func (m *systemMachine) Snapshot() ([]byte, error) {
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

// Restore replaces tree, directory and fleet.
func (m *systemMachine) Restore(data []byte) error {
	var encoded systemSnapshot
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &encoded); err != nil {
			return err
		}
	}
	if err := m.tree.Restore(encoded.Tree); err != nil {
		return err
	}
	if err := m.directory.Restore(encoded.Directory); err != nil {
		return err
	}
	return m.fleet.Restore(encoded.Fleet)
}

// ledgerMachine is the state of one ledger group.
type ledgerMachine struct {
	ledger *program.Ledger
}

func newLedgerMachine(options Options) *ledgerMachine {
	ledger := program.NewLedger()
	ledger.DisableFence = options.DisableFence
	ledger.DisableBudget = options.DisableBudget
	ledger.DisableAtMostOnce = options.DisableAtMostOnce
	ledger.DisableTurnOrder = options.DisableTurnOrder
	return &ledgerMachine{ledger: ledger}
}

// Apply carries out an entry of a ledger group.
func (m *ledgerMachine) Apply(index uint64, data []byte) (any, []storage.Record) {
	var command program.Command
	if err := protocol.Decode(data, &command); err != nil {
		return program.Reply{Error: result.New(result.Internal, "undecodable entry: %v", err)}, nil
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
	for _, forgotten := range effects.DeletePrograms {
		for turn := uint64(1); turn <= forgotten.LastTurn; turn++ {
			records = append(records, storage.Record{Program: forgotten.Program, Turn: turn})
		}
	}
	return records
}

// Snapshot encodes the ledger's headers.
func (m *ledgerMachine) Snapshot() ([]byte, error) { return m.ledger.Snapshot() }

// Restore replaces the ledger's headers.
func (m *ledgerMachine) Restore(data []byte) error { return m.ledger.Restore(data) }
