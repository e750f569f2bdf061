package storage

import (
	"encoding/binary"

	"go.etcd.io/bbolt"
)

// A group has two buckets for records: one for the active records, the other for the staged
// records of a snapshot that is being received. The value of activeRecordsKey selects the active
// bucket, so that a received snapshot takes effect without copying its records.
var (
	recordsBuckets   = [2][]byte{[]byte("records"), []byte("records-2")}
	activeRecordsKey = []byte("records-place")
)

// turnSuffixBytes is the length of a record's key after the program's name: a zero byte and the
// turn as 8 bytes.
const turnSuffixBytes = 9

// Record is a turn record of a program.
type Record struct {
	Program string `msgpack:"p"`
	Turn    uint64 `msgpack:"t"`
	Value   []byte `msgpack:"v"`
}

// RecordKey is the key of a record within its group.
type RecordKey struct {
	Program string
	Turn    uint64
}

// Key returns the record's key within its group.
func (r Record) Key() RecordKey { return RecordKey{Program: r.Program, Turn: r.Turn} }

func (k RecordKey) encode() []byte {
	key := append([]byte(k.Program), 0)
	return binary.BigEndian.AppendUint64(key, k.Turn)
}

func decodeRecord(key, value []byte) Record {
	split := len(key) - turnSuffixBytes
	return Record{
		Program: string(key[:split]),
		Turn:    binary.BigEndian.Uint64(key[split+1:]),
		Value:   append([]byte(nil), value...),
	}
}

// activeBucketIndex returns the index in recordsBuckets of the active records.
func activeBucketIndex(group *bbolt.Bucket) int {
	if raw := group.Get(activeRecordsKey); len(raw) == 1 && raw[0] == 1 {
		return 1
	}
	return 0
}

func writeRecords(group *bbolt.Bucket, write *GroupWrite) error {
	active := activeBucketIndex(group)
	if write.ResetStaged {
		if err := deleteBucket(group, recordsBuckets[1-active]); err != nil {
			return err
		}
	}
	if err := putRecords(group, recordsBuckets[1-active], write.Staged); err != nil {
		return err
	}
	if write.PromoteStaged {
		if err := deleteBucket(group, recordsBuckets[active]); err != nil {
			return err
		}
		active = 1 - active
		if err := group.Put(activeRecordsKey, []byte{byte(active)}); err != nil {
			return err
		}
	}
	return putRecords(group, recordsBuckets[active], write.Records)
}

func deleteBucket(group *bbolt.Bucket, name []byte) error {
	if group.Bucket(name) == nil {
		return nil
	}
	return group.DeleteBucket(name)
}

func putRecords(group *bbolt.Bucket, name []byte, records []Record) error {
	if len(records) == 0 {
		return nil
	}
	bucket, err := group.CreateBucketIfNotExists(name)
	if err != nil {
		return err
	}
	for _, record := range records {
		key := record.Key().encode()
		if record.Value == nil {
			err = bucket.Delete(key)
		} else {
			err = bucket.Put(key, record.Value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Records returns a program's turn records after the given turn, in turn order.
func (s *Store) Records(id GroupID, program string, after uint64) ([]Record, error) {
	var records []Record
	err := s.database.View(func(tx *bbolt.Tx) error {
		bucket := activeRecords(tx, id)
		if bucket == nil {
			return nil
		}
		cursor := bucket.Cursor()
		for key, value := cursor.Seek(RecordKey{program, after + 1}.encode()); key != nil; key, value = cursor.Next() {
			record := decodeRecord(key, value)
			if record.Program != program {
				return nil
			}
			records = append(records, record)
		}
		return nil
	})
	return records, err
}

// RecordsAfter returns the records of a group after a key, in key order, up to maxBytes but at
// least one record; more reports whether further records follow. The zero key precedes all
// records.
func (s *Store) RecordsAfter(id GroupID, after RecordKey, maxBytes int) (records []Record, more bool, err error) {
	err = s.database.View(func(tx *bbolt.Tx) error {
		bucket := activeRecords(tx, id)
		if bucket == nil {
			return nil
		}
		cursor := bucket.Cursor()
		size := 0
		start := RecordKey{after.Program, after.Turn + 1}.encode()
		for key, value := cursor.Seek(start); key != nil; key, value = cursor.Next() {
			if size += len(key) + len(value); size > maxBytes && len(records) > 0 {
				more = true
				return nil
			}
			records = append(records, decodeRecord(key, value))
		}
		return nil
	})
	return records, more, err
}

func activeRecords(tx *bbolt.Tx, id GroupID) *bbolt.Bucket {
	group := tx.Bucket(groupsBucket).Bucket(groupKey(id))
	if group == nil {
		return nil
	}
	return group.Bucket(recordsBuckets[activeBucketIndex(group)])
}
