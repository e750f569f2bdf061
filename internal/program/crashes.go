package program

import (
	"cmp"
	"maps"
	"slices"
	"strings"
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
	// attemptEngineSeparator separates an attempt from its engine. Attempts are named after request IDs, and
	// no HTTP header contains it.
	attemptEngineSeparator = "\x00"
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

// AttemptAt returns the name that is recorded beside an attempt to tell the incarnation of its engine. Releases that
// don't know such names count them as attempts of their own.
func AttemptAt(attempt, incarnation string) string {
	return attempt + attemptEngineSeparator + incarnation
}

// Admits reports whether a recorded attempt may be sent, to its recorded engine if there is one. Invariant: the
// admitted attempts that are on record at the same time are at no more than limit engines, at whatever later time
// an attempt is admitted. An attempt without a recorded engine counts as one engine more. To be admitted, an attempt
// counts together with all that were recorded before the first one at its engine, because the order of a record never
// changes, and with all engines that are recorded, because an attempt at one of these may be admitted at any
// time.
func (h CrashHistory) Admits(attempt string, limit int) bool {
	position := slices.Index(h.Attempts, attempt)
	if position < 0 {
		return false
	}
	keys := engineKeys(h.Attempts)
	atRisk := map[string]bool{}
	for _, key := range keys[:slices.Index(keys, keys[position])+1] {
		atRisk[key] = true
	}
	for _, engine := range h.Engines() {
		atRisk[engineKey(engine)] = true
	}
	return len(atRisk) <= limit
}

// Engines returns the incarnations of the recorded engines.
func (h CrashHistory) Engines() []string {
	var engines []string
	for _, attempt := range h.Attempts {
		if _, engine, isKnown := strings.Cut(attempt, attemptEngineSeparator); isKnown && !slices.Contains(engines, engine) {
			engines = append(engines, engine)
		}
	}
	return engines
}

// CountEngines returns at how many engines recorded attempts are. One without a recorded engine counts as one
// engine more.
func CountEngines(attempts []string) int {
	keys := engineKeys(attempts)
	slices.Sort(keys)
	return len(slices.Compact(keys))
}

// engineKeys returns a key for the engine of each attempt: the same one for attempts that are known to be at the same
// engine.
func engineKeys(attempts []string) []string {
	engines := map[string]string{}
	for _, attempt := range attempts {
		if name, engine, isKnown := strings.Cut(attempt, attemptEngineSeparator); isKnown {
			engines[name] = engine
		}
	}
	keys := make([]string, len(attempts))
	for position, attempt := range attempts {
		name := BaseAttempt(attempt)
		if engine, isKnown := engines[name]; isKnown {
			name = engineKey(engine)
		}
		keys[position] = name
	}
	return keys
}

// engineKey returns the key of a recorded engine. No attempt has the same one.
func engineKey(engine string) string { return attemptEngineSeparator + engine }

// BaseAttempt returns an attempt without its recorded engine.
func BaseAttempt(attempt string) string {
	name, _, _ := strings.Cut(attempt, attemptEngineSeparator)
	return name
}

// Without returns the names on record that are not of the given attempt.
func (h CrashHistory) Without(attempt string) []string {
	return slices.DeleteFunc(slices.Clone(h.Attempts), func(other string) bool { return BaseAttempt(other) == attempt })
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
