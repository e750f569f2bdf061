package consensus

// indexedConfiguration is a configuration and the index of its entry or snapshot.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// log holds the entries after the last snapshot in memory.
type log struct {
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []Entry
	// stable is the last index that the owner has synced to disk.
	stable  uint64
	commit  uint64
	applied uint64
	// configurations is never empty. Its last element is in effect.
	configurations []indexedConfiguration
}

func (l *log) lastIndex() uint64 {
	return l.snapshotIndex + uint64(len(l.entries))
}

func (l *log) firstIndex() uint64 {
	return l.snapshotIndex + 1
}

// term returns the term of the entry at index, and false if the index is compacted or after the end of
// the log.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// matches reports whether the log has an entry of the given term at index.
func (l *log) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// slice returns the entries from..to, both included, as far as the log contains them. It returns at
// most maxBytes of entry data, but at least one entry if there is one.
func (l *log) slice(from, to uint64, maxBytes int) []Entry {
	if from < l.firstIndex() {
		from = l.firstIndex()
	}
	if to > l.lastIndex() {
		to = l.lastIndex()
	}
	if from > to {
		return nil
	}
	selected := l.entries[from-l.firstIndex() : to-l.firstIndex()+1]
	size := 0
	for position := range selected {
		size += len(selected[position].Data)
		if size > maxBytes && position > 0 {
			selected = selected[:position]
			break
		}
	}
	return append([]Entry(nil), selected...)
}

// append appends entries. Configurations take effect immediately.
func (l *log) append(entries ...Entry) {
	for _, entry := range entries {
		l.entries = append(l.entries, entry)
		if entry.Configuration != nil {
			l.configurations = append(l.configurations, indexedConfiguration{entry.Index, *entry.Configuration})
		}
	}
}

// truncateFrom drops the entries from index on. Invariant: a committed entry is never dropped.
func (l *log) truncateFrom(index uint64) {
	if index <= l.commit {
		panic("consensus: truncating a committed entry")
	}
	l.entries = append([]Entry(nil), l.entries[:index-l.firstIndex()]...)
	if l.stable >= index {
		l.stable = index - 1
	}
	for len(l.configurations) > 1 && l.configurations[len(l.configurations)-1].index >= index {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// merge appends the entries that the log lacks, and drops entries that conflict with them.
func (l *log) merge(entries []Entry) {
	for position, entry := range entries {
		if entry.Index <= l.snapshotIndex || l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.lastIndex() {
			l.truncateFrom(entry.Index)
		}
		l.append(entries[position:]...)
		return
	}
}

func (l *log) configuration() Configuration {
	return l.configurations[len(l.configurations)-1].configuration
}

func (l *log) configurationIndex() uint64 {
	return l.configurations[len(l.configurations)-1].index
}

// configurationAt returns the configuration that was in effect at index.
func (l *log) configurationAt(index uint64) Configuration {
	current := l.configurations[0].configuration
	for _, indexed := range l.configurations {
		if indexed.index <= index {
			current = indexed.configuration
		}
	}
	return current
}

// compactionIndex implements Node.CompactionIndex. It returns the index before the first entry that
// is retained.
func (l *log) compactionIndex(index, entries uint64, maxBytes int) uint64 {
	size := 0
	for count := uint64(0); count < entries && index > l.snapshotIndex; count++ {
		size += len(l.entries[index-l.firstIndex()].Data)
		if maxBytes > 0 && size > maxBytes {
			break
		}
		index--
	}
	return index
}

// compact drops the entries up to index. It does nothing if the index is not applied yet.
func (l *log) compact(index uint64) {
	if index <= l.snapshotIndex || index > l.applied {
		return
	}
	term, _ := l.term(index)
	configuration := l.configurationAt(index)
	kept := []indexedConfiguration{{index, configuration}}
	for _, indexed := range l.configurations {
		if indexed.index > index {
			kept = append(kept, indexed)
		}
	}
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex = index
	l.snapshotTerm = term
	l.configurations = kept
}

// restore replaces the whole log with a snapshot.
func (l *log) restore(snapshot Snapshot) {
	*l = log{
		snapshotIndex:  snapshot.Index,
		snapshotTerm:   snapshot.Term,
		stable:         snapshot.Index,
		commit:         snapshot.Index,
		applied:        snapshot.Index,
		configurations: []indexedConfiguration{{snapshot.Index, snapshot.Configuration}},
	}
}
