package store

import (
	"granitewing/internal/system/segment"
	"time"
)

// pendingRecord is a record of the batch that is being gathered, and what happens once it is synced.
type pendingRecord struct {
	payload []byte
	synced  func(position segment.Position)
	refused func() // of records that need not be kept where the disk is full
}

func (c *Core) append(r record, synced func(segment.Position)) {
	c.batch = append(c.batch, pendingRecord{payload: c.encode(r), synced: synced})
}

func (c *Core) encode(r record) []byte {
	if r.At == 0 {
		r.At = c.now
	}
	c.clock.written = max(c.clock.written, r.At)
	return r.encode()
}

// Full tells that a batch found no room on the disk. New messages are refused; what is known of others is kept, with its
// answers, for the next batch.
func (c *Core) Full(batch *Batch) {
	var kept []pendingRecord
	for _, r := range batch.records {
		if r.refused != nil {
			r.refused()
			continue
		}
		kept = append(kept, r)
	}
	c.batch = append(kept, c.batch...)
	c.answers = append(batch.answers, c.answers...)
}

// Waiting tells whether a batch has gathered.
func (c *Core) Waiting() bool { return len(c.batch) > 0 || len(c.answers) > 0 }

// Batch is records that are written and synced together, and answers that go out after that.
type Batch struct {
	Payloads [][]byte
	records  []pendingRecord
	answers  []func()
	epoch    uint64 // that the store followed when the batch was taken
}

// Take gives the batch that has gathered.
func (c *Core) Take() *Batch {
	batch := &Batch{records: c.batch, answers: c.answers, epoch: c.epoch}
	for _, r := range batch.records {
		batch.Payloads = append(batch.Payloads, r.payload)
	}
	c.batch, c.answers = nil, nil
	return batch
}

// Synced tells that a batch lies on the disk.
func (c *Core) Synced(now time.Duration, batch *Batch, positions []segment.Position) {
	c.now = c.clock.read(now)
	for i, r := range batch.records {
		c.count(positions[i], r.payload)
		if r.synced != nil {
			r.synced(positions[i])
		}
	}
	c.settled = batch.epoch
	for _, answer := range batch.answers {
		answer()
	}
}
