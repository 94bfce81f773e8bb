package record

import (
	"container/heap"

	"granitewing/internal/dispatch"
	"granitewing/logic"
)

// Limits bound what a journal keeps while the store is slow or unavailable.
type Limits struct {
	Messages       int   // messages that are open or not yet durable
	Bytes          int   // total size of their names, keys and results
	Batch          int   // maximum number of records in one write
	MaxAnswerWait  int64 // longest wait of an answer other than a result for its write, microseconds
	DeadlineMargin int64 // time before its deadline at which a result that is not durable is replaced by a failure, microseconds
	MaxKeys        int   // results of keyed messages that are remembered to answer repeats
}

// DefaultLimits are for a dispatcher with 192 MB of memory.
var DefaultLimits = Limits{Messages: 50_000, Bytes: 32 << 20, Batch: 2_000, MaxAnswerWait: 250_000, DeadlineMargin: 5_000, MaxKeys: 20_000}

// Class is what a journal needs to know about a message class.
type Class struct {
	Name   string
	Policy Policy
	Window int64 // microseconds within which a repeated key gets the recorded result; 0 = never
}

// Message describes an accepted message.
type Message struct {
	Name, Key string
	Class     int
	Deadline  int64 // Unix microseconds
}

// Stats are the counters of a journal.
type Stats struct {
	Written    int64 // records in successful writes
	Writes     int64
	Errors     int64 // failed writes
	Lost       int64 // records of Behind classes dropped because a limit was reached
	Unrecorded int64 // answers sent while the store was unavailable or slow, to be written later
	Expired    int64 // results that were not durable by their deadline and were replaced by a failure
	Refused    int64 // messages refused because the store was unavailable or a limit was reached
	Repeated   int64 // repeats answered with a recorded result
}

// entry is a message that is open or not yet durable.
type entry struct {
	id          dispatch.ID // the core's id, valid while the message is open
	rec         Record
	class       int
	policy      Policy
	durableStep uint32 // last step that the store holds
	flightStep  uint32 // step contained in the current write
	queued      bool   // the entry is in Journal.dirty
	heldSends   []heldCommand
	heldAnswer  *heldCommand
	closed      bool // the core has answered the message, or its client disconnected
	replied     bool // the answer has gone to the client, or none is needed any more
	bytes       int
	heapIndex   int // index in Journal.heldAnswers, -1 if absent
}

// answerHeap is a heap of the entries with a held answer, ordered by the time at which the answer must be
// released.
type answerHeap []*entry

func (h answerHeap) Len() int           { return len(h) }
func (h answerHeap) Less(a, b int) bool { return h[a].heldAnswer.releaseAt < h[b].heldAnswer.releaseAt }
func (h answerHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a]; h[a].heapIndex, h[b].heapIndex = a, b }
func (h *answerHeap) Push(x any)        { e := x.(*entry); e.heapIndex = len(*h); *h = append(*h, e) }
func (h *answerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h, e.heapIndex = old[:len(old)-1], -1
	return e
}

// heldCommand is a command that waits until a step is durable.
type heldCommand struct {
	cmd       dispatch.Command
	step      uint32
	releaseAt int64 // when it is released even if the step is not durable; 0 = never
}

// Journal follows the messages of one dispatcher. It decides what has to be written and which commands may be
// carried out. It is not safe for concurrent use.
type Journal struct {
	classes           []Class
	limits            Limits
	Breaker           *Breaker
	nextID            uint64
	open              map[dispatch.ID]*entry
	dirty             []*entry            // in the order of their first unwritten change
	inFlight          []*entry            // contained in the current write
	withHeldSends     map[*entry]struct{} // entries with attempts that are held back
	heldAnswers       answerHeap
	writing           bool
	bytes             int
	repliedNotDurable int // entries that are replied and not yet durable
	keyedResults      map[string]keyedResult
	keyOrder          []string
	stats             Stats
}

type keyedResult struct {
	content []byte
	expires int64
}

