package agreement

// entryLog is the in-memory log: the latest snapshot and the entries after it.
type entryLog struct {
	snapshotIndex   uint64
	snapshotTerm    uint64
	snapshotData    []byte
	snapshotMembers Membership
	entries         []Entry // entries[0] has index snapshotIndex+1
	committed       uint64  // commit index
	applied         uint64  // last index that Ready has returned as committed
	firstUnwritten  uint64  // first index that Ready has not returned for writing
}

// lastIndex returns the index of the last entry, or of the snapshot if there is none after it.
func (l *entryLog) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

// lastTerm returns the term of the entry at lastIndex.
func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if the log does not hold that entry: it was compacted, or
// index is beyond the end.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Term, true
}

// entriesFrom returns a copy of the entries from index on, at most limit of them. index must be after the snapshot.
func (l *entryLog) entriesFrom(index uint64, limit int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	found := l.entries[index-l.snapshotIndex-1:]
	if len(found) > limit {
		found = found[:limit]
	}
	return append([]Entry(nil), found...)
}

// appendEntries appends entries received from a leader. From the first entry on whose term differs they replace the
// existing ones; committed entries never differ.
func (l *entryLog) appendEntries(entries []Entry) {
	for i, entry := range entries {
		if entry.Index <= l.snapshotIndex {
			continue
		}
		if term, held := l.term(entry.Index); held {
			if term == entry.Term {
				continue
			}
			l.entries = l.entries[:entry.Index-l.snapshotIndex-1]
			l.firstUnwritten = min(l.firstUnwritten, entry.Index)
		}
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(snapshot *Snapshot) {
	l.snapshotIndex, l.snapshotTerm, l.snapshotData = snapshot.Index, snapshot.Term, snapshot.Data
	l.snapshotMembers = snapshot.Members
	l.entries = nil
	l.committed, l.applied = snapshot.Index, snapshot.Index
	l.firstUnwritten = snapshot.Index + 1
}

// compact replaces the entries up to and including index by a snapshot with data. It does nothing if index is not
// applied, or not after the current snapshot.
func (l *entryLog) compact(index uint64, data []byte) {
	term, held := l.term(index)
	if !held || index <= l.snapshotIndex || index > l.applied {
		return
	}
	l.snapshotMembers, _ = l.membership(index)
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex, l.snapshotTerm, l.snapshotData = index, term, data
}

// membership returns the membership as of index upTo, and the index of the entry (or snapshot) that set it.
func (l *entryLog) membership(upTo uint64) (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if entry := &l.entries[i]; entry.Index <= upTo && entry.Members != nil {
			return *entry.Members, entry.Index
		}
	}
	return l.snapshotMembers, l.snapshotIndex
}

// snapshot returns the latest snapshot.
func (l *entryLog) snapshot() Snapshot {
	return Snapshot{Index: l.snapshotIndex, Term: l.snapshotTerm, Data: l.snapshotData, Members: l.snapshotMembers}
}
