package agreement

// entryLog holds the entries behind the snapshot.
type entryLog struct {
	snapshotIndex uint64
	snapshotTerm  uint64
	snapshotData  []byte
	snapshotGroup Membership
	entries       []Entry // entries[0] has index snapshotIndex+1
	committed     uint64
	applied       uint64
	unstable      uint64 // first index that has not been handed out for writing
}

func (l *entryLog) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term of an index, false where the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Term, true
}

func (l *entryLog) from(index uint64, most int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	found := l.entries[index-l.snapshotIndex-1:]
	if len(found) > most {
		found = found[:most]
	}
	return append([]Entry(nil), found...)
}

// appendEntries takes a leader's entries, replacing what differs. Committed entries never differ.
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
			l.unstable = min(l.unstable, entry.Index)
		}
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

// restore replaces everything by a snapshot.
func (l *entryLog) restore(snapshot *Snapshot) {
	l.snapshotIndex, l.snapshotTerm, l.snapshotData = snapshot.Index, snapshot.Term, snapshot.Data
	l.snapshotGroup = snapshot.Members
	l.entries = nil
	l.committed, l.applied = snapshot.Index, snapshot.Index
	l.unstable = snapshot.Index + 1
}

// compact drops the entries up to an applied index, for which data is the state.
func (l *entryLog) compact(index uint64, data []byte) {
	term, held := l.term(index)
	if !held || index <= l.snapshotIndex || index > l.applied {
		return
	}
	l.snapshotGroup, _ = l.membership(index)
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex, l.snapshotTerm, l.snapshotData = index, term, data
}

// membership is the group as of an index, and the index of the entry that made it so.
func (l *entryLog) membership(upTo uint64) (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if entry := &l.entries[i]; entry.Index <= upTo && entry.Members != nil {
			return *entry.Members, entry.Index
		}
	}
	return l.snapshotGroup, l.snapshotIndex
}

func (l *entryLog) snapshot() Snapshot {
	return Snapshot{Index: l.snapshotIndex, Term: l.snapshotTerm, Data: l.snapshotData, Members: l.snapshotGroup}
}
