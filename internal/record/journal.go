package record

import (
	"container/heap"

	"granitewing/internal/memory"
	"granitewing/logic"
)

// Limits bound what a journal keeps while the store is slow or gone.
type Limits struct {
	Messages int   // open or not yet durable
	Bytes    int   // of their names, keys and results
	Batch    int   // records of one write
	Hold     int64 // microseconds that an answer other than a result waits for its write at most
	Margin   int64 // before a deadline a result that is not durable gives way to a failure
	Keys     int   // results of keyed messages that are remembered for repeats
}

// DefaultLimits are for a dispatcher of 192 MB.
var DefaultLimits = Limits{Messages: 50_000, Bytes: 32 << 20, Batch: 2_000, Hold: 250_000, Margin: 5_000, Keys: 20_000}

// Class is what a journal needs to know of a class.
type Class struct {
	Name   string
	Policy Policy
	Window int64 // microseconds within which a repeated key is given the recorded result; 0 = never
}

// Message is a message as it was taken.
type Message struct {
	Name, Key string
	Class     int
	Deadline  int64 // Unix microseconds
}

// Stats count what a journal did.
type Stats struct {
	Written    int64 // records in writes that succeeded
	Writes     int64
	Errors     int64 // writes that failed
	Lost       int64 // records of Behind classes dropped at a bound
	Unrecorded int64 // answers given while the store was gone, to be written later
	Overtaken  int64 // results that were not durable by their deadline and gave way to a failure
	Refused    int64 // messages refused because the store was gone
	Repeated   int64 // repeats answered from the record
}

// entry is a message that is open or not yet durable.
type entry struct {
	id      memory.ID // the core's, while it is open
	rec     Record
	class   int
	policy  Policy
	durable uint32 // step that the store has
	asked   uint32 // step in the write under way
	queued  bool   // in dirty
	sends   []hold
	answer  *hold
	over    bool // the core has answered it, or its client left
	told    bool // the client has its answer
	bytes   int
	place   int // in waits, -1 for none
}

// waits are the answers that are held, the one that is let go first at the top.
type waits []*entry

func (w waits) Len() int           { return len(w) }
func (w waits) Less(a, b int) bool { return w[a].answer.until < w[b].answer.until }
func (w waits) Swap(a, b int)      { w[a], w[b] = w[b], w[a]; w[a].place, w[b].place = a, b }
func (w *waits) Push(x any)        { e := x.(*entry); e.place = len(*w); *w = append(*w, e) }
func (w *waits) Pop() any {
	old := *w
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*w, e.place = old[:len(old)-1], -1
	return e
}

// hold is a command that waits for a step to be durable.
type hold struct {
	cmd   memory.Command
	step  uint32
	until int64 // when it is let go whatever the store does; 0 for never
}

// Journal follows messages and says what is to be written and which commands may go. Not for two goroutines at once.
type Journal struct {
	classes []Class
	limits  Limits
	Breaker *Breaker
	next    uint64
	open    map[memory.ID]*entry
	dirty   []*entry            // in the order of their first change
	flight  []*entry            // in the write under way
	held    map[*entry]struct{} // with sendings that wait
	waits   waits
	writing bool
	bytes   int
	retired int // told, and not yet durable
	keys    map[string]keyed
	order   []string
	stats   Stats
}

type keyed struct {
	content []byte
	until   int64
}

// New makes a journal whose records get ids of an epoch.
func New(classes []Class, epoch uint32, limits Limits, b *Breaker) *Journal {
	return &Journal{classes: classes, limits: limits, Breaker: b, next: uint64(epoch) << 32, open: map[memory.ID]*entry{},
		held: map[*entry]struct{}{}, keys: map[string]keyed{}}
}

// Stats gives the counts.
func (j *Journal) Stats() Stats { return j.stats }

// Waiting is how many messages are open or not yet durable.
func (j *Journal) Waiting() int { return len(j.open) + j.retired }

// Admit tells whether a message of a class may be taken now. One that must be durable before it is sent may not while
// the store is gone, or while too much waits for it.
func (j *Journal) Admit(class int) bool {
	if j.classes[class].Policy < Told {
		return true
	}
	if j.classes[class].Policy == Before && j.Breaker.Open() || j.full() {
		j.stats.Refused++
		return false
	}
	return true
}