// New returns a journal whose records get ids of the given epoch.
func New(classes []Class, epoch uint32, limits Limits, b *Breaker) *Journal {
	return &Journal{classes: classes, limits: limits, Breaker: b, nextID: uint64(epoch) << 32, open: map[dispatch.ID]*entry{},
		withHeldSends: map[*entry]struct{}{}, keyedResults: map[string]keyedResult{}}
}

// Stats returns the counters.
func (j *Journal) Stats() Stats { return j.stats }

// Waiting returns the number of messages that are open or not yet durable.
func (j *Journal) Waiting() int { return len(j.open) + j.repliedNotDurable }

// Admit reports whether a message of a class may be accepted now. A message whose attempts must be durable is
// refused while the store is unavailable; one whose answer or attempts must be durable is refused while a limit of
// the journal is reached. Other classes are always admitted.
func (j *Journal) Admit(class int) bool {
	if j.classes[class].Policy < BeforeAnswer {
		return true
	}
	if j.classes[class].Policy == BeforeSend && j.Breaker.Open() || j.full() {
		j.stats.Refused++
		return false
	}
	return true
}

func (j *Journal) full() bool { return j.Waiting() >= j.limits.Messages || j.bytes >= j.limits.Bytes }

// Repeat returns the recorded result of a key if its window has not passed. now is Unix microseconds.
func (j *Journal) Repeat(now int64, class int, key string) ([]byte, bool) {
	if key == "" || j.classes[class].Window <= 0 {
		return nil, false
	}
	k, known := j.keyedResults[j.classes[class].Name+"\x00"+key]
	if !known || now > k.expires {
		return nil, false
	}
	j.stats.Repeated++
	return k.content, true
}

// Remember keeps a keyed result to answer repeats. A recovery calls it for the results in the store.
func (j *Journal) Remember(class int, key string, content []byte, answered int64) {
	window := j.classes[class].Window
	if key == "" || window <= 0 {
		return
	}
	k := j.classes[class].Name + "\x00" + key
	if _, known := j.keyedResults[k]; !known {
		j.keyOrder = append(j.keyOrder, k)
	}
	j.keyedResults[k] = keyedResult{content, answered + window}
	for len(j.keyOrder) > j.limits.MaxKeys {
		delete(j.keyedResults, j.keyOrder[0])
		j.keyOrder = j.keyOrder[1:]
	}
}

// Accept starts the record of a message that the core has accepted. When a limit is reached, a message of a
// Behind class gets no record and counts as lost.
func (j *Journal) Accept(now int64, id dispatch.ID, m Message) {
	c := j.classes[m.Class]
	if c.Policy == Off {
		return
	}
	if j.full() {
		if c.Policy == Behind {
			j.stats.Lost++
			return
		}
	}
	j.nextID++
	e := &entry{id: id, heapIndex: -1, class: m.Class, policy: c.Policy, bytes: len(m.Name) + len(m.Key) + 200}
	e.rec = Record{ID: j.nextID, Name: m.Name, Key: m.Key, Class: c.Name, Policy: c.Policy.String(), Taken: now, Deadline: m.Deadline}
	j.bytes += e.bytes
	j.open[id] = e
	j.markChanged(e)
}

// markChanged increments the step of a record and queues it for writing.
func (j *Journal) markChanged(e *entry) {
	e.rec.Step++
	if !e.queued {
		e.queued = true
		j.dirty = append(j.dirty, e)
	}
}

// Filter takes the commands that a call of the core returned, records them, and returns the commands that may be
// carried out now, in their order. The others are held until WriteDone, HandleTimers or ReleaseUnavailable returns
// them.
func (j *Journal) Filter(now int64, cmds []dispatch.Command) []dispatch.Command {
	out := make([]dispatch.Command, 0, len(cmds))
	for _, c := range cmds {
		e := j.open[c.Attempt.Message]
		switch {
		case e == nil:
			out = append(out, c)
		case c.Kind == dispatch.Send:
			if j.recordSend(now, c, e) {
				out = append(out, c)
			}
		case c.Kind == dispatch.Drop:
			if !j.recordDrop(now, c, e) {
				out = append(out, c)
			}
		case c.Kind == dispatch.Answer:
			out = j.recordAnswer(now, c, e, out)
		default:
			out = append(out, c)
		}
	}
	return out
}

