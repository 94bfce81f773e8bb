package store

import (
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/wire"
)

// fixture is a store on a directory of its own, with a clock that the test advances.
type fixture struct {
	path string
	core *Core
	log  *segment.Log
	now  time.Duration
	full bool // writes fail as on a full disk
	// skipSync leaves out syncs, for runs of many steps without a power failure.
	skipSync bool
}

func (f *fixture) open(bootstrap bool) {
	folder, err := segment.OpenDirectory(f.path)
	Expect(err).NotTo(HaveOccurred())
	f.log, err = segment.Open(folder, 8<<10)
	Expect(err).NotTo(HaveOccurred())
	f.core = New(Options{StatusTime: 120 * time.Second, DiskBytes: 160 << 10}, f.log, f.now)
	Expect(f.log.Replay(f.core.Load)).To(Succeed())
	f.core.Start(bootstrap, "disk-1")
	f.flush()
}

func (f *fixture) flush() {
	if f.full {
		f.core.DiskFull(f.core.TakeBatch())
		return
	}
	batch := f.core.TakeBatch()
	var positions []segment.Position
	if len(batch.Payloads) > 0 {
		var err error
		positions, err = f.log.Append(batch.Payloads...)
		Expect(err).NotTo(HaveOccurred())
		if !f.skipSync {
			Expect(f.log.Sync()).To(Succeed())
		}
	}
	f.core.BatchSynced(f.now, batch, positions)
}

// clean cleans old segments and removes those that are clean, as the store's driver does. It returns how many were
// removed.
func (f *fixture) clean() int {
	Expect(f.core.Clean(f.log.Segments())).To(Succeed())
	f.flush()
	removable := f.core.RemovableSegments(f.log.Segments())
	for _, number := range removable {
		Expect(f.log.RemoveOldestSegment()).To(Succeed())
		f.core.SegmentRemoved(number)
	}
	return len(removable)
}

func (f *fixture) advance(wait time.Duration) {
	f.now += wait
	f.core.SetTime(f.now)
	f.flush()
}

func newMessage(id string) *message.Message {
	return &message.Message{ID: id, Unit: "u", Method: "POST", Target: "/x", Body: []byte("body of " + id), Retention: 90 * time.Second}
}

func (f *fixture) put(id string) (refusal *wire.RefusalBody) {
	answered := false
	f.core.Put(newMessage(id), f.core.RosterEpoch(), func(r *wire.RefusalBody) { refusal, answered = r, true })
	f.flush()
	Expect(answered).To(BeTrue())
	return refusal
}

func (f *fixture) void(id string) (refusal *wire.RefusalBody) {
	f.core.Cancel(id, func(r *wire.RefusalBody) { refusal = r })
	f.flush()
	return refusal
}

func (f *fixture) complete(id string, phase message.Phase) {
	f.core.PutOutcomes([]message.Outcome{{ID: id, Phase: phase, Stamp: "stamp"}}, func() {})
	f.flush()
}

func (f *fixture) listed() []string {
	var ids []string
	body := wire.ListBody{Unit: "u"}
	for {
		answer, err := f.core.List(body)
		Expect(err).NotTo(HaveOccurred())
		for _, m := range answer.Messages {
			Expect(string(m.Message.Body)).To(Equal("body of " + m.Message.ID))
			ids = append(ids, m.Message.ID)
		}
		if !answer.More {
			return ids
		}
		body.After = answer.Next
	}
}

func (f *fixture) find(id string) wire.FindAnswer {
	answer, err := f.core.Find(wire.FindBody{ID: id, WithBody: true})
	Expect(err).NotTo(HaveOccurred())
	return answer
}

// copyTo copies messages to another store, part by part as calls do, and returns how many there were.
func (f *fixture) copyTo(other *fixture, ids []string) int {
	count := 0
	for rest := ids; ; {
		copies, err := f.core.Copies(rest)
		Expect(err).NotTo(HaveOccurred())
		other.core.AddCopies(copies.Messages)
		other.flush()
		count += len(copies.Messages)
		if !copies.More {
			return count
		}
		rest = rest[len(copies.Messages):]
	}
}
