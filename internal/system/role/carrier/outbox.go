package carrier

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Bounds of telling the stores about ends.
const (
	endsTimeout = 2 * time.Second
	endsAtOnce  = 512
	maxOutbox   = 100000
)

// owedRecord is an end that a store has to be told, or that was told to its call-back URL.
type owedRecord struct {
	unit *unit
	end  message.End
}

// owedRecords are to be told in order.
type owedRecords struct {
	records []owedRecord
	out     int // number of the first ones, with the call that is out
}

// add gives how many of the oldest were dropped for lack of room. The disk learns their ends from the others that hold the messages, and call-backs
// that it takes for owed are made again by who lists them there.
func (o *owedRecords) add(record owedRecord) (dropped int) {
	if len(o.records) >= maxOutbox {
		dropped = maxOutbox / 2
		o.forget(dropped)
	}
	record.unit.unrecorded++
	o.records = append(o.records, record)
	return dropped
}

// DroppedError tells of records that a disk was owed for so long that there is no room for them.
type DroppedError struct {
	Disk  string
	Count int
}

func (e *DroppedError) Error() string { return fmt.Sprintf("disk %s: %d records", e.Disk, e.Count) }

// begin gives the first ones, and counts them as being out.
func (o *owedRecords) begin() []owedRecord {
	o.out = min(len(o.records), endsAtOnce)
	return o.records[:o.out]
}

// forget takes the first records out.
func (o *owedRecords) forget(count int) {
	for _, record := range o.records[:count] {
		record.unit.unrecorded--
	}
	o.records = append([]owedRecord(nil), o.records[count:]...)
	o.out = max(0, o.out-count)
}

// takeAll takes all records out, those with a call that is out among them.
func (o *owedRecords) takeAll() []owedRecord {
	records := o.records
	for _, record := range records {
		record.unit.unrecorded--
	}
	o.records, o.out = nil, 0
	return records
}

// outbox is what a store has to be told, until it has answered. Ends go first: a store has to know an end before it can
// know that it was told.
type outbox struct {
	ends      owedRecords
	callbacks owedRecords
	busy      bool
}

func (s *storage) box(disk string) *outbox {
	box := s.boxes[disk]
	if box == nil {
		box = &outbox{}
		s.boxes[disk] = box
	}
	return box
}

// recipients gives the disks to tell about a message: those that hold it. Where one of these does not count, is leaving or is out of the roster,
// others were given copies of what lay on it, and all that count are told. So they are where too few are known to hold it: an end has to lie on as
// many disks as its message, or who hears all but those that may be lost might not hear of it.
func (s *storage) recipients(holders []string) []string {
	view := s.core.session.View()
	counted := s.counted()
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

// counted gives the disks of the roster that count.
func (s *storage) counted() []string {
	var disks []string
	for disk := range ordered.Map(s.core.session.View().Counted()) {
		disks = append(disks, disk)
	}
	return disks
}

// followRoster tells all disks that count what those that are out of the roster have not taken.
func (s *storage) followRoster() {
	view := s.core.session.View()
	if len(s.counted()) == 0 {
		return // the roster is not known
	}
	for disk, box := range ordered.Map(s.boxes) {
		if _, there := view.Disks[disk]; there {
			continue
		}
		ends, callbacks := box.ends.takeAll(), box.callbacks.takeAll()
		delete(s.boxes, disk)
		delete(s.calls, disk)
		for _, record := range ends {
			s.recordEnd(record.unit, s.counted(), record.end)
		}
		for _, record := range callbacks {
			s.recordCallback(record.unit, s.counted(), record.end.ID)
		}
	}
}

// recordEnd tells the holders about an end of a unit.
func (s *storage) recordEnd(u *unit, holders []string, end message.End) {
	for _, disk := range s.recipients(holders) {
		s.owe(disk, &s.box(disk).ends, owedRecord{unit: u, end: end})
	}
}

// owe has a disk be told of a record.
func (s *storage) owe(disk string, records *owedRecords, record owedRecord) {
	if dropped := records.add(record); dropped > 0 {
		s.core.env.Report("records that a disk is owed are dropped", &DroppedError{Disk: disk, Count: dropped})
	}
	s.flush(disk)
}

// spreadEnds tells all disks that count the ends that some disk has not taken: it may not come back in time. A disk that knows one already passes it
// over.
func (s *storage) spreadEnds() {
	if s.spread {
		return
	}
	s.spread = true
	lacking := map[string]owedRecord{}
	for _, box := range s.boxes {
		for _, record := range box.ends.records {
			lacking[record.end.ID] = record
		}
	}
	for _, record := range ordered.Map(lacking) {
		for _, disk := range s.counted() {
			s.owe(disk, &s.box(disk).ends, record)
		}
	}
}

// recordCallback tells the holders that an end of a unit was told.
func (s *storage) recordCallback(u *unit, holders []string, id string) {
	for _, disk := range s.recipients(holders) {
		s.owe(disk, &s.box(disk).callbacks, owedRecord{unit: u, end: message.End{ID: id}})
	}
}

func (s *storage) up(address string) {
	for disk := range ordered.Map(s.boxes) {
		if s.address(disk) == address {
			s.flush(disk)
		}
	}
}

func (s *storage) flushAll() {
	for disk := range ordered.Map(s.boxes) {
		s.flush(disk)
	}
}

// flush sends what a store lacks; one call is out at a time, and what gathers meanwhile goes with the next.
func (s *storage) flush(disk string) {
	box := s.box(disk)
	if box.busy || !s.isUp(disk) {
		return
	}
	switch {
	case len(box.ends.records) > 0:
		var body wire.EndsBody
		for _, record := range box.ends.begin() {
			body.Ends = append(body.Ends, record.end)
		}
		s.send(disk, box, wire.PutEnds, wire.Encode(&body), &box.ends)
	case len(box.callbacks.records) > 0:
		var body wire.CallbackDoneBody
		for _, record := range box.callbacks.begin() {
			body.IDs = append(body.IDs, record.end.ID)
		}
		s.send(disk, box, wire.CallbackDone, wire.Encode(&body), &box.callbacks)
	}
}

func (s *storage) send(disk string, box *outbox, kind wire.Kind, payload []byte, records *owedRecords) {
	box.busy = true
	s.core.env.Call(s.address(disk), kind, payload, endsTimeout, func(_ []byte, err error) {
		box.busy = false
		if err != nil {
			return // housekeeping or a new connection tries again
		}
		records.forget(records.out)
		s.flush(disk)
	})
}

// unwritten is the number of records that some store has not taken, of stores that are there.
func (s *storage) unwritten() int {
	count := 0
	for _, box := range s.boxes {
		count += len(box.ends.records) + len(box.callbacks.records)
	}
	return count
}