func (j *Journal) full() bool { return j.Waiting() >= j.limits.Messages || j.bytes >= j.limits.Bytes }

// Repeat gives the recorded result of a key, if its window has not passed.
func (j *Journal) Repeat(now int64, class int, key string) ([]byte, bool) {
	if key == "" || j.classes[class].Window <= 0 {
		return nil, false
	}
	k, known := j.keys[j.classes[class].Name+"\x00"+key]
	if !known || now > k.until {
		return nil, false
	}
	j.stats.Repeated++
	return k.content, true
}

// Remember keeps a keyed result for repeats. A recovery calls it with what the store holds.
func (j *Journal) Remember(class int, key string, content []byte, answered int64) {
	window := j.classes[class].Window
	if key == "" || window <= 0 {
		return
	}
	k := j.classes[class].Name + "\x00" + key
	if _, known := j.keys[k]; !known {
		j.order = append(j.order, k)
	}
	j.keys[k] = keyed{content, answered + window}
	for len(j.order) > j.limits.Keys {
		delete(j.keys, j.order[0])
		j.order = j.order[1:]
	}
}

// Take begins the record of a message that the core has taken.
func (j *Journal) Take(now int64, id memory.ID, m Message) {
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
	j.next++
	e := &entry{id: id, place: -1, class: m.Class, policy: c.Policy, bytes: len(m.Name) + len(m.Key) + 200}
	e.rec = Record{ID: j.next, Name: m.Name, Key: m.Key, Class: c.Name, Policy: c.Policy.String(), Taken: now, Deadline: m.Deadline}
	j.bytes += e.bytes
	j.open[id] = e
	j.change(e)
}

// change marks a record as changed.
func (j *Journal) change(e *entry) {
	e.rec.Step++
	if !e.queued {
		e.queued = true
		j.dirty = append(j.dirty, e)
	}
}

// Filter takes the commands of a call of the core and gives those that may be carried out now, in their order. The
// others are held and given by Wrote, Late or Due.
func (j *Journal) Filter(now int64, cmds []memory.Command) []memory.Command {
	out := make([]memory.Command, 0, len(cmds))
	for _, c := range cmds {
		e := j.open[c.Relay.Message]
		switch {
		case e == nil:
			out = append(out, c)
		case c.Kind == memory.Send:
			if j.send(now, c, e) {
				out = append(out, c)
			}
		case c.Kind == memory.Drop:
			if !j.drop(now, c, e) {
				out = append(out, c)
			}
		case c.Kind == memory.Answer:
			out = j.answer(now, c, e, out)
		default:
			out = append(out, c)
		}
	}
	return out
}

// send books an attempt; true if it may go at once.
func (j *Journal) send(now int64, c memory.Command, e *entry) bool {
	if len(e.rec.Attempts) < MaxAttempts {
		e.rec.Attempts = append(e.rec.Attempts, Attempt{Host: c.Addr, Sent: now})
	}
	j.change(e)
	if e.policy != Before {
		return true
	}
	e.sends = append(e.sends, hold{cmd: c, step: e.rec.Step})
	j.held[e] = struct{}{}
	return false
}

// drop books that an attempt was called off; true if it was still held, so that nothing went out.
func (j *Journal) drop(now int64, c memory.Command, e *entry) bool {
	held := false
	for i, h := range e.sends {
		if h.cmd.Relay == c.Relay {
			e.sends = append(e.sends[:i], e.sends[i+1:]...)
			held = true
			j.unheld(e)
			break
		}
	}
	result := CalledOff
	if held {
		result = Unsent
	}
	j.end(now, e, result)
	return held
}

func (j *Journal) unheld(e *entry) {
	if len(e.sends) == 0 {
		delete(j.held, e)
	}
}

func (j *Journal) end(now int64, e *entry, result Result) {
	// The core numbers attempts as they are decided; one that the rules forbade never became a command, so the last
	// that has no end is meant.
	for i := len(e.rec.Attempts) - 1; i >= 0; i-- {
		if a := &e.rec.Attempts[i]; a.Result == Unknown {
			a.Ended, a.Result = max(now, a.Sent), result
			if result.NeverRan() {
				a.Started = false
			}
			j.change(e)
			return
		}
	}
}

