// Package storage is the durable state of a process: the logs and hard states of its log
// groups in an append-only journal, and their snapshots and the turn records of programs in
// one bbolt file, both in the data directory. One Write costs one sync for all groups, and a
// transaction in addition if it contains a snapshot or records (design section 5).
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

// ErrInUse means that another process has the data directory open.
var ErrInUse = errors.New("storage: another process uses the data directory")

const (
	fileName      = "ochrebay.db"
	lockTimeout   = 300 * time.Millisecond
	fileMode      = 0o600
	directoryMode = 0o750
)

var (
	metaBucket     = []byte("meta")
	groupsBucket   = []byte("groups")
	metadataBucket = []byte("notes")
	replicaKey     = []byte("replica")
	snapshotKey    = []byte("snapshot")
	bootstrapKey   = []byte("bootstrap")
)

// GroupID is the number of a log group; 0 is the settings group.
type GroupID uint32

// GroupWrite is the part of a Write that belongs to one group.
type GroupWrite struct {
	Group     GroupID
	HardState *consensus.HardState
	Snapshot  *consensus.Snapshot
	// Entries overwrite the log from their first index on.
	Entries []consensus.Entry
	// Records are turn records to write; a nil value deletes the record.
	Records []Record
	// ResetStaged deletes the staged records before Staged are added. Staged records belong to
	// a snapshot that is still being received.
	ResetStaged bool
	Staged      []Record
	// PromoteStaged replaces the group's records by the staged ones before Records are written.
	// Snapshot then comes from another replica and replaces the whole log.
	PromoteStaged bool
}

// needsTransaction reports whether the write contains anything that is stored in bbolt instead of
// the journal.
func (w *GroupWrite) needsTransaction() bool {
	return w.Snapshot != nil || len(w.Records) > 0 || w.ResetStaged || len(w.Staged) > 0 || w.PromoteStaged
}

// Store is the durable state of one process. Only one goroutine may write; Load is intended for
// use before the first write.
type Store struct {
	database *bbolt.DB
	journal  *journal
	replica  consensus.ReplicaID
}

// Open opens or creates the store in directory. It returns ErrInUse if another process has the
// store open.
func Open(directory string) (*Store, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, errorx.Decorate(err, "creating the data directory")
	}
	database, err := bbolt.Open(filepath.Join(directory, fileName), fileMode, &bbolt.Options{
		Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true,
	})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, ErrInUse
	}
	if err != nil {
		return nil, errorx.Decorate(err, "opening the store")
	}
	store := &Store{database: database}
	if err := store.initialize(directory); err != nil {
		_ = database.Close()
		return nil, err
	}
	return store, nil
}

// initialize creates the replica id if the disk has none, and opens the journal. Invariant: the
// directory entries of all files are durable before the store is used.
func (s *Store) initialize(directory string) error {
	if err := retryWrite(s.ensureReplicaID); err != nil {
		return err
	}
	if err := syncDirectory(filepath.Dir(directory)); err != nil {
		return errorx.Decorate(err, "syncing the parent of the data directory")
	}
	var err error
	if s.journal, err = openJournal(directory); err != nil {
		return errorx.Decorate(err, "opening the journal")
	}
	return nil
}

// ensureReplicaID reads the replica id of this disk, and creates it at the first open.
func (s *Store) ensureReplicaID() error {
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
		replicaID := make([]byte, 8)
		if _, err := rand.Read(replicaID); err != nil {
			return err
		}
		// The id must not be zero, which is consensus.None.
		replicaID[7] |= 1
		s.replica = consensus.ReplicaID(binary.BigEndian.Uint64(replicaID))
		return meta.Put(replicaKey, replicaID)
	})
}

// Close closes the store and releases the data directory.
func (s *Store) Close() error {
	return errors.Join(s.journal.close(), s.database.Close())
}

// Replica returns the id of this disk's incarnation.
func (s *Store) Replica() consensus.ReplicaID {
	return s.replica
}

// Bootstrap returns the initial configuration of the groups, false if this disk has not been
// part of a cluster.
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

// SetBootstrap stores the initial configuration. An empty one marks a replica that joined
// existing groups.
func (s *Store) SetBootstrap(configuration consensus.Configuration) error {
	raw, err := msgpack.Marshal(&configuration)
	if err != nil {
		return err
	}
	return s.database.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(metaBucket).Put(bootstrapKey, raw)
	})
}

// PutMetadata stores a small value under a name and returns after the sync.
func (s *Store) PutMetadata(name string, value []byte) error {
	return retryWrite(func() error {
		return s.database.Update(func(tx *bbolt.Tx) error {
			metadata, err := tx.CreateBucketIfNotExists(metadataBucket)
			if err != nil {
				return err
			}
			return metadata.Put([]byte(name), value)
		})
	})
}

// GetMetadata returns the value stored under a name, nil if there is none.
func (s *Store) GetMetadata(name string) ([]byte, error) {
	var value []byte
	err := s.database.View(func(tx *bbolt.Tx) error {
		if metadata := tx.Bucket(metadataBucket); metadata != nil {
			value = slices.Clone(metadata.Get([]byte(name)))
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
	if slices.ContainsFunc(writes, func(write GroupWrite) bool { return write.needsTransaction() }) {
		if err := retryWrite(func() error { return s.writeTransaction(writes) }); err != nil {
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
	return retryWrite(func() error { return s.journal.append(records) })
}

const (
	// writeRetryTimeout is the total delay between the attempts of a write with transient errors
	// before the process gives up, and writeRetryDelay the delay between two attempts.
	writeRetryTimeout = 10 * time.Second
	writeRetryDelay   = 50 * time.Millisecond
)

// retryWrite retries a write that fails with a disk error that may be transient, such as a full
// disk: nothing has been acknowledged yet, and a restarted process would find the same disk.
// A failed write has no effect on the state that is read back.
func retryWrite(write func() error) error {
	for retriesLeft := writeRetryTimeout / writeRetryDelay; ; retriesLeft-- {
		err := write()
		transient := errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) || errors.Is(err, unix.EIO)
		if !transient || retriesLeft == 0 {
			return err
		}
		time.Sleep(writeRetryDelay)
	}
}

// writeTransaction writes the snapshots and records of all groups in one transaction.
func (s *Store) writeTransaction(writes []GroupWrite) error {
	return s.database.Update(func(tx *bbolt.Tx) error {
		for position := range writes {
			write := &writes[position]
			if !write.needsTransaction() {
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

// Load returns the persisted state of a group, including the snapshot's data.
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
	log := s.journal.logOf(id)
	restored.HardState = log.hard
	return restored, restoreEntries(&restored, log.entries)
}

// restoreEntries adds the entries that follow the snapshot. Entries whose term is older than the
// snapshot's belong to a log that the snapshot has replaced.
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
			return errorx.IllegalState.New("log has entry %d where entry %d is expected", entry.Index, expected)
		}
		restored.Entries = append(restored.Entries, entry)
	}
	return nil
}