// recordSend records an attempt and reports whether it may be sent at once.
func (j *Journal) recordSend(now int64, c dispatch.Command, e *entry) bool {
	if len(e.rec.Attempts) < MaxAttempts {
		e.rec.Attempts = append(e.rec.Attempts, Attempt{Host: c.Addr, Sent: now})
	}
	j.markChanged(e)
	if e.policy != BeforeSend {
		return true
	}
	e.heldSends = append(e.heldSends, heldCommand{cmd: c, step: e.rec.Step})
	j.withHeldSends[e] = struct{}{}
	return false
}

// recordDrop records that an attempt was cancelled. It reports whether the attempt was still held, in which case
// nothing was sent.
func (j *Journal) recordDrop(now int64, c dispatch.Command, e *entry) bool {
	held := false
	for i, h := range e.heldSends {
		if h.cmd.Attempt == c.Attempt {
			e.heldSends = append(e.heldSends[:i], e.heldSends[i+1:]...)
			held = true
			j.untrackIfNoSends(e)
			break
		}
	}
	result := ResultCancelled
	if held {
		result = Unsent
	}
	j.recordEnd(now, e, result)
	return held
}

func (j *Journal) untrackIfNoSends(e *entry) {
	if len(e.heldSends) == 0 {
		delete(j.withHeldSends, e)
	}
}

func (j *Journal) recordEnd(now int64, e *entry, result Result) {
	// The core numbers attempts when it decides them. An attempt that the rules forbade never became a command, so
	// the numbers may have gaps. The end is therefore recorded at the last attempt without one. With several open
	// attempts (copies, parts of a gang) that may be another one than the attempt that ended.
	for i := len(e.rec.Attempts) - 1; i >= 0; i-- {
		if a := &e.rec.Attempts[i]; a.Result == Unknown {
			a.Ended, a.Result = max(now, a.Sent), result
			if result.NeverRan() {
				a.Started = false
			}
			j.markChanged(e)
			return
		}
	}
}

// Started records that a host has begun to run an attempt.
func (j *Journal) Started(r dispatch.AttemptID) {
	if e := j.open[r.Message]; e != nil && len(e.rec.Attempts) > 0 {
		if a := &e.rec.Attempts[len(e.rec.Attempts)-1]; a.Result == Unknown && !a.Started {
			a.Started = true
			j.markChanged(e)
		}
	}
}

// Ended records the end of an attempt. It has to be called before the core is notified of the end.
func (j *Journal) Ended(now int64, r dispatch.AttemptID, result logic.Result) {
	if e := j.open[r.Message]; e != nil {
		j.recordEnd(now, e, ResultOf(result))
	}
}

// ClientLeft records that a client disconnected before it was answered. A result that the client will not read does not
// wait for the store.
func (j *Journal) ClientLeft(now int64, id dispatch.ID) {
	e := j.open[id]
	if e == nil {
		return
	}
	if e.heldAnswer == nil && !e.closed {
		e.rec.Verdict, e.rec.Answered = HungUp, max(now, e.rec.Taken)
		j.markChanged(e)
	}
	e.closed = true
	j.markReplied(e)
}

