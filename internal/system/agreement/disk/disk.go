// Package disk stores the persistent state of one member of a Raft group (package agreement). Term, vote and entries
// are records of a segmented log; a snapshot is a file of its own in the same folder, which a record refers to by its
// index.
//
// Open replays the log and yields a Storage, whose PersistentState is what a node starts with. Save makes the writes of
// a Ready durable, Compact replaces the log by a snapshot, and StartIdentity gives the disk to a new identity. If the
// disk is full, these fail with an error for which segment.IsDiskFull is true, and may be called again once there is
// space. Errors of the file system are of package segment; contradictory or unreadable data is a CorruptError. A
// Storage is not safe for concurrent use.
package disk

import (
	"fmt"
	"hash/crc32"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/segment"
)

const (
	snapshotPrefix = "snapshot-"
	segmentLength  = 4 << 20 // bytes
	checksumLength = 4       // bytes, of the CRC-32 at the end of a snapshot file
	maxSegments    = 2       // a log with more segments should be compacted
	maxEntries     = 2048    // a log with more entries should be compacted
)

// record is one record of the log. It is encoded as a map from the names of its fields, so renaming a field makes stored
// logs unreadable. The fields that are set are applied in the order in which they are listed here.
type record struct {
	// Started marks the start of a log with the member's ID and Founders, the bootstrap members. It invalidates all
	// earlier records. It is set in the first record of an identity, and in the first record that Compact writes.
	Started   bool
	ID        string
	Founders  []string
	HardState *agreement.HardState
	// Snapshot is the index of the snapshot file that replaces the log. It invalidates all entries of earlier records.
	Snapshot uint64
	Entries  []agreement.Entry
}

// CorruptError reports stored data that is unreadable or contradictory. A power loss alone does not cause it.
type CorruptError struct{ Reason string }

func (e *CorruptError) Error() string { return "agreement log: " + e.Reason }

// Storage is the durable storage of one member of a group.
type Storage struct {
	files              segment.Directory
	log                *segment.Log
	id                 string
	bootstrap          []string
	stored             agreement.PersistentState
	snapshots          []uint64 // indexes of the existing snapshot files
	referencedSnapshot uint64   // index of the snapshot that the log refers to: its file is never overwritten
}

// Identity is the identity of a member that starts on an empty disk. Founders, a name that stored logs contain, lists the
// bootstrap members of the group, of which it is one; it is empty for a member that joins an existing group.
type Identity struct {
	ID       string
	Founders []string
}

// Open reads a member's disk. On an empty disk it starts the initial identity. The error is a CorruptError, or one of
// package segment.
func Open(files segment.Directory, initial Identity) (*Storage, error) {
	log, err := segment.Open(files, segmentLength)
	if err != nil {
		return nil, err
	}
	member := &Storage{files: files, log: log}
	if err := member.load(initial); err != nil {
		log.Close()
		return nil, err
	}
	return member, nil
}

// load replays the log and starts the initial identity if the log has none.
func (m *Storage) load(initial Identity) error {
	if err := m.listSnapshots(); err != nil {
		return err
	}
	started := false
	err := m.log.Replay(func(_ segment.Position, payload []byte) error {
		var rec record
		if err := msgpack.Unmarshal(payload, &rec); err != nil {
			return &CorruptError{Reason: "cannot decode record: " + err.Error()}
		}
		started = started || rec.Started
		return m.apply(&rec)
	})
	if err != nil || started {
		return err
	}
	return m.StartIdentity(initial)
}

// StartIdentity starts a new identity on the disk. The state of an earlier identity becomes invalid. Its records are
// removed too, since they refer to snapshots that are removed. If the disk is full, StartIdentity can be called again.
func (m *Storage) StartIdentity(initial Identity) error {
	if m.id != "" {
		if err := m.log.Rotate(); err != nil {
			return err
		}
	}
	rec := record{Started: true, ID: initial.ID, Founders: initial.Founders}
	if err := m.writeRecord(&rec); err != nil {
		return err
	}
	if err := m.apply(&rec); err != nil {
		return err
	}
	return m.removeObsolete()
}