// Started books that a host has begun to run an attempt.
func (j *Journal) Started(r memory.RelayID) {
	if e := j.open[r.Message]; e != nil && len(e.rec.Attempts) > 0 {
		if a := &e.rec.Attempts[len(e.rec.Attempts)-1]; a.Result == Unknown && !a.Started {
			a.Started = true
			j.change(e)
		}
	}
}

// Ended books the end of an attempt, before the core is told of it.
func (j *Journal) Ended(now int64, r memory.RelayID, result logic.Result) {
	if e := j.open[r.Message]; e != nil {
		j.end(now, e, ResultOf(result))
	}
}

// Left books that a client has gone before its answer. A result that it will not read needs no store.
func (j *Journal) Left(now int64, id memory.ID) {
	e := j.open[id]
	if e == nil {
		return
	}
	if e.answer == nil && !e.over {
		e.rec.Verdict, e.rec.Answered = HungUp, max(now, e.rec.Taken)
		j.change(e)
	}
	e.over = true
	j.retire(e)
}

// answer books the final answer and gives it where it needn't wait.
func (j *Journal) answer(now int64, c memory.Command, e *entry, out []memory.Command) []memory.Command {
	if e.over {
		return out
	}
	e.over = true
	if len(e.sends) > 0 {
		// What still waits for its record never went out.
		e.sends = nil
		j.unheld(e)
		j.end(now, e, Unsent)
	}
	e.rec.Answered = max(now, e.rec.Taken)
	switch c.Verdict {
	case memory.Served:
		e.rec.Verdict, e.rec.Content = Served, c.Content
		e.bytes += len(c.Content)
		j.bytes += len(c.Content)
	case memory.Refused, memory.Duplicate:
		e.rec.Verdict = Refused
	default:
		e.rec.Verdict = Failed
	}
	j.change(e)
	if e.policy < Told {
		j.retire(e)
		return append(out, c)
	}
	h := hold{cmd: c, step: e.rec.Step, until: e.rec.Deadline - j.limits.Margin}
	if c.Verdict != memory.Served {
		h.until = min(h.until, now+j.limits.Hold)
		if j.Breaker.Open() {
			// What was given up is answered at once, and written when the store is back.
			j.stats.Unrecorded++
			e.rec.Note = "answered while the store was gone, written later"
			j.retire(e)
			return append(out, c)
		}
	}
	e.answer = &h
	heap.Push(&j.waits, e)
	if h.until <= now {
		return append(out, j.giveUp(e)) // its time is over already
	}
	return out
}

// retire lets go of an entry whose client is told; it is kept until it is durable.
func (j *Journal) retire(e *entry) {
	if e.told {
		return
	}
	e.told = true
	if e.place >= 0 {
		heap.Remove(&j.waits, e.place)
	}
	e.answer, e.sends = nil, nil
	delete(j.held, e)
	if e.policy != Behind && e.rec.Verdict == Served {
		// A repeat of a keyed job gets what was served.
		j.Remember(e.class, e.rec.Key, e.rec.Content, e.rec.Answered)
	}
	delete(j.open, e.id)
	if e.durable == e.rec.Step {
		j.bytes -= e.bytes
		return
	}
	j.retired++
}

// Batch gives the records of the next write, or nothing while one is under way, none has changed or the store is not to
// be asked. What changes meanwhile gathers for the next: the slower the store, the larger its batches.
func (j *Journal) Batch(now int64) []Record {
	if j.writing || len(j.dirty) == 0 || !j.Breaker.MayWrite(now) {
		return nil
	}
	n := min(len(j.dirty), j.limits.Batch)
	j.flight = append(j.flight[:0], j.dirty[:n]...)
	j.dirty = append(j.dirty[:0], j.dirty[n:]...)
	out := make([]Record, 0, n)
	for _, e := range j.flight {
		e.queued, e.asked = false, e.rec.Step
		r := e.rec
		r.Attempts = append([]Attempt(nil), e.rec.Attempts...)
		out = append(out, r)
	}
	j.writing = true
	j.Breaker.Begin(now)
	return out
}

