package store

import (
	"time"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/wire"
)

// bench is a store on a folder, with a clock that the test moves.
type bench struct {
	path string
	core *Core
	log  *segment.Log
	now  time.Duration
	full bool // the disk takes no more bytes
	// unsynced leaves syncs out, for plays of many steps in which no power is lost.
	unsynced bool
}

func (b *bench) open(bootstrap bool) {
	folder, err := segment.OpenFolder(b.path)
	Expect(err).NotTo(HaveOccurred())
	b.log, err = segment.Open(folder, 8<<10)
	Expect(err).NotTo(HaveOccurred())
	b.core = New(Options{Status: 120 * time.Second, DiskBytes: 160 << 10}, b.log, b.now)
	Expect(b.log.Replay(b.core.Load)).To(Succeed())
	b.core.Start(bootstrap, "disk-1")
	b.flush()
}

func (b *bench) flush() {
	if b.full {
		b.core.Full(b.core.Take())
		return
	}
	batch := b.core.Take()
	var positions []segment.Position
	if len(batch.Payloads) > 0 {
		var err error
		positions, err = b.log.Append(batch.Payloads...)
		Expect(err).NotTo(HaveOccurred())
		if !b.unsynced {
			Expect(b.log.Sync()).To(Succeed())
		}
	}
	b.core.Synced(b.now, batch, positions)
}

// clean empties old segments and removes those that are, as the store's driver does; it gives how many were removed.
func (b *bench) clean() int {
	Expect(b.core.Clean(b.log.Segments())).To(Succeed())
	b.flush()
	removable := b.core.Removable(b.log.Segments())
	for _, number := range removable {
		Expect(b.log.RemoveOldest()).To(Succeed())
		b.core.Removed(number)
	}
	return len(removable)
}

func (b *bench) pass(wait time.Duration) {
	b.now += wait
	b.core.Time(b.now)
	b.flush()
}

func newMessage(id string) *message.Message {
	return &message.Message{ID: id, Unit: "u", Method: "POST", Target: "/x", Body: []byte("body of " + id), Retention: 90 * time.Second}
}

func (b *bench) put(id string) (refusal *wire.RefusalBody) {
	answered := false
	b.core.Put(newMessage(id), b.core.Epoch(), func(r *wire.RefusalBody) { refusal, answered = r, true })
	b.flush()
	Expect(answered).To(BeTrue())
	return refusal
}

func (b *bench) void(id string) (refusal *wire.RefusalBody) {
	b.core.Void(id, func(r *wire.RefusalBody) { refusal = r })
	b.flush()
	return refusal
}

func (b *bench) end(id string, phase message.Phase) {
	b.core.Ends([]message.End{{ID: id, Phase: phase, Stamp: "stamp"}}, func() {})
	b.flush()
}

func (b *bench) listed() []string {
	var ids []string
	body := wire.ListBody{Unit: "u"}
	for {
		answer, err := b.core.List(body)
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

func (b *bench) find(id string) wire.FindAnswer {
	answer, err := b.core.Find(wire.FindBody{ID: id, WithBody: true})
	Expect(err).NotTo(HaveOccurred())
	return answer
}

// copyTo copies messages to another store, part by part as calls do, and gives how many there were.
func (b *bench) copyTo(other *bench, ids []string) int {
	count := 0
	for rest := ids; ; {
		copies, err := b.core.Copies(rest)
		Expect(err).NotTo(HaveOccurred())
		other.core.TakeCopy(copies.Messages)
		other.flush()
		count += len(copies.Messages)
		if !copies.More {
			return count
		}
		rest = rest[len(copies.Messages):]
	}
}
