package carrier

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Limits of sending outcomes to the stores.
const (
	outcomesTimeout    = 2 * time.Second
	maxOutcomesPerCall = 512
	maxOutbox          = 100000
)

// pendingRecord is an outcome that a store has to record, or the fact that a call-back for it was made.
type pendingRecord struct {
	unit    *unit
	outcome message.Outcome
}

// recordQueue holds a disk's pending records, which are sent in order.
type recordQueue struct {
	records  []pendingRecord
	inFlight int // number of records, from the front, in the current call
}

// add appends a record. If the queue is full, it drops the oldest half and returns its size. The disk gets the
// dropped outcomes from the other disks that hold the messages. Call-backs that it considers due are made again by
// the carrier that lists them there.
func (o *recordQueue) add(record pendingRecord) (dropped int) {
	if len(o.records) >= maxOutbox {
		dropped = maxOutbox / 2
		o.removeFirst(dropped)
	}
	record.unit.unrecorded++
	o.records = append(o.records, record)
	return dropped
}

// RecordsDroppedError reports that the queue of records for a disk was full and its oldest records were dropped.
type RecordsDroppedError struct {
	Disk  string
	Count int
}

func (e *RecordsDroppedError) Error() string {
	return fmt.Sprintf("disk %s: %d records dropped", e.Disk, e.Count)
}

// nextBatch returns the first records and marks them as in flight.
func (o *recordQueue) nextBatch() []pendingRecord {
	o.inFlight = min(len(o.records), maxOutcomesPerCall)
	return o.records[:o.inFlight]
}

// removeFirst removes the first records.
func (o *recordQueue) removeFirst(count int) {
	for _, record := range o.records[:count] {
		record.unit.unrecorded--
	}
	o.records = append([]pendingRecord(nil), o.records[count:]...)
	o.inFlight = max(0, o.inFlight-count)
}

// takeAll removes and returns all records, including those in flight.
func (o *recordQueue) takeAll() []pendingRecord {
	records := o.records
	for _, record := range records {
		record.unit.unrecorded--
	}
	o.records, o.inFlight = nil, 0
	return records
}

// outbox holds what a store has to record until the store has acknowledged it. Outcomes are sent first: a store
// has to know an outcome before it can record that its call-back was made.
type outbox struct {
	outcomes     recordQueue
	callbacks    recordQueue
	callInFlight bool
}

func (s *storage) outbox(disk string) *outbox {
	box := s.outboxes[disk]
	if box == nil {
		box = &outbox{}
		s.outboxes[disk] = box
	}
	return box
}

// recipients returns the disks that record something about a message: normally the disks that hold it. If one of
// these does not count toward the write quorum, is leaving or is no longer in the roster, other disks were given
// copies of its messages, so all counting disks are returned. They are also returned if too few disks are known to
// hold the message: an outcome has to be on as many disks as its message, or a reader of all disks except those
// that may be lost could miss it.
func (s *storage) recipients(holders []string) []string {
	view := s.core.session.View()
	counted := s.votingDisks()
	if len(counted) == 0 {
		return holders
	}
	for _, disk := range holders {
		if entry := view.Disks[disk]; !entry.Counted || entry.Leaving {
			return counted
		}
	}
	if !s.core.enough(holders) {
		return counted
	}
	return holders
}

// votingDisks returns the disks of the roster that count toward the write quorum.
func (s *storage) votingDisks() []string {
	var disks []string
	for disk := range ordered.Map(s.core.session.View().QuorumDisks()) {
		disks = append(disks, disk)
	}
	return disks
}

// followRoster sends the records that disks outside the roster have not acknowledged to all counting disks.
func (s *storage) followRoster() {
	view := s.core.session.View()
	if len(s.votingDisks()) == 0 {
		return // the roster is not known
	}
	for disk, box := range ordered.Map(s.outboxes) {
		if _, ok := view.Disks[disk]; ok {
			continue
		}
		outcomes, callbacks := box.outcomes.takeAll(), box.callbacks.takeAll()
		delete(s.outboxes, disk)
		delete(s.putStates, disk)
		for _, record := range outcomes {
			s.recordOutcome(record.unit, s.votingDisks(), record.outcome)
		}
		for _, record := range callbacks {
			s.recordCallback(record.unit, s.votingDisks(), record.outcome.ID)
		}
	}
}