// recordAnswer records the final answer and appends it to out if it need not wait for the store.
func (j *Journal) recordAnswer(now int64, c dispatch.Command, e *entry, out []dispatch.Command) []dispatch.Command {
	if e.closed {
		return out
	}
	e.closed = true
	if len(e.heldSends) > 0 {
		// Attempts that still wait for their record were never sent.
		e.heldSends = nil
		j.untrackIfNoSends(e)
		j.recordEnd(now, e, Unsent)
	}
	e.rec.Answered = max(now, e.rec.Taken)
	switch c.Verdict {
	case dispatch.Served:
		e.rec.Verdict, e.rec.Content = Served, c.Content
		e.bytes += len(c.Content)
		j.bytes += len(c.Content)
	case dispatch.Refused, dispatch.Duplicate:
		e.rec.Verdict = Refused
	default:
		e.rec.Verdict = Failed
	}
	j.markChanged(e)
	if e.policy < BeforeAnswer {
		j.markReplied(e)
		return append(out, c)
	}
	h := heldCommand{cmd: c, step: e.rec.Step, releaseAt: e.rec.Deadline - j.limits.DeadlineMargin}
	if c.Verdict != dispatch.Served {
		h.releaseAt = min(h.releaseAt, now+j.limits.MaxAnswerWait)
		if j.Breaker.Open() {
			// The message has already failed or been refused: answer at once, write the record when the store is back.
			j.stats.Unrecorded++
			e.rec.Note = "answered while the store was gone, written later"
			j.markReplied(e)
			return append(out, c)
		}
	}
	e.heldAnswer = &h
	heap.Push(&j.heldAnswers, e)
	if h.releaseAt <= now {
		return append(out, j.releaseWithoutRecord(e)) // its time has already passed
	}
	return out
}

// markReplied ends the tracking of an open message after its client was answered or left. The entry is kept until
// it is durable.
func (j *Journal) markReplied(e *entry) {
	if e.replied {
		return
	}
	e.replied = true
	if e.heapIndex >= 0 {
		heap.Remove(&j.heldAnswers, e.heapIndex)
	}
	e.heldAnswer, e.heldSends = nil, nil
	delete(j.withHeldSends, e)
	if e.policy != Behind && e.rec.Verdict == Served {
		// A repeat of a keyed message gets the result that was served.
		j.Remember(e.class, e.rec.Key, e.rec.Content, e.rec.Answered)
	}
	delete(j.open, e.id)
	if e.durableStep == e.rec.Step {
		j.bytes -= e.bytes
		return
	}
	j.repliedNotDurable++
}

// Batch returns the records of the next write. It returns nil while a write is in progress, while nothing has
// changed, or while the breaker does not allow a write. Changes in the meantime accumulate for the next write, so
// a slower store gets larger batches.
func (j *Journal) Batch(now int64) []Record {
	if j.writing || len(j.dirty) == 0 || !j.Breaker.MayWrite(now) {
		return nil
	}
	n := min(len(j.dirty), j.limits.Batch)
	j.inFlight = append(j.inFlight[:0], j.dirty[:n]...)
	j.dirty = append(j.dirty[:0], j.dirty[n:]...)
	out := make([]Record, 0, n)
	for _, e := range j.inFlight {
		e.queued, e.flightStep = false, e.rec.Step
		r := e.rec
		r.Attempts = append([]Attempt(nil), e.rec.Attempts...)
		out = append(out, r)
	}
	j.writing = true
	j.Breaker.Begin(now)
	return out
}

// WriteDone takes the result of a write and returns the commands that it releases. changed reports whether the breaker
// opened or closed. After an error it is unknown whether the records were written: they are written again, which
// is harmless if they were.
func (j *Journal) WriteDone(now int64, err error) (out []dispatch.Command, changed bool) {
	j.writing = false
	changed = j.Breaker.End(now, err == nil)
	if err == nil {
		j.stats.Writes++
		j.stats.Written += int64(len(j.inFlight))
	} else {
		j.stats.Errors++
	}
	for _, e := range j.inFlight {
		if err != nil {
			if !e.queued {
				e.queued = true
				j.dirty = append(j.dirty, e)
			}
			continue
		}
		wasReplied := e.replied
		e.durableStep = max(e.durableStep, e.flightStep)
		out = j.releaseDurable(e, out)
		if wasReplied && e.durableStep == e.rec.Step {
			j.bytes -= e.bytes
			j.repliedNotDurable--
		}
	}
	j.inFlight = j.inFlight[:0]
	if err != nil {
		j.shed()
	}
	return out, changed
}

