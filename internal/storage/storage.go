// Package storage keeps what must survive a process: the logs and hard states of its
// log groups in a journal that is only appended to, and their snapshots and the turn
// records of programs in one bbolt file, both under the data folder. One Write is one
// sync for all groups, and a transaction more where it brings a snapshot or records
// (design section 5).
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

// ErrInUse means that another process holds the data folder.
var ErrInUse = errors.New("storage: another process uses the data folder")

const (
	fileName    = "ochrebay.db"
	lockTimeout = 300 * time.Millisecond
	fileMode    = 0o600
	folderMode  = 0o750
)

var (
	metaBucket   = []byte("meta")
	groupsBucket = []byte("groups")
	notesBucket  = []byte("notes")
	replicaKey   = []byte("replica")
	snapshotKey  = []byte("snapshot")
	bootstrapKey = []byte("bootstrap")
)

// GroupID numbers a log group; 0 is the settings group.
type GroupID uint32

// GroupWrite is what one group adds in one Write.
type GroupWrite struct {
	Group     GroupID
	HardState *consensus.HardState
	Snapshot  *consensus.Snapshot
	// Entries overwrite the log from their first index on.
	Entries []consensus.Entry
	// Records are turn records by key; a nil value deletes.
	Records []Record
	// ResetStaged forgets the staged records before Staged are added to them. Staged
	// records are those of a snapshot that is still being received.
	ResetStaged bool
	Staged      []Record
	// PromoteStaged puts the staged records in the place of the group's records, before
	// Records are written. Snapshot is then one from another replica, which takes the
	// place of the whole log.
	PromoteStaged bool
}

// inTransaction reports whether the write brings something that the journal doesn't keep.
func (w *GroupWrite) inTransaction() bool {
	return w.Snapshot != nil || len(w.Records) > 0 || w.ResetStaged || len(w.Staged) > 0 || w.PromoteStaged
}

// Store is one process's durable state. One goroutine may write; Load is for the time
// before the first write.
type Store struct {
	database *bbolt.DB
	journal  *journal
	replica  consensus.ReplicaID
}

// Open opens or creates the store below folder, and returns ErrInUse where
// another process has it open.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errorx.Decorate(err, "creating the data folder")
	}
	database, err := bbolt.Open(filepath.Join(folder, fileName), fileMode, &bbolt.Options{
		Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true,
	})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, ErrInUse
	}
	if err != nil {
		return nil, errorx.Decorate(err, "opening the store")
	}
	store := &Store{database: database}
	if err := store.initialise(folder); err != nil {
		_ = database.Close()
		return nil, err
	}
	return store, nil
}

// initialise makes the replica's identity where the disk has none, and opens the journal.
// Invariant: the names of all files last before the store is used.
func (s *Store) initialise(folder string) error {
	if err := whileRefused(s.identify); err != nil {
		return err
	}
	if err := syncFolder(filepath.Dir(folder)); err != nil {
		return errorx.Decorate(err, "syncing the folder above the data folder")
	}
	var err error
	if s.journal, err = openJournal(folder); err != nil {
		return errorx.Decorate(err, "opening the journal")
	}
	return nil
}

// identify makes the replica id that is bound to this disk at the first open.
func (s *Store) identify() error {
	return s.database.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(groupsBucket); err != nil {
			return err
		}
		if existing := meta.Get(replicaKey); existing != nil {
			s.replica = consensus.ReplicaID(binary.BigEndian.Uint64(existing))
			return nil
		}
		identity := make([]byte, 8)
		if _, err := rand.Read(identity); err != nil {
			return err
		}
		identity[7] |= 1
		s.replica = consensus.ReplicaID(binary.BigEndian.Uint64(identity))
		return meta.Put(replicaKey, identity)
	})
}

// Close releases the data folder.
func (s *Store) Close() error {
	return errors.Join(s.journal.close(), s.database.Close())
}

// Replica returns the id of this disk's incarnation.
func (s *Store) Replica() consensus.ReplicaID {
	return s.replica
}

// Bootstrap returns the configuration by which the groups were first made;
// false where this disk has not been part of a cluster.
func (s *Store) Bootstrap() (consensus.Configuration, bool, error) {
	var configuration consensus.Configuration
	found := false
	err := s.database.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket(metaBucket).Get(bootstrapKey)
		if raw == nil {
			return nil
		}
		found = true
		return msgpack.Unmarshal(raw, &configuration)
	})
	return configuration, found, err
}

// SetBootstrap records the first configuration; an empty one marks a replica
// that joins groups which others made.
func (s *Store) SetBootstrap(configuration consensus.Configuration) error {
	raw, err := msgpack.Marshal(&configuration)
	if err != nil {
		return err
	}
	return s.database.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(metaBucket).Put(bootstrapKey, raw)
	})
}

