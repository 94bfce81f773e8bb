// Package disk keeps a member of an agreement group on its disk: term, vote and entries in a log of segments, the
// snapshot in a file beside it.
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
	snapshotPrefix  = "snapshot-"
	segmentLength   = 4 << 20
	checksumLength  = 4
	recordOverflow  = 2 // segments before the log is compacted
	entriesOverflow = 2048
)

// record is one record of the log. Set fields apply in their order.
type record struct {
	// Started begins a member's life under an identity; what stood before is void. It is the first record of a disk.
	Started   bool
	ID        string
	Founders  []string
	HardState *agreement.HardState
	// Snapshot is the index whose file replaces the log; all entries in former records are void.
	Snapshot uint64
	Entries  []agreement.Entry
}

// CorruptError tells of a disk whose records contradict each other: not what a loss of power leaves.
type CorruptError struct{ Reason string }

func (e *CorruptError) Error() string { return "agreement log: " + e.Reason }

// Member is the disk of one member of a group.
type Member struct {
	files     segment.Files
	log       *segment.Log
	id        string
	founders  []string
	stored    agreement.Stored
	snapshots []uint64 // indexes of the snapshot files
	named     uint64   // index of the snapshot that the log names: that file is never written over
}

// Identity tells who a member is that starts on an empty disk: one of the founders where there are any, else a newcomer.
type Identity struct {
	ID       string
	Founders []string
}

// Open reads a member's disk; fresh is for an empty one.
func Open(files segment.Files, fresh Identity) (*Member, error) {
	log, err := segment.Open(files, segmentLength)
	if err != nil {
		return nil, err
	}
	member := &Member{files: files, log: log}
	if err := member.open(fresh); err != nil {
		log.Close()
		return nil, err
	}
	return member, nil
}

func (m *Member) open(fresh Identity) error {
	if err := m.listSnapshots(); err != nil {
		return err
	}
	started := false
	err := m.log.Replay(func(_ segment.Position, payload []byte) error {
		var entry record
		if err := msgpack.Unmarshal(payload, &entry); err != nil {
			return &CorruptError{Reason: "record can't be read: " + err.Error()}
		}
		started = started || entry.Started
		return m.apply(&entry)
	})
	if err != nil || started {
		return err
	}
	return m.Begin(fresh)
}

// Begin starts a member's life under an identity; what the disk held of another is void and removed, since its records
// name snapshots that go with it. Where the disk was full it is called again.
func (m *Member) Begin(fresh Identity) error {
	if m.id != "" {
		if err := m.log.Rotate(); err != nil {
			return err
		}
	}
	entry := record{Started: true, ID: fresh.ID, Founders: fresh.Founders}
	if err := m.write(&entry); err != nil {
		return err
	}
	if err := m.apply(&entry); err != nil {
		return err
	}
	return m.removeOld()
}

// removeOld removes what the log's last segment makes void.
func (m *Member) removeOld() error {
	for len(m.log.Segments()) > 1 {
		if err := m.log.RemoveOldest(); err != nil {
			return err
		}
	}
	return m.removeSnapshots()
}

func (m *Member) listSnapshots() error {
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

// Stored is what the member starts from.
func (m *Member) Stored() agreement.Stored { return m.stored }

// ID is the member's identity.
func (m *Member) ID() string { return m.id }

func (m *Member) apply(entry *record) error {
	if entry.Started {
		m.id, m.founders = entry.ID, entry.Founders
		m.stored = agreement.Stored{}
		m.named = 0
		m.stored.Snapshot.Members.Voters = entry.Founders
	}
	if entry.HardState != nil {
		m.stored.HardState = *entry.HardState
	}
	if entry.Snapshot > m.stored.Snapshot.Index {
		snapshot, err := m.readSnapshot(entry.Snapshot)
		if err != nil {
			return err
		}
		m.stored.Snapshot = *snapshot
		m.named = entry.Snapshot
		// A snapshot that was installed replaces the whole log, as it does in memory: entries behind its index followed
		// others than its own.
		m.stored.Entries = nil
	}
	return m.appendEntries(entry.Entries)
}

func (m *Member) appendEntries(entries []agreement.Entry) error {
	for _, entry := range entries {
		first := m.stored.Snapshot.Index + 1
		if entry.Index < first {
			continue
		}
		at := entry.Index - first
		if at > uint64(len(m.stored.Entries)) {
			return &CorruptError{Reason: fmt.Sprintf("entry %d follows %d", entry.Index, first+uint64(len(m.stored.Entries))-1)}
		}
		m.stored.Entries = append(m.stored.Entries[:at], entry)
	}
	return nil
}

func (m *Member) write(entry *record) error {
	payload, err := msgpack.Marshal(entry)
	if err != nil {
		return &CorruptError{Reason: "record can't be written: " + err.Error()}
	}
	if _, err := m.log.Append(payload); err != nil {
		return err
	}
	return m.log.Sync()
}

// Save writes and syncs what a Ready asks for. After an error the member must not go on.
func (m *Member) Save(ready *agreement.Ready) error {
	if !ready.MustSync() {
		return nil
	}
	entry := record{HardState: ready.HardState, Entries: ready.Entries}
	if ready.Snapshot != nil && ready.Snapshot.Index > 0 {
		if err := m.writeSnapshot(ready.Snapshot); err != nil {
			return err
		}
		entry.Snapshot = ready.Snapshot.Index
	}
	if err := m.write(&entry); err != nil {
		return err
	}
	m.named = max(m.named, entry.Snapshot)
	return nil
}

// WantsCompaction tells whether the log has grown enough to be replaced by a snapshot.
func (m *Member) WantsCompaction(entries int) bool {
	return entries > entriesOverflow || len(m.log.Segments()) > recordOverflow
}

// Compact replaces the log by a snapshot and what follows it. Where the disk is full all that it held stands, and the
// member goes on.
func (m *Member) Compact(stored agreement.Stored) error {
	if err := m.writeSnapshot(&stored.Snapshot); err != nil {
		return err
	}
	if err := m.log.Rotate(); err != nil {
		return err
	}
	head := record{Started: true, ID: m.id, Founders: m.founders, HardState: &stored.HardState,
		Snapshot: stored.Snapshot.Index, Entries: stored.Entries}
	if err := m.write(&head); err != nil {
		return err
	}
	m.named = head.Snapshot
	return m.removeOld()
}

// removeSnapshots removes all snapshots but the one that the log names.
func (m *Member) removeSnapshots() error {
	for _, index := range slices.Clone(m.snapshots) {
		if index == m.named {
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

// writeSnapshot writes a snapshot's file. The one that the log names holds the same state already: writing it again
// would leave nothing to start from if that was interrupted.
func (m *Member) writeSnapshot(snapshot *agreement.Snapshot) error {
	if snapshot.Index > 0 && snapshot.Index == m.named {
		return nil
	}
	payload, err := msgpack.Marshal(snapshot)
	if err != nil {
		return &CorruptError{Reason: "snapshot can't be written: " + err.Error()}
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
	if err := m.files.SyncFolder(); err != nil {
		return &segment.FileError{Operation: "sync folder for", Name: name, Err: err}
	}
	return nil
}

func (m *Member) readSnapshot(index uint64) (*agreement.Snapshot, error) {
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
		return nil, &CorruptError{Reason: name + " has another checksum"}
	}
	var snapshot agreement.Snapshot
	if err := msgpack.Unmarshal(payload, &snapshot); err != nil {
		return nil, &CorruptError{Reason: name + ": " + err.Error()}
	}
	return &snapshot, nil
}