// recordOutcome sends the outcome of a message of a unit to the disks that hold the message.
func (s *storage) recordOutcome(u *unit, holders []string, outcome message.Outcome) {
	for _, disk := range s.recipients(holders) {
		s.enqueue(disk, &s.outbox(disk).outcomes, pendingRecord{unit: u, outcome: outcome})
	}
}

// enqueue adds a record to a disk's outbox and starts sending.
func (s *storage) enqueue(disk string, records *recordQueue, record pendingRecord) {
	if dropped := records.add(record); dropped > 0 {
		s.core.env.LogWarning("outbox of a disk is full, oldest records dropped", &RecordsDroppedError{Disk: disk, Count: dropped})
	}
	s.flush(disk)
}

// spreadOutcomes sends the outcomes that some disk has not acknowledged to all counting disks, since that disk may
// not return in time. A disk that has an outcome already ignores it.
func (s *storage) spreadOutcomes() {
	if s.outcomesSpread {
		return
	}
	s.outcomesSpread = true
	lacking := map[string]pendingRecord{}
	for _, box := range s.outboxes {
		for _, record := range box.outcomes.records {
			lacking[record.outcome.ID] = record
		}
	}
	for _, record := range ordered.Map(lacking) {
		for _, disk := range s.votingDisks() {
			s.enqueue(disk, &s.outbox(disk).outcomes, record)
		}
	}
}

// recordCallback reports to the disks that hold a message that its call-back is done.
func (s *storage) recordCallback(u *unit, holders []string, id string) {
	for _, disk := range s.recipients(holders) {
		s.enqueue(disk, &s.outbox(disk).callbacks, pendingRecord{unit: u, outcome: message.Outcome{ID: id}})
	}
}

func (s *storage) peerUp(address string) {
	for disk := range ordered.Map(s.outboxes) {
		if s.address(disk) == address {
			s.flush(disk)
		}
	}
}

func (s *storage) flushAll() {
	for disk := range ordered.Map(s.outboxes) {
		s.flush(disk)
	}
}

// flush sends the records that a store lacks. One call is in flight at a time; records added meanwhile go with the
// next.
func (s *storage) flush(disk string) {
	box := s.outbox(disk)
	if box.callInFlight || !s.isUp(disk) {
		return
	}
	switch {
	case len(box.outcomes.records) > 0:
		var body wire.OutcomesBody
		for _, record := range box.outcomes.nextBatch() {
			body.Outcomes = append(body.Outcomes, record.outcome)
		}
		s.send(disk, box, wire.PutOutcomes, wire.Encode(&body), &box.outcomes)
	case len(box.callbacks.records) > 0:
		var body wire.CallbackDoneBody
		for _, record := range box.callbacks.nextBatch() {
			body.IDs = append(body.IDs, record.outcome.ID)
		}
		s.send(disk, box, wire.CallbackDone, wire.Encode(&body), &box.callbacks)
	}
}

func (s *storage) send(disk string, box *outbox, kind wire.Kind, payload []byte, records *recordQueue) {
	box.callInFlight = true
	s.core.env.Call(s.address(disk), kind, payload, outcomesTimeout, func(_ []byte, err error) {
		box.callInFlight = false
		if err != nil {
			return // housekeeping or a new connection tries again
		}
		records.removeFirst(records.inFlight)
		s.flush(disk)
	})
}

// unrecorded returns the number of records that some store in the roster has not acknowledged.
func (s *storage) unrecorded() int {
	count := 0
	for _, box := range s.outboxes {
		count += len(box.outcomes.records) + len(box.callbacks.records)
	}
	return count
}
