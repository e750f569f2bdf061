package simulation

import (
	"cmp"
	"errors"
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// errCrash is the error of a write during which the process dies.
var errCrash = errors.New("simulation: process crashed during a write")

// disk is the durable state of a control process. A write is atomic, as with the two
// meta pages of bbolt: a torn write has no effect.
type disk struct {
	replica   consensus.ReplicaID
	bootstrap *consensus.Configuration
	groups    map[storage.GroupID]*diskGroup
	// writesUntilCrash counts down to the write during which the process dies, zero for
	// none; crashPersistsWrite reports whether that write still reaches the disk.
	writesUntilCrash   int
	crashPersistsWrite bool
	// delaysSync is set if the sync mechanism is turned off; unsynced then holds the
	// acknowledged writes that a crash loses.
	delaysSync bool
	unsynced   [][]storage.GroupWrite
	writes     int64
}

type diskGroup struct {
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
	records   map[string]map[uint64][]byte
	// staged holds the records of a snapshot that is being received.
	staged map[string]map[uint64][]byte
}

func newDisk(replica consensus.ReplicaID) *disk {
	return &disk{replica: replica, groups: map[storage.GroupID]*diskGroup{}}
}

// Replica returns the replica ID of the disk; a new disk has a new ID.
func (d *disk) Replica() consensus.ReplicaID { return d.replica }

// Bootstrap returns the initial configuration, and false if the disk has none.
func (d *disk) Bootstrap() (consensus.Configuration, bool, error) {
	if d.bootstrap == nil {
		return consensus.Configuration{}, false, nil
	}
	return *d.bootstrap, true, nil
}

// SetBootstrap stores the initial configuration.
func (d *disk) SetBootstrap(configuration consensus.Configuration) error {
	d.bootstrap = &configuration
	return nil
}

// Write applies the writes, or returns errCrash if the process is to die in this call.
func (d *disk) Write(writes []storage.GroupWrite) error {
	if len(writes) == 0 {
		return nil
	}
	d.writes++
	if d.writesUntilCrash > 0 {
		d.writesUntilCrash--
		if d.writesUntilCrash == 0 {
			if d.crashPersistsWrite {
				d.apply(writes)
			}
			return errCrash
		}
	}
	if d.delaysSync {
		d.unsynced = append(d.unsynced, writes)
		if len(d.unsynced) > 4 {
			d.apply(d.unsynced[0])
			d.unsynced = d.unsynced[1:]
		}
		return nil
	}
	d.apply(writes)
	return nil
}

func (d *disk) apply(writes []storage.GroupWrite) {
	for position := range writes {
		d.group(writes[position].Group).write(&writes[position])
	}
}

func (d *disk) group(id storage.GroupID) *diskGroup {
	group, ok := d.groups[id]
	if !ok {
		group = &diskGroup{records: map[string]map[uint64][]byte{}}
		d.groups[id] = group
	}
	return group
}

func (g *diskGroup) write(write *storage.GroupWrite) {
	if write.Snapshot != nil {
		g.snapshot = *write.Snapshot
		g.deleteEntriesThrough(write.Snapshot.Index)
	}
	if len(write.Entries) > 0 {
		first := write.Entries[0].Index
		g.entries = slices.DeleteFunc(slices.Clone(g.entries), func(e consensus.Entry) bool { return e.Index >= first })
		g.entries = append(g.entries, write.Entries...)
	}
	if write.HardState != nil {
		g.hardState = *write.HardState
	}
	if write.ResetStaged {
		g.staged = nil
	}
	if g.staged == nil {
		g.staged = map[string]map[uint64][]byte{}
	}
	putRecords(g.staged, write.Staged)
	if write.PromoteStaged {
		g.records, g.staged = g.staged, nil
	}
	putRecords(g.records, write.Records)
}

func putRecords(into map[string]map[uint64][]byte, records []storage.Record) {
	for _, record := range records {
		if record.Value == nil {
			delete(into[record.Program], record.Turn)
			continue
		}
		if into[record.Program] == nil {
			into[record.Program] = map[uint64][]byte{}
		}
		into[record.Program][record.Turn] = record.Value
	}
}

func (g *diskGroup) deleteEntriesThrough(index uint64) {
	g.entries = slices.DeleteFunc(slices.Clone(g.entries), func(e consensus.Entry) bool { return e.Index <= index })
}

// Load returns the persisted consensus state of a group.
func (d *disk) Load(id storage.GroupID) (consensus.PersistedState, error) {
	group, ok := d.groups[id]
	if !ok {
		return consensus.PersistedState{}, nil
	}
	return consensus.PersistedState{HardState: group.hardState, Snapshot: group.snapshot, Entries: slices.Clone(group.entries)}, nil
}

// Records returns the turn records of a program after the given turn, in turn order.
func (d *disk) Records(id storage.GroupID, program string, after uint64) ([]storage.Record, error) {
	var records []storage.Record
	for _, write := range d.unsynced {
		for _, part := range write {
			if part.Group != id {
				continue
			}
			for _, record := range part.Records {
				if record.Program == program && record.Turn > after {
					records = append(records, record)
				}
			}
		}
	}
	for turn, value := range d.group(id).records[program] {
		if turn > after {
			records = append(records, storage.Record{Program: program, Turn: turn, Value: value})
		}
	}
	slices.SortFunc(records, func(a, b storage.Record) int { return int(int64(a.Turn) - int64(b.Turn)) })
	return records, nil
}

// RecordsAfter returns the records of a group that follow a key, up to maxBytes of values
// but at least one record; more reports whether further records follow.
func (d *disk) RecordsAfter(id storage.GroupID, after storage.RecordKey, maxBytes int) (page []storage.Record, more bool, err error) {
	var records []storage.Record
	for program, turns := range d.group(id).records {
		for turn, value := range turns {
			if program > after.Program || (program == after.Program && turn > after.Turn) {
				records = append(records, storage.Record{Program: program, Turn: turn, Value: value})
			}
		}
	}
	slices.SortFunc(records, func(a, b storage.Record) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Turn, b.Turn))
	})
	size := 0
	for position, record := range records {
		if size += len(record.Value); size > maxBytes && position > 0 {
			return records[:position], true, nil
		}
	}
	return records, false, nil
}

// crash discards the writes that were not synced.
func (d *disk) crash() {
	d.unsynced = nil
	d.writesUntilCrash = 0
}