// PutMetadata keeps a small value by name and returns after the sync.
func (s *Store) PutMetadata(name string, value []byte) error {
	return whileRefused(func() error {
		return s.database.Update(func(tx *bbolt.Tx) error {
			notes, err := tx.CreateBucketIfNotExists(notesBucket)
			if err != nil {
				return err
			}
			return notes.Put([]byte(name), value)
		})
	})
}

// GetMetadata returns a value that was kept by name, nil where there is none.
func (s *Store) GetMetadata(name string) ([]byte, error) {
	var value []byte
	err := s.database.View(func(tx *bbolt.Tx) error {
		if notes := tx.Bucket(notesBucket); notes != nil {
			value = slices.Clone(notes.Get([]byte(name)))
		}
		return nil
	})
	return value, err
}

func groupKey(group GroupID) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(group))
}

// Write stores the writes of all groups and returns after the sync.
func (s *Store) Write(writes []GroupWrite) error {
	if slices.ContainsFunc(writes, func(write GroupWrite) bool { return write.inTransaction() }) {
		if err := whileRefused(func() error { return s.writeTransaction(writes) }); err != nil {
			return err
		}
	}
	var records []journalRecord
	for position := range writes {
		write := &writes[position]
		if write.Snapshot != nil {
			s.journal.compact(write.Group, write.Snapshot.Index)
		}
		if write.HardState != nil || len(write.Entries) > 0 || write.PromoteStaged {
			records = append(records, journalRecord{Group: write.Group, HardState: write.HardState, Reset: write.PromoteStaged, Entries: write.Entries})
		}
	}
	return whileRefused(func() error { return s.journal.append(records) })
}

const (
	// refusedPatience is how long a disk may refuse to write before the process gives up,
	// and refusedPause the pause between two tries.
	refusedPatience = 10 * time.Second
	refusedPause    = 50 * time.Millisecond
)

// whileRefused repeats a write that the disk refuses, as a full one does: nothing was
// acknowledged yet, and a process that ends and starts again meets the same disk. A write
// that fails leaves nothing behind that counts.
func whileRefused(write func() error) error {
	for tries := refusedPatience / refusedPause; ; tries-- {
		err := write()
		refused := errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) || errors.Is(err, unix.EIO)
		if !refused || tries == 0 {
			return err
		}
		time.Sleep(refusedPause)
	}
}

// writeTransaction stores snapshots and records.
func (s *Store) writeTransaction(writes []GroupWrite) error {
	return s.database.Update(func(tx *bbolt.Tx) error {
		for position := range writes {
			write := &writes[position]
			if !write.inTransaction() {
				continue
			}
			if err := writeGroup(tx, write); err != nil {
				return errorx.Decorate(err, "writing group %d", write.Group)
			}
		}
		return nil
	})
}

func writeGroup(tx *bbolt.Tx, write *GroupWrite) error {
	group, err := tx.Bucket(groupsBucket).CreateBucketIfNotExists(groupKey(write.Group))
	if err != nil {
		return err
	}
	if write.Snapshot != nil {
		raw, err := msgpack.Marshal(write.Snapshot)
		if err != nil {
			return err
		}
		if err := group.Put(snapshotKey, raw); err != nil {
			return err
		}
	}
	return writeRecords(group, write)
}

// Load returns what the disk holds of a group; the snapshot's data included.
func (s *Store) Load(id GroupID) (consensus.PersistedState, error) {
	var restored consensus.PersistedState
	err := s.database.View(func(tx *bbolt.Tx) error {
		group := tx.Bucket(groupsBucket).Bucket(groupKey(id))
		if group == nil {
			return nil
		}
		raw := group.Get(snapshotKey)
		if raw == nil {
			return nil
		}
		return msgpack.Unmarshal(raw, &restored.Snapshot)
	})
	if err != nil {
		return consensus.PersistedState{}, errorx.Decorate(err, "loading group %d", id)
	}
	log := s.journal.of(id)
	restored.HardState = log.hard
	return restored, restoreEntries(&restored, log.entries)
}

// restoreEntries takes the entries that follow the snapshot. Entries of an older term
// than its own are of a log that it has replaced.
func restoreEntries(restored *consensus.PersistedState, entries []consensus.Entry) error {
	for _, entry := range entries {
		if entry.Index <= restored.Snapshot.Index {
			continue
		}
		expected := restored.Snapshot.Index + uint64(len(restored.Entries)) + 1
		if entry.Term < restored.Snapshot.Term && len(restored.Entries) == 0 {
			return nil
		}
		if entry.Index != expected {
			return errorx.IllegalState.New("log has %d where %d is due", entry.Index, expected)
		}
		restored.Entries = append(restored.Entries, entry)
	}
	return nil
}