// removeObsolete removes the segments and snapshots that the last segment of the log makes obsolete.
func (m *Storage) removeObsolete() error {
	for len(m.log.Segments()) > 1 {
		if err := m.log.RemoveOldestSegment(); err != nil {
			return err
		}
	}
	return m.removeUnreferencedSnapshots()
}

// listSnapshots collects the indexes of the snapshot files in the folder.
func (m *Storage) listSnapshots() error {
	names, err := m.files.List()
	if err != nil {
		return &segment.FileError{Operation: "list", Name: "agreement folder", Err: err}
	}
	for _, name := range names {
		var index uint64
		if !strings.HasPrefix(name, snapshotPrefix) {
			continue
		}
		if _, err := fmt.Sscanf(name, snapshotPrefix+"%016x", &index); err == nil {
			m.snapshots = append(m.snapshots, index)
		}
	}
	return nil
}

// PersistentState returns the state that was read from the disk, with which the member starts.
func (m *Storage) PersistentState() agreement.PersistentState { return m.stored }

// ID returns the member's identity.
func (m *Storage) ID() string { return m.id }

// apply updates the state by a record that was read or has just been written.
func (m *Storage) apply(rec *record) error {
	if rec.Started {
		m.id, m.bootstrap = rec.ID, rec.Founders
		m.stored = agreement.PersistentState{}
		m.referencedSnapshot = 0
		m.stored.Snapshot.Members.Voters = rec.Founders
	}
	if rec.HardState != nil {
		m.stored.HardState = *rec.HardState
	}
	if rec.Snapshot > m.stored.Snapshot.Index {
		snapshot, err := m.readSnapshot(rec.Snapshot)
		if err != nil {
			return err
		}
		m.stored.Snapshot = *snapshot
		m.referencedSnapshot = rec.Snapshot
		// An installed snapshot replaces the whole log, as it does in memory: entries after its index followed an entry that
		// differs from the snapshot's last one.
		m.stored.Entries = nil
	}
	return m.appendEntries(rec.Entries)
}

// appendEntries appends entries to the state. An entry at an existing index replaces it and all later ones.
func (m *Storage) appendEntries(entries []agreement.Entry) error {
	for _, entry := range entries {
		first := m.stored.Snapshot.Index + 1
		if entry.Index < first {
			continue
		}
		at := entry.Index - first
		if at > uint64(len(m.stored.Entries)) {
			return &CorruptError{Reason: fmt.Sprintf("entry %d follows entry %d", entry.Index, first+uint64(len(m.stored.Entries))-1)}
		}
		m.stored.Entries = append(m.stored.Entries[:at], entry)
	}
	return nil
}

// writeRecord appends a record to the log and syncs it.
func (m *Storage) writeRecord(rec *record) error {
	payload, err := msgpack.Marshal(rec)
	if err != nil {
		return &CorruptError{Reason: "cannot encode record: " + err.Error()}
	}
	if _, err := m.log.Append(payload); err != nil {
		return err
	}
	return m.log.Sync()
}

// Save writes and syncs the hard state, the snapshot and the entries of a Ready. After an error the member must not
// continue; only if the disk is full, the same Ready may be saved again.
func (m *Storage) Save(ready *agreement.Ready) error {
	if !ready.MustSync() {
		return nil
	}
	rec := record{HardState: ready.HardState, Entries: ready.Entries}
	if ready.Snapshot != nil && ready.Snapshot.Index > 0 {
		if err := m.writeSnapshot(ready.Snapshot); err != nil {
			return err
		}
		rec.Snapshot = ready.Snapshot.Index
	}
	if err := m.writeRecord(&rec); err != nil {
		return err
	}
	m.referencedSnapshot = max(m.referencedSnapshot, rec.Snapshot)
	return nil
}