// releaseDurable releases the held commands of an entry whose step is durable.
func (j *Journal) releaseDurable(e *entry, out []dispatch.Command) []dispatch.Command {
	for len(e.heldSends) > 0 && e.heldSends[0].step <= e.durableStep {
		out = append(out, e.heldSends[0].cmd)
		e.heldSends = e.heldSends[1:]
	}
	j.untrackIfNoSends(e)
	if e.heldAnswer != nil && e.heldAnswer.step <= e.durableStep {
		out = append(out, e.heldAnswer.cmd)
		j.markReplied(e)
	}
	return out
}

// shed drops records of Behind classes whose clients have been answered, the oldest first, while a limit is
// reached.
func (j *Journal) shed() {
	if !j.full() {
		return
	}
	kept := j.dirty[:0]
	for _, e := range j.dirty {
		if e.replied && e.policy == Behind && j.full() {
			j.stats.Lost++
			j.bytes -= e.bytes
			j.repliedNotDurable--
			continue
		}
		kept = append(kept, e)
	}
	clear(j.dirty[len(kept):])
	j.dirty = kept
}

// Next returns the time at which HandleTimers has to be called, 0 for never.
func (j *Journal) Next() int64 {
	next := j.Breaker.Next()
	if len(j.heldAnswers) > 0 {
		if until := j.heldAnswers[0].heldAnswer.releaseAt; next == 0 || until < next {
			next = until
		}
	}
	return next
}

// HandleTimers handles expired timers: it opens the breaker if the current write takes too long, and releases answers
// that can't wait any longer. refuse lists messages that were never sent and wait for an unavailable store; the core
// has to refuse them. changed reports whether the breaker opened.
func (j *Journal) HandleTimers(now int64) (out []dispatch.Command, refuse []dispatch.ID, changed bool) {
	changed = j.Breaker.CheckTimeout(now)
	out, refuse = j.ReleaseUnavailable(now)
	for len(j.heldAnswers) > 0 && j.heldAnswers[0].heldAnswer.releaseAt <= now {
		out = append(out, j.releaseWithoutRecord(j.heldAnswers[0]))
	}
	return out, refuse, changed
}

// ReleaseUnavailable releases the commands that must not wait for an unavailable store: it returns the answers other
// than results, and in refuse the messages that the core has to refuse. It does nothing while the breaker is closed.
func (j *Journal) ReleaseUnavailable(now int64) (out []dispatch.Command, refuse []dispatch.ID) {
	if !j.Breaker.Open() {
		return nil, nil
	}
	for e := range j.withHeldSends {
		if !e.closed {
			refuse = append(refuse, e.id)
		}
	}
	for i := 0; i < len(j.heldAnswers); {
		if e := j.heldAnswers[i]; e.heldAnswer.cmd.Verdict != dispatch.Served {
			out = append(out, j.releaseWithoutRecord(e))
			i = 0 // the heap order has changed
			continue
		}
		i++
	}
	return out, refuse
}

// releaseWithoutRecord releases an answer whose record is not durable. A result is replaced by a failure, since a
// result must not be sent before it is durable. Any other answer is sent unchanged.
func (j *Journal) releaseWithoutRecord(e *entry) dispatch.Command {
	cmd := e.heldAnswer.cmd
	if cmd.Verdict == dispatch.Served {
		j.stats.Expired++
		e.rec.Verdict, e.rec.Content = Failed, nil
		e.rec.Note = "the store was too slow: served by a host, answered failed"
		cmd.Verdict, cmd.Content = dispatch.Failed, nil
	} else {
		j.stats.Unrecorded++
		e.rec.Note = "answered while the store was slow, written later"
	}
	j.markChanged(e)
	j.markReplied(e)
	return cmd
}
