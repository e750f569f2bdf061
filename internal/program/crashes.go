package program

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxCrashRecords bounds the records of a CrashTable. Beyond it, the one that expires first is
	// dropped.
	maxCrashRecords = 16384
	// maxAttemptsPerCrashRecord bounds the attempts of one record.
	maxAttemptsPerCrashRecord = 16
	// crashSweepDelayMs is how long expired records may stay, so that a group with steady traffic is
	// swept once in this time and not at every interval.
	crashSweepDelayMs = 5_000
)

// RequestKey identifies a request over all its client attempts, which have different ids.
type RequestKey struct {
	// Scope is the program of the request or, if it belongs to none, its fingerprint. It determines
	// the ledger group that records the request.
	Scope string `msgpack:"p"`
	// Fingerprint is a hash of what all client attempts of the request have in common.
	Fingerprint string `msgpack:"f"`
}

// Crash reports attempts of a request under which an engine ended or may end. An attempt that is
// reported before it is sent is a claim: it counts like the others until it is reported as survived.
type Crash struct {
	Key RequestKey `msgpack:"k"`
	// Attempts identify the attempts: each one counts once, however often it is reported.
	Attempts []string `msgpack:"a,omitempty"`
	// Survived are reported attempts whose engines have outlived them. They are removed.
	Survived []string `msgpack:"s,omitempty"`
	// RetentionMs is how long the record is retained from now on.
	RetentionMs int64 `msgpack:"t,omitempty"`
	// IsCleared deletes the record instead, because an engine has answered the request.
	IsCleared bool `msgpack:"c,omitempty"`
}

// IsClosing reports whether the report only removes attempts.
func (c *Crash) IsClosing() bool { return len(c.Survived) > 0 }

// CrashHistory lists the attempts of a request under which an engine ended or may end, in the order in
// which they were reported.
type CrashHistory struct {
	Attempts []string `msgpack:"a,omitempty"`
	// RemainingMs is how long the record is still retained.
	RemainingMs int64 `msgpack:"t,omitempty"`
}

// Admits reports whether a claimed attempt may be sent. Invariant: of the attempts that are on record at
// the same time, at most limit are admitted, because the order of a record never changes.
func (h CrashHistory) Admits(attempt string, limit int) bool {
	position := slices.Index(h.Attempts, attempt)
	return position >= 0 && position < limit
}

// Without returns the attempts other than the given one.
func (h CrashHistory) Without(attempt string) []string {
	return slices.DeleteFunc(slices.Clone(h.Attempts), func(other string) bool { return other == attempt })
}

// crashRecord is the stored form of one record.
type crashRecord struct {
	Key       RequestKey `msgpack:"k"`
	Attempts  []string   `msgpack:"a"`
	ExpiresMs int64      `msgpack:"x"`
}

// CrashTable records under which requests engines ended. Invariant: it holds at most maxCrashRecords
// records of at most maxAttemptsPerCrashRecord attempts, each attempt once.
type CrashTable struct {
	records map[RequestKey]*crashRecord
}

// newCrashTable returns a table with the given records.
func newCrashTable(recorded []*crashRecord) CrashTable {
	table := CrashTable{records: make(map[RequestKey]*crashRecord, len(recorded))}
	for _, record := range recorded {
		table.records[record.Key] = record
	}
	return table
}

// NewCrashTable returns an empty table.
func NewCrashTable() *CrashTable {
	table := newCrashTable(nil)
	return &table
}

// Len returns the number of records.
func (t *CrashTable) Len() int { return len(t.records) }

// Record applies a report and returns the record of its request.
func (t *CrashTable) Record(nowMs int64, crash Crash) CrashHistory {
	if crash.IsCleared {
		delete(t.records, crash.Key)
		return CrashHistory{}
	}
	record := t.records[crash.Key]
	if len(crash.Survived) > 0 {
		t.removeSurvived(record, crash.Survived)
		return t.Find(nowMs, crash.Key)
	}
	if record == nil || record.ExpiresMs < nowMs {
		record = &crashRecord{Key: crash.Key}
		if len(t.records) >= maxCrashRecords && t.records[crash.Key] == nil {
			t.dropFirstExpiring()
		}
		t.records[crash.Key] = record
	}
	for _, attempt := range crash.Attempts {
		if len(record.Attempts) < maxAttemptsPerCrashRecord && !slices.Contains(record.Attempts, attempt) {
			record.Attempts = append(record.Attempts, attempt)
		}
	}
	record.ExpiresMs = max(record.ExpiresMs, nowMs+crash.RetentionMs)
	return t.Find(nowMs, crash.Key)
}

// removeSurvived removes attempts from a record, and the record if none is left. A nil record has none.
func (t *CrashTable) removeSurvived(record *crashRecord, survived []string) {
	if record == nil {
		return
	}
	record.Attempts = slices.DeleteFunc(record.Attempts, func(attempt string) bool { return slices.Contains(survived, attempt) })
	if len(record.Attempts) == 0 {
		delete(t.records, record.Key)
	}
}

// Find returns the record of a request, the zero value if there is none.
func (t *CrashTable) Find(nowMs int64, key RequestKey) CrashHistory {
	record := t.records[key]
	if record == nil || record.ExpiresMs < nowMs {
		return CrashHistory{}
	}
	return CrashHistory{Attempts: slices.Clone(record.Attempts), RemainingMs: record.ExpiresMs - nowMs}
}

// dropFirstExpiring drops the record that expires first, the lowest key among several.
func (t *CrashTable) dropFirstExpiring() {
	first := slices.MinFunc(slices.Collect(maps.Values(t.records)), func(a, b *crashRecord) int {
		return cmp.Or(cmp.Compare(a.ExpiresMs, b.ExpiresMs), a.Key.compare(b.Key))
	})
	delete(t.records, first.Key)
}

// compare orders keys by scope and fingerprint.
func (k RequestKey) compare(other RequestKey) int {
	return cmp.Or(cmp.Compare(k.Scope, other.Scope), cmp.Compare(k.Fingerprint, other.Fingerprint))
}

// isSweepDue reports whether records have expired for longer than crashSweepDelayMs.
func (t *CrashTable) isSweepDue(nowMs int64) bool {
	for _, record := range t.records {
		if record.ExpiresMs+crashSweepDelayMs < nowMs {
			return true
		}
	}
	return false
}

// Sweep deletes the expired records.
func (t *CrashTable) Sweep(nowMs int64) {
	maps.DeleteFunc(t.records, func(_ RequestKey, record *crashRecord) bool { return record.ExpiresMs < nowMs })
}

// sorted returns the records in ascending order of their keys.
func (t *CrashTable) sorted() []*crashRecord {
	return slices.SortedFunc(maps.Values(t.records), func(a, b *crashRecord) int { return a.Key.compare(b.Key) })
}
