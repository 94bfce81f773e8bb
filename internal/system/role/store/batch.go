package store

import (
	"granitewing/internal/system/segment"
	"time"
)

// pendingRecord is a record of the batch being gathered, with what to do once it is synced or if the disk is full.
type pendingRecord struct {
	payload    []byte
	onSynced   func(position segment.Position)
	onDiskFull func() // if not nil, the record is dropped when the disk is full, and this is called
}

func (c *Core) append(r record, synced func(segment.Position)) {
	c.batch = append(c.batch, pendingRecord{payload: c.encode(r), onSynced: synced})
}

func (c *Core) encode(r record) []byte {
	if r.At == 0 {
		r.At = c.now
	}
	c.clock.lastWritten = max(c.clock.lastWritten, r.At)
	return r.encode()
}

// DiskFull reports that a batch did not fit on the disk. Records with an onDiskFull callback are dropped, which refuses
// new messages. The other records and the answers are kept for the next batch.
func (c *Core) DiskFull(batch *Batch) {
	var kept []pendingRecord
	for _, r := range batch.records {
		if r.onDiskFull != nil {
			r.onDiskFull()
			continue
		}
		kept = append(kept, r)
	}
	c.batch = append(kept, c.batch...)
	c.answers = append(batch.answers, c.answers...)
}

// HasBatch reports whether records or answers wait to be taken as a batch.
func (c *Core) HasBatch() bool { return len(c.batch) > 0 || len(c.answers) > 0 }

// Batch is a set of records that are written and synced together, and of answers that are sent after the sync.
type Batch struct {
	// Payloads are the encoded records, to be appended to the log in this order.
	Payloads [][]byte
	records  []pendingRecord
	answers  []func()
	epoch    uint64 // of the roster that the store followed when the batch was taken
}

// TakeBatch returns the gathered batch and begins a new one.
func (c *Core) TakeBatch() *Batch {
	batch := &Batch{records: c.batch, answers: c.answers, epoch: c.epoch}
	for _, r := range batch.records {
		batch.Payloads = append(batch.Payloads, r.payload)
	}
	c.batch, c.answers = nil, nil
	return batch
}

// BatchSynced reports that a batch is durable on disk, at one position for each payload. It calls the callbacks of the
// records and sends the answers.
func (c *Core) BatchSynced(now time.Duration, batch *Batch, positions []segment.Position) {
	c.now = c.clock.timeAt(now)
	for i, r := range batch.records {
		c.addSize(positions[i], r.payload)
		if r.onSynced != nil {
			r.onSynced(positions[i])
		}
	}
	c.syncedEpoch = batch.epoch
	for _, answer := range batch.answers {
		answer()
	}
}
