// Package storage keeps what must survive a control process: the logs, hard
// states and snapshots of its log groups and the turn records of programs, in
// one bbolt file under the data folder. One Write is one transaction and one
// sync for all groups (design section 5).
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
	metaBucket     = []byte("meta")
	groupsBucket   = []byte("groups")
	notesBucket    = []byte("notes")
	logBucket      = []byte("log")
	replicaKey     = []byte("replica")
	hardStateKey   = []byte("hard-state")
	snapshotKey    = []byte("snapshot")
	bootstrapKey   = []byte("bootstrap")
	errNoSuchGroup = errors.New("storage: no such group")
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
	// CompactTo drops entries up to this index; zero drops none.
	CompactTo uint64
	// Records are turn records by key; a nil value deletes.
	Records []Record
	// ResetStaged forgets the staged records before Staged are added to them. Staged
	// records are those of a snapshot that is still being received.
	ResetStaged bool
	Staged      []Record
	// PromoteStaged puts the staged records in the place of the group's records, before
	// Records are written.
	PromoteStaged bool
}

// Store is one process's durable state.
type Store struct {
	database *bbolt.DB
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
	if err := store.initialise(); err != nil {
		_ = database.Close()
		return nil, err
	}
	return store, nil
}

// initialise makes the replica id that is bound to this disk at the first open.
func (s *Store) initialise() error {
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
	return s.database.Close()
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

// Note keeps a small value by name and returns after the sync.
func (s *Store) Note(name string, value []byte) error {
	return s.database.Update(func(tx *bbolt.Tx) error {
		notes, err := tx.CreateBucketIfNotExists(notesBucket)
		if err != nil {
			return err
		}
		return notes.Put([]byte(name), value)
	})
}

// NoteOf returns a value that was kept by name, nil where there is none.
func (s *Store) NoteOf(name string) ([]byte, error) {
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

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// Write stores the writes of all groups in one transaction and returns after
// the sync.
func (s *Store) Write(writes []GroupWrite) error {
	if len(writes) == 0 {
		return nil
	}
	return s.database.Update(func(tx *bbolt.Tx) error {
		for position := range writes {
			if err := writeGroup(tx, &writes[position]); err != nil {
				return errorx.Decorate(err, "writing group %d", writes[position].Group)
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
		if err := writeSnapshot(group, write.Snapshot); err != nil {
			return err
		}
	}
	if err := writeEntries(group, write.Entries); err != nil {
		return err
	}
	if write.HardState != nil {
		if err := putEncoded(group, hardStateKey, write.HardState); err != nil {
			return err
		}
	}
	if write.CompactTo > 0 {
		if err := deleteUpTo(group, write.CompactTo); err != nil {
			return err
		}
	}
	return writeRecords(group, write)
}

func putEncoded(bucket *bbolt.Bucket, key []byte, value any) error {
	raw, err := msgpack.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, raw)
}

// writeSnapshot replaces the state; a snapshot ahead of the log drops the log.
func writeSnapshot(group *bbolt.Bucket, snapshot *consensus.Snapshot) error {
	if err := putEncoded(group, snapshotKey, snapshot); err != nil {
		return err
	}
	return deleteUpTo(group, snapshot.Index)
}

func deleteUpTo(group *bbolt.Bucket, index uint64) error {
	entries := group.Bucket(logBucket)
	if entries == nil {
		return nil
	}
	cursor := entries.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= index; key, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func writeEntries(group *bbolt.Bucket, entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	bucket, err := group.CreateBucketIfNotExists(logBucket)
	if err != nil {
		return err
	}
	// Invariant: no entry of an older term stays behind the ones written.
	cursor := bucket.Cursor()
	for key, _ := cursor.Seek(indexKey(entries[0].Index)); key != nil; key, _ = cursor.Seek(indexKey(entries[0].Index)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	bucket.FillPercent = 0.95
	for position := range entries {
		if err := putEncoded(bucket, indexKey(entries[position].Index), &entries[position]); err != nil {
			return err
		}
	}
	return nil
}

// Load returns what the disk holds of a group; the snapshot's data included.
func (s *Store) Load(id GroupID) (consensus.Restored, error) {
	var restored consensus.Restored
	err := s.database.View(func(tx *bbolt.Tx) error {
		group := tx.Bucket(groupsBucket).Bucket(groupKey(id))
		if group == nil {
			return errNoSuchGroup
		}
		if raw := group.Get(hardStateKey); raw != nil {
			if err := msgpack.Unmarshal(raw, &restored.HardState); err != nil {
				return err
			}
		}
		if raw := group.Get(snapshotKey); raw != nil {
			if err := msgpack.Unmarshal(raw, &restored.Snapshot); err != nil {
				return err
			}
		}
		return loadEntries(group, &restored)
	})
	if errors.Is(err, errNoSuchGroup) {
		return consensus.Restored{}, nil
	}
	if err != nil {
		return consensus.Restored{}, errorx.Decorate(err, "loading group %d", id)
	}
	return restored, nil
}

func loadEntries(group *bbolt.Bucket, restored *consensus.Restored) error {
	bucket := group.Bucket(logBucket)
	if bucket == nil {
		return nil
	}
	return bucket.ForEach(func(key, value []byte) error {
		var entry consensus.Entry
		if err := msgpack.Unmarshal(value, &entry); err != nil {
			return err
		}
		if entry.Index <= restored.Snapshot.Index {
			return nil
		}
		expected := restored.Snapshot.Index + uint64(len(restored.Entries)) + 1
		if entry.Index != expected {
			return errorx.IllegalState.New("log has %d where %d is due", entry.Index, expected)
		}
		restored.Entries = append(restored.Entries, entry)
		return nil
	})
}