// NeedsCompaction reports whether the log should be replaced by a snapshot, because it has too many segments or, in
// memory, too many entries after the last snapshot.
func (m *Storage) NeedsCompaction(entries int) bool {
	return entries > maxEntries || len(m.log.Segments()) > maxSegments
}

// Compact replaces the log by the snapshot of stored and the entries after it. If the disk is full, everything that was
// stored stays valid and the member can continue.
func (m *Storage) Compact(stored agreement.PersistentState) error {
	if err := m.writeSnapshot(&stored.Snapshot); err != nil {
		return err
	}
	if err := m.log.Rotate(); err != nil {
		return err
	}
	head := record{Started: true, ID: m.id, Founders: m.bootstrap, HardState: &stored.HardState,
		Snapshot: stored.Snapshot.Index, Entries: stored.Entries}
	if err := m.writeRecord(&head); err != nil {
		return err
	}
	m.referencedSnapshot = head.Snapshot
	return m.removeObsolete()
}

// removeUnreferencedSnapshots removes all snapshot files but the one that the log refers to.
func (m *Storage) removeUnreferencedSnapshots() error {
	for _, index := range slices.Clone(m.snapshots) {
		if index == m.referencedSnapshot {
			continue
		}
		name := snapshotName(index)
		if err := m.files.Remove(name); err != nil {
			return &segment.FileError{Operation: "remove", Name: name, Err: err}
		}
		m.snapshots = slices.DeleteFunc(m.snapshots, func(other uint64) bool { return other == index })
	}
	return nil
}

func snapshotName(index uint64) string { return fmt.Sprintf(snapshotPrefix+"%016x", index) }

// writeSnapshot writes and syncs a snapshot file. It skips the one that the log refers to: that file holds the same
// state already, and an interrupted rewrite would leave nothing to start from.
func (m *Storage) writeSnapshot(snapshot *agreement.Snapshot) error {
	if snapshot.Index > 0 && snapshot.Index == m.referencedSnapshot {
		return nil
	}
	payload, err := msgpack.Marshal(snapshot)
	if err != nil {
		return &CorruptError{Reason: "cannot encode snapshot: " + err.Error()}
	}
	sum := crc32.ChecksumIEEE(payload)
	payload = append(payload, byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24))
	name := snapshotName(snapshot.Index)
	file, err := m.files.Create(name)
	if err != nil {
		return &segment.FileError{Operation: "create", Name: name, Err: err}
	}
	defer file.Close()
	if !slices.Contains(m.snapshots, snapshot.Index) {
		m.snapshots = append(m.snapshots, snapshot.Index)
	}
	if _, err := file.Write(payload); err != nil {
		return &segment.FileError{Operation: "write", Name: name, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &segment.FileError{Operation: "sync", Name: name, Err: err}
	}
	if err := m.files.SyncDir(); err != nil {
		return &segment.FileError{Operation: "sync folder for", Name: name, Err: err}
	}
	return nil
}

// readSnapshot reads a snapshot file and verifies its checksum.
func (m *Storage) readSnapshot(index uint64) (*agreement.Snapshot, error) {
	name := snapshotName(index)
	data, err := m.files.ReadFile(name)
	if err != nil {
		return nil, &segment.FileError{Operation: "read", Name: name, Err: err}
	}
	if len(data) < checksumLength {
		return nil, &CorruptError{Reason: name + " is too short"}
	}
	payload, tail := data[:len(data)-checksumLength], data[len(data)-checksumLength:]
	sum := crc32.ChecksumIEEE(payload)
	if tail[0] != byte(sum) || tail[1] != byte(sum>>8) || tail[2] != byte(sum>>16) || tail[3] != byte(sum>>24) {
		return nil, &CorruptError{Reason: name + " has a wrong checksum"}
	}
	var snapshot agreement.Snapshot
	if err := msgpack.Unmarshal(payload, &snapshot); err != nil {
		return nil, &CorruptError{Reason: name + ": " + err.Error()}
	}
	return &snapshot, nil
}