// Wrote takes the end of a write and gives the commands that it lets go. After an error nothing is known of it: its
// records are written again, which is harmless if they were.
func (j *Journal) Wrote(now int64, err error) (out []memory.Command, changed bool) {
	j.writing = false
	changed = j.Breaker.End(now, err == nil)
	if err == nil {
		j.stats.Writes++
		j.stats.Written += int64(len(j.flight))
	} else {
		j.stats.Errors++
	}
	for _, e := range j.flight {
		if err != nil {
			if !e.queued {
				e.queued = true
				j.dirty = append(j.dirty, e)
			}
			continue
		}
		told := e.told
		e.durable = max(e.durable, e.asked)
		out = j.release(e, out)
		if told && e.durable == e.rec.Step {
			j.bytes -= e.bytes
			j.retired--
		}
	}
	j.flight = j.flight[:0]
	if err != nil {
		j.shed()
	}
	return out, changed
}

// release lets go what is durable.
func (j *Journal) release(e *entry, out []memory.Command) []memory.Command {
	for len(e.sends) > 0 && e.sends[0].step <= e.durable {
		out = append(out, e.sends[0].cmd)
		e.sends = e.sends[1:]
	}
	j.unheld(e)
	if e.answer != nil && e.answer.step <= e.durable {
		out = append(out, e.answer.cmd)
		j.retire(e)
	}
	return out
}

// shed drops records of Behind classes that were told, the oldest first, while too much waits.
func (j *Journal) shed() {
	if !j.full() {
		return
	}
	kept := j.dirty[:0]
	for _, e := range j.dirty {
		if e.told && e.policy == Behind && j.full() {
			j.stats.Lost++
			j.bytes -= e.bytes
			j.retired--
			continue
		}
		kept = append(kept, e)
	}
	clear(j.dirty[len(kept):])
	j.dirty = kept
}

// Next is when Due has to be called, 0 for never.
func (j *Journal) Next() int64 {
	next := j.Breaker.Next()
	if len(j.waits) > 0 {
		if until := j.waits[0].answer.until; next == 0 || until < next {
			next = until
		}
	}
	return next
}

// Due does what time asks for: it opens the breaker under a write that lasts too long, and lets answers go that can't
// wait any longer. refuse names messages that were never sent and wait for a store that is gone: the core has to refuse
// them. changed tells that the breaker opened.
func (j *Journal) Due(now int64) (out []memory.Command, refuse []memory.ID, changed bool) {
	changed = j.Breaker.Late(now)
	out, refuse = j.Trouble(now)
	for len(j.waits) > 0 && j.waits[0].answer.until <= now {
		out = append(out, j.giveUp(j.waits[0]))
	}
	return out, refuse, changed
}

// Trouble lets go what must not wait for a store that is gone; nothing while the breaker is closed.
func (j *Journal) Trouble(now int64) (out []memory.Command, refuse []memory.ID) {
	if !j.Breaker.Open() {
		return nil, nil
	}
	for e := range j.held {
		if !e.over {
			refuse = append(refuse, e.id)
		}
	}
	for i := 0; i < len(j.waits); {
		if e := j.waits[i]; e.answer.cmd.Verdict != memory.Served {
			out = append(out, j.giveUp(e))
			i = 0 // the heap has changed its order
			continue
		}
		i++
	}
	return out, refuse
}

// giveUp lets an answer go without its record. A result gives way to a failure, since it may not be told before it is
// durable; what was given up anyway goes as it is.
func (j *Journal) giveUp(e *entry) memory.Command {
	cmd := e.answer.cmd
	if cmd.Verdict == memory.Served {
		j.stats.Overtaken++
		e.rec.Verdict, e.rec.Content = Failed, nil
		e.rec.Note = "the store was too slow: served by a host, answered failed"
		cmd.Verdict, cmd.Content = memory.Failed, nil
	} else {
		j.stats.Unrecorded++
		e.rec.Note = "answered while the store was slow, written later"
	}
	j.change(e)
	j.retire(e)
	return cmd
}
