package record

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"granitewing/internal/dispatch"
	"granitewing/logic"
)

const (
	reading = iota // policy behind
	batch          // policy told, keyed
	alert          // policy before
	probe          // policy off
)

var classes = []Class{{"reading", Behind, 0}, {"batch", BeforeAnswer, 40_000_000}, {"alert", BeforeSend, 0}, {"probe", Off, 0}}

func journal() *Journal {
	return New(classes, 3, Limits{Messages: 5, Bytes: 10_000, Batch: 100, MaxAnswerWait: 250, DeadlineMargin: 5, MaxKeys: 2}, NewBreaker(100, 50, 400, 1))
}

func send(id dispatch.ID, attempt int) dispatch.Command {
	return dispatch.Command{Kind: dispatch.Send, Attempt: dispatch.AttemptID{Message: id, Attempt: attempt}, Addr: fmt.Sprintf("h%d", attempt)}
}

func served(id dispatch.ID, content string) dispatch.Command {
	return dispatch.Command{Kind: dispatch.Answer, Attempt: dispatch.AttemptID{Message: id}, Verdict: dispatch.Served, Content: []byte(content)}
}

func verdict(id dispatch.ID, v dispatch.Verdict) dispatch.Command {
	return dispatch.Command{Kind: dispatch.Answer, Attempt: dispatch.AttemptID{Message: id}, Verdict: v}
}

func take(j *Journal, now int64, id dispatch.ID, class int, key string) {
	j.Accept(now, id, Message{Name: fmt.Sprintf("t%d", id), Key: key, Class: class, Deadline: now + 1000})
}

// describe formats commands in short form.
func describe(cmds []dispatch.Command) string {
	var out []string
	for _, c := range cmds {
		s := []string{"send", "drop", "answer", "wake", "watch", "leave"}[c.Kind]
		if c.Kind == dispatch.Answer {
			s += []string{"-served", "-refused", "-failed", "-duplicate"}[c.Verdict]
		}
		out = append(out, fmt.Sprintf("%s %d", s, c.Attempt.Message))
	}
	return strings.Join(out, ", ")
}

func expect(t *testing.T, step string, cmds []dispatch.Command, want string) {
	t.Helper()
	if got := describe(cmds); got != want {
		t.Errorf("%s: released %q, want %q", step, got, want)
	}
}

// write runs the next write and ends it with err. It returns the records of the write and the released commands.
func write(t *testing.T, j *Journal, now int64, err error) ([]Record, []dispatch.Command) {
	t.Helper()
	b := j.Batch(now)
	if b == nil {
		t.Fatal("nothing to write")
	}
	out, _ := j.WriteDone(now, err)
	return b, out
}

// A message of a BeforeSend class is durable before each attempt and before its answer, one of a BeforeAnswer class
// before its answer, and one of a Behind class waits for nothing.
func TestCommandsWaitForDurability(t *testing.T) {
	j := journal()
	take(j, 0, 1, alert, "")
	take(j, 0, 2, batch, "k")
	take(j, 0, 3, reading, "")
	take(j, 0, 4, probe, "")
	expect(t, "attempts", j.Filter(1, []dispatch.Command{send(1, 0), send(2, 0), send(3, 0), send(4, 0)}), "send 2, send 3, send 4")
	b, out := write(t, j, 2, nil)
	expect(t, "after the write", out, "send 1")
	if len(b) != 3 || len(b[0].Attempts) != 1 || b[0].Verdict != Open || b[0].ID>>32 != 3 {
		t.Errorf("written: %+v", b)
	}
	for id := range dispatch.ID(5) {
		j.Started(dispatch.AttemptID{Message: id})
		j.Ended(10, dispatch.AttemptID{Message: id}, logic.Served)
	}
	expect(t, "answers", j.Filter(10, []dispatch.Command{served(1, "a"), served(2, "b"), served(3, "c"), served(4, "d")}), "answer-served 3, answer-served 4")
	b, out = write(t, j, 11, nil)
	expect(t, "after their write", out, "answer-served 1, answer-served 2")
	for _, r := range b {
		if err := r.Verify(); err != nil || r.Verdict != Served || r.Attempts[0].Result != ResultServed {
			t.Errorf("%v: %+v", err, r)
		}
	}
	if j.Waiting() != 0 || j.bytes != 0 || len(j.open) != 0 {
		t.Errorf("%d messages waiting, %d bytes; want none", j.Waiting(), j.bytes)
	}
	// A repeat of the key within its window gets the recorded result.
	if got, known := j.Repeat(1000, batch, "k"); !known || string(got) != "b" {
		t.Errorf("repeat within the window: %q, %t", got, known)
	}
	if _, known := j.Repeat(50_000_000, batch, "k"); known {
		t.Error("a repeat after the window was answered")
	}
	if _, known := j.Repeat(1000, alert, "k"); known {
		t.Error("a class without a window answered a repeat")
	}
}

// An attempt that is cancelled while it is held is never sent, and its record says that it never ran.
func TestCancelledWhileHeld(t *testing.T) {
	j := journal()
	take(j, 0, 1, alert, "")
	j.Filter(0, []dispatch.Command{send(1, 0)})
	b := j.Batch(0)
	drop := dispatch.Command{Kind: dispatch.Drop, Attempt: dispatch.AttemptID{Message: 1}}
	expect(t, "cancelled while held", j.Filter(1, []dispatch.Command{drop, send(1, 1)}), "")
	out, _ := j.WriteDone(2, nil)
	expect(t, "write of the first attempt", out, "")
	b2, out := write(t, j, 3, nil)
	expect(t, "write of the second attempt", out, "send 1")
	if b[0].Attempts[0].Result != Unknown || b2[0].Attempts[0].Result != Unsent || out[0].Addr != "h1" {
		t.Errorf("%+v then %+v", b, b2)
	}
	// An attempt that was sent is stopped as usual.
	expect(t, "cancelled after it was sent", j.Filter(4, []dispatch.Command{{Kind: dispatch.Drop, Attempt: dispatch.AttemptID{Message: 1, Attempt: 1}}}), "drop 1")
}

// A write that ends with an error is repeated whether or not it was executed, and no command is released until a
// write has succeeded.
func TestFailedWriteIsRetried(t *testing.T) {
	j := journal()
	take(j, 0, 1, alert, "")
	j.Filter(0, []dispatch.Command{send(1, 0)})
	_, out := write(t, j, 1, errors.New("reset"))
	expect(t, "a failed write", out, "")
	if !j.Breaker.Open() || j.Batch(1) != nil {
		t.Error("after an error the breaker is closed, or allows the next write at once")
	}
	next := j.Next()
	if next <= 1 || next > 51 {
		t.Errorf("next probe at %d, want 2 to 51", next)
	}
	_, out = write(t, j, next, nil)
	expect(t, "later write", out, "send 1")
	if j.Breaker.Open() {
		t.Error("the breaker is open after a successful write")
	}
}

// A slow store opens the breaker. Messages that were never sent are refused, answers other than results are sent
// at once, and a result waits until its deadline and is then replaced by a failure, which the record notes.
func TestSlowStore(t *testing.T) {
	j := journal()
	take(j, 0, 1, alert, "")
	take(j, 0, 2, alert, "")
	take(j, 0, 3, alert, "")
	j.Filter(0, []dispatch.Command{send(2, 0), send(3, 0)})
	write(t, j, 0, nil)
	j.Filter(1, []dispatch.Command{send(1, 0)})
	if j.Batch(1) == nil {
		t.Fatal("nothing to write")
	}
	j.Ended(2, dispatch.AttemptID{Message: 2}, logic.Served)
	j.Ended(2, dispatch.AttemptID{Message: 3}, logic.Failed)
	expect(t, "answers", j.Filter(2, []dispatch.Command{served(2, "x"), verdict(3, dispatch.Failed)}), "")
	if next := j.Next(); next != 101 {
		t.Errorf("the write times out at %d, want 101", next)
	}
	out, refuse, changed := j.HandleTimers(101)
	expect(t, "when the write times out", out, "answer-failed 3")
	if !changed || !slices.Equal(refuse, []dispatch.ID{1}) {
		t.Errorf("changed %t, refuse %v", changed, refuse)
	}
	expect(t, "the refusal", j.Filter(101, []dispatch.Command{{Kind: dispatch.Drop, Attempt: dispatch.AttemptID{Message: 1}}, verdict(1, dispatch.Refused)}), "answer-refused 1")
	if j.Admit(alert) || !j.Admit(batch) || !j.Admit(reading) || !j.Admit(probe) {
		t.Error("while the store is unavailable, exactly the classes that need it must be refused")
	}
	out, _, _ = j.HandleTimers(994)
	expect(t, "before the deadline", out, "")
	out, _, _ = j.HandleTimers(995)
	expect(t, "at the deadline", out, "answer-failed 2")
	// The store was only slow: its write succeeds in the end, and the remaining records are written afterwards.
	j.WriteDone(2000, nil)
	b, out := write(t, j, 2000, nil)
	expect(t, "late write", out, "")
	for _, r := range b {
		if err := r.Verify(); err != nil {
			t.Error(err)
		}
		if r.Name == "t2" && (r.Verdict != Failed || !strings.Contains(r.Note, "too slow") || !r.MayHaveRun()) || r.Name == "t1" && (r.Verdict != Refused || r.MayHaveRun()) {
			t.Errorf("%+v", r)
		}
	}
	if s := j.Stats(); s.Expired != 1 || s.Unrecorded != 2 || s.Refused != 1 || j.Waiting() != 0 {
		t.Errorf("%+v, %d messages waiting", s, j.Waiting())
	}
}

// The journal's memory is bounded. At the limit, records of Behind classes are dropped, the oldest first, and
// counted, and messages of classes that must be durable are refused.
func TestSpoolOverflows(t *testing.T) {
	j := journal()
	take(j, 0, 1, reading, "")
	j.Filter(0, []dispatch.Command{send(1, 0)})
	j.Batch(0)
	j.HandleTimers(100) // the breaker opens
	for id := dispatch.ID(2); id < 12; id++ {
		take(j, 100, id, reading, "")
		j.Filter(100, []dispatch.Command{send(id, 0), served(id, "x")})
	}
	if j.Waiting() > 5 || j.Admit(batch) {
		t.Errorf("%d messages waiting, want at most 5; a class that needs the store is admitted: %t", j.Waiting(), j.Admit(batch))
	}
	j.WriteDone(200, errors.New("gone"))
	if s := j.Stats(); s.Lost < 6 {
		t.Errorf("%+v", s)
	}
}

// A client that disconnects needs no answer, and its record is closed.
func TestClientHangsUp(t *testing.T) {
	j := journal()
	take(j, 0, 1, alert, "")
	j.Filter(0, []dispatch.Command{send(1, 0)})
	write(t, j, 0, nil)
	j.Ended(1, dispatch.AttemptID{Message: 1}, logic.Cancelled)
	j.ClientLeft(1, 1)
	b, out := write(t, j, 2, nil)
	expect(t, "after the client left", out, "")
	if b[0].Verdict != HungUp || b[0].Verify() != nil || j.Waiting() != 0 {
		t.Errorf("%+v", b[0])
	}
}

// A record that a crash left open is settled as failed if a host may have run the message, else as refused, and only
// once; a clock that was set back does no harm.
func TestSettle(t *testing.T) {
	ran := Record{ID: 1, Step: 2, Name: "a", Class: "alert", Policy: "before", Taken: 50, Attempts: []Attempt{{Host: "h", Sent: 60}}}
	never := Record{ID: 2, Step: 2, Name: "b", Class: "alert", Policy: "before", Taken: 50, Attempts: []Attempt{{Host: "h", Sent: 60, Ended: 61, Result: Returned}}}
	for _, c := range []struct {
		r    Record
		want Verdict
	}{{ran, Failed}, {never, Refused}, {Record{ID: 3, Step: 1, Name: "c", Class: "alert", Policy: "before", Taken: 50}, Refused}} {
		// The clock was set back in the meantime.
		if !c.r.SettleAfterCrash(10) || c.r.Verdict != c.want || c.r.Answered < c.r.Taken || c.r.Verify() != nil {
			t.Errorf("%+v: %v", c.r, c.r.Verify())
		}
		again := c.r
		if again.SettleAfterCrash(99) || !cmp.Equal(again, c.r) {
			t.Error("a second SettleAfterCrash changed the record")
		}
	}
}

// Verify finds each kind of corruption of a good record.
func TestVerifyReportsViolation(t *testing.T) {
	good := func() Record {
		return Record{ID: 1, Step: 3, Name: "t", Class: "alert", Policy: "before", Taken: 1, Answered: 9, Verdict: Served, Content: []byte("x"),
			Attempts: []Attempt{{Host: "a", Sent: 2, Ended: 3, Result: Returned}, {Host: "b", Sent: 4, Started: true, Ended: 8, Result: ResultServed}}}
	}
	if r := good(); r.Verify() != nil {
		t.Fatal(r.Verify())
	}
	for want, corrupt := range map[string]func(*Record){
		"has no step":                          func(r *Record) { r.Step = 0 },
		"has no class":                         func(r *Record) { r.Class = "" },
		"is open but was answered":             func(r *Record) { r.Verdict = Open },
		"has no answer time":                   func(r *Record) { r.Answered = 0 },
		"is failed but has a result":           func(r *Record) { r.Verdict = Failed },
		"names no host":                        func(r *Record) { r.Attempts[0].Host = "" },
		"ended before it was sent":             func(r *Record) { r.Attempts[0].Ended = 1 },
		"has a result but no end":              func(r *Record) { r.Attempts[0].Ended = 0 },
		"was followed by another but has no":   func(r *Record) { r.Attempts[0].Result, r.Attempts[0].Ended = "", 0 },
		"started but is recorded as never run": func(r *Record) { r.Attempts[0].Started = true },
		"followed one that may have run":       func(r *Record) { r.Attempts[0].Result = Errored },
		"is served but no host":                func(r *Record) { r.Attempts = r.Attempts[:1] },
		"was refused but may have run":         func(r *Record) { r.Verdict, r.Content = Refused, nil },
		"was sent 4 times":                     func(r *Record) { r.Policy = "told"; r.Attempts = append(r.Attempts, r.Attempts...) },
		"has 17 attempts":                      func(r *Record) { r.Attempts = make([]Attempt, 17) },
	} {
		r := good()
		corrupt(&r)
		if err := r.Verify(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

// The breaker allows one probe at a time. Its pauses double up to a bound, and a part of each is random.
func TestBreaker(t *testing.T) {
	b := NewBreaker(100, 50, 400, 7)
	b.Begin(1)
	if b.CheckTimeout(100) || !b.CheckTimeout(101) || b.CheckTimeout(500) || !b.Open() || b.MayWrite(10_000) {
		t.Error("the breaker must open once, when a write takes over 100, and allow no second write meanwhile")
	}
	now, last := int64(500), int64(0)
	b.End(now, false)
	for i := range 12 {
		pause := b.Next() - now
		if full := min(int64(50)<<(i+1), 400); pause < full/2 || pause > full || b.MayWrite(b.Next()-1) {
			t.Errorf("pause %d is %d, want %d to %d", i, pause, full/2, full)
		}
		last = pause
		now = b.Next()
		b.Begin(now)
		b.End(now, false)
	}
	if other := NewBreaker(100, 50, 400, 8); last == func() int64 { other.Begin(1); other.End(1, false); return other.Next() }() {
		t.Error("two breakers with different seeds probe at the same time")
	}
	b.Begin(now)
	if !b.End(now, true) || b.Open() || b.Next() != 0 || b.Trips() != 1 {
		t.Errorf("after a successful probe: open %t, next %d, opened %d", b.Open(), b.Next(), b.Trips())
	}
}

// harness runs a journal for one message with a model of the store, the hosts and the client.
type harness struct {
	j                 *Journal
	store             map[uint64]Record
	atHost            map[dispatch.ID]bool // a host has the message, or had it
	answered          map[dispatch.ID]dispatch.Command
	answeredWhileOpen map[dispatch.ID]bool // answered while the breaker was open
	attempts          map[dispatch.ID]int  // number of attempts; -1 once the core has answered
	inFlight          []Record
	now               int64
}

func newHarness(class Class) *harness {
	return &harness{j: New([]Class{class}, 1, Limits{Messages: 100, Bytes: 1 << 20, Batch: 100, MaxAnswerWait: 250, DeadlineMargin: 5, MaxKeys: 10}, NewBreaker(100, 50, 100, 1)),
		store: map[uint64]Record{}, atHost: map[dispatch.ID]bool{}, answered: map[dispatch.ID]dispatch.Command{}, answeredWhileOpen: map[dispatch.ID]bool{}, attempts: map[dispatch.ID]int{}}
}

func (w *harness) execute(cmds []dispatch.Command) {
	for _, c := range cmds {
		switch c.Kind {
		case dispatch.Send:
			w.atHost[c.Attempt.Message] = true
		case dispatch.Answer:
			w.answered[c.Attempt.Message] = c
			w.answeredWhileOpen[c.Attempt.Message] = w.j.Breaker.Open()
		}
	}
}

func (w *harness) commit() {
	for _, r := range w.inFlight {
		if r.Step > w.store[r.ID].Step {
			w.store[r.ID] = r
		}
	}
}

// step performs an action and reports whether it was possible.
func (w *harness) step(action int) bool {
	const id = dispatch.ID(1)
	w.now += 10
	attempts, known := w.attempts[id]
	switch action {
	case 0: // a message arrives and is sent
		if known {
			return false
		}
		w.j.Accept(w.now, id, Message{Name: "t", Class: 0, Deadline: w.now + 100_000})
		w.attempts[id] = 1
		w.execute(w.j.Filter(w.now, []dispatch.Command{send(id, 0)}))
	case 1: // a write begins
		if w.inFlight != nil {
			return false
		}
		w.inFlight = w.j.Batch(w.now + 1000) // later than any pause of the breaker
		return w.inFlight != nil
	case 2, 3, 4: // the write succeeds; fails; is executed but its acknowledgement is lost
		if w.inFlight == nil {
			return false
		}
		if action != 3 {
			w.commit()
		}
		w.inFlight = nil
		var err error
		if action != 2 {
			err = errors.New("gone")
		}
		out, _ := w.j.WriteDone(w.now, err)
		w.execute(out)
		more, refuse := w.j.ReleaseUnavailable(w.now)
		w.execute(more)
		for _, r := range refuse {
			w.attempts[r] = -1
			w.execute(w.j.Filter(w.now, []dispatch.Command{{Kind: dispatch.Drop, Attempt: dispatch.AttemptID{Message: r, Attempt: attempts - 1}}, verdict(r, dispatch.Refused)}))
		}
	case 5: // the host serves the message
		if !w.atHost[id] || attempts < 1 {
			return false
		}
		w.attempts[id] = -1
		w.j.Ended(w.now, dispatch.AttemptID{Message: id, Attempt: attempts - 1}, logic.Served)
		w.execute(w.j.Filter(w.now, []dispatch.Command{served(id, "x")}))
	case 6: // the host returns the message, and it goes to another host
		if !w.atHost[id] || attempts != 1 {
			return false
		}
		w.atHost[id] = false
		w.attempts[id] = 2
		w.j.Ended(w.now, dispatch.AttemptID{Message: id, Attempt: 0}, logic.Refused)
		w.execute(w.j.Filter(w.now, []dispatch.Command{send(id, 1)}))
	case 7: // the connection to the host breaks, and the core answers failed
		if !w.atHost[id] || attempts < 1 {
			return false
		}
		w.attempts[id] = -1
		w.j.Ended(w.now, dispatch.AttemptID{Message: id, Attempt: attempts - 1}, logic.Broken)
		w.execute(w.j.Filter(w.now, []dispatch.Command{verdict(id, dispatch.Failed)}))
	}
	return true
}

// checkCrash simulates a crash and a restart at this point, and returns what is wrong with the record afterwards.
func (w *harness) checkCrash() string {
	var r Record
	for _, r = range w.store {
		if err := r.Verify(); err != nil {
			return err.Error()
		}
		r.SettleAfterCrash(w.now + 1)
		if err := r.Verify(); err != nil {
			return "settled: " + err.Error()
		}
	}
	for id, ran := range w.atHost {
		if ran && !r.MayHaveRun() {
			return fmt.Sprintf("a host has %d, but the record says that none had", id)
		}
	}
	for id, c := range w.answered {
		switch {
		case c.Verdict == dispatch.Served && r.Verdict != Served:
			return fmt.Sprintf("%d was served to its client, but the record says %s", id, r.Verdict)
		case c.Verdict == dispatch.Refused && len(w.store) > 0 && r.Verdict != Refused && !w.answeredWhileOpen[id]:
			return fmt.Sprintf("%d was refused to its client, but the record says %s", id, r.Verdict)
		case c.Verdict == dispatch.Failed && (r.Verdict == Served || r.Verdict == Refused):
			return fmt.Sprintf("%d failed for its client, but the record says %s", id, r.Verdict)
		}
	}
	return ""
}

// explore runs every sequence of actions up to a depth on a real journal, with a crash after each.
func explore(class Class, depth int) (sequences int, violation string, path []int) {
	var extend func(prefix []int) bool
	extend = func(prefix []int) bool {
		w := newHarness(class)
		for _, a := range prefix {
			if !w.step(a) {
				return false
			}
		}
		sequences++
		if violation = w.checkCrash(); violation != "" {
			path = slices.Clone(prefix)
			return true
		}
		if len(prefix) == depth {
			return false
		}
		for a := range 8 {
			if extend(append(prefix, a)) {
				return true
			}
		}
		return false
	}
	extend(nil)
	return sequences, violation, path
}

// With both durability points (before each attempt and before the answer) no crash leaves a wrong record; without
// either of them the search finds a crash that does. Refusals that were sent at once while the breaker was open
// are exempt: after a crash the store may hold an older step, which is settled as failed, the more careful
// verdict.
func TestEveryInterleaving(t *testing.T) {
	sequences, violation, path := explore(Class{"alert", BeforeSend, 0}, 18)
	if violation != "" {
		t.Errorf("%s after actions %v", violation, path)
	}
	if sequences < 500 {
		t.Errorf("only %d sequences were run, want 500", sequences)
	}
	t.Logf("%d sequences", sequences)
	for policy, want := range map[Policy]string{BeforeAnswer: "the record says that none had", Behind: "the record says"} {
		if _, violation, path := explore(Class{"alert", policy, 0}, 18); !strings.Contains(violation, want) {
			t.Errorf("%s: found %q after actions %v; a missing durability point must be detected", policy, violation, path)
		}
	}
}

// Random operations on many messages, with a store that fails at random: no message is answered twice, no message
// that was sent is refused by the journal, all records are valid, and all counters are zero once everything is
// written.
func TestJournalInvariantsUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New(classes, 1, Limits{Messages: 8, Bytes: 4000, Batch: 3, MaxAnswerWait: 250, DeadlineMargin: 5, MaxKeys: 4}, NewBreaker(100, 50, 400, 1))
		store := map[uint64]Record{}
		open := map[dispatch.ID]int{}
		var ids []dispatch.ID
		var inFlight []Record
		sent, answered := map[dispatch.ID]bool{}, map[dispatch.ID]bool{}
		now, next := int64(1), dispatch.ID(0)
		execute := func(cmds []dispatch.Command) {
			for _, c := range cmds {
				if c.Kind == dispatch.Answer {
					if answered[c.Attempt.Message] {
						t.Fatalf("%d was answered twice", c.Attempt.Message)
					}
					answered[c.Attempt.Message] = true
				}
				if c.Kind == dispatch.Send {
					sent[c.Attempt.Message] = true
				}
			}
		}
		refuseAll := func(refuse []dispatch.ID) {
			for _, id := range refuse {
				if sent[id] {
					t.Fatalf("%d was sent, but is to be refused", id)
				}
				delete(open, id)
				execute(j.Filter(now, []dispatch.Command{{Kind: dispatch.Drop, Attempt: dispatch.AttemptID{Message: id}}, verdict(id, dispatch.Refused)}))
			}
		}
		finish := func(err error) {
			if err == nil || rapid.Bool().Draw(t, "executed in spite of the error") {
				for _, r := range inFlight {
					if e := r.Verify(); e != nil {
						t.Fatal(e)
					}
					if r.Step > store[r.ID].Step {
						store[r.ID] = r
					}
				}
			}
			inFlight = nil
			out, _ := j.WriteDone(now, err)
			execute(out)
			more, refuse := j.ReleaseUnavailable(now)
			execute(more)
			refuseAll(refuse)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 120).Draw(t, "wait"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				class := rapid.IntRange(0, 3).Draw(t, "class")
				if !j.Admit(class) {
					continue
				}
				next++
				take(j, now, next, class, "k")
				open[next] = class
				ids = append(ids, next)
				execute(j.Filter(now, []dispatch.Command{send(next, 0)}))
			case 2:
				if len(ids) == 0 {
					continue
				}
				id := rapid.SampledFrom(ids).Draw(t, "message")
				if _, is := open[id]; !is || !sent[id] {
					continue
				}
				delete(open, id)
				result := rapid.SampledFrom([]logic.Result{logic.Served, logic.Failed, logic.Refused}).Draw(t, "result")
				j.Ended(now, dispatch.AttemptID{Message: id}, result)
				execute(j.Filter(now, []dispatch.Command{map[logic.Result]dispatch.Command{logic.Served: served(id, "x"), logic.Failed: verdict(id, dispatch.Failed),
					logic.Refused: verdict(id, dispatch.Refused)}[result]}))
			case 3:
				if len(ids) == 0 {
					continue
				}
				id := rapid.SampledFrom(ids).Draw(t, "leaves")
				if _, is := open[id]; is {
					delete(open, id)
					j.ClientLeft(now, id)
					answered[id] = true
				}
			case 4:
				if inFlight == nil {
					inFlight = j.Batch(now)
				}
			case 5:
				if inFlight != nil {
					finish(rapid.SampledFrom([]error{nil, nil, errors.New("gone")}).Draw(t, "error"))
				}
			case 6:
				out, refuse, _ := j.HandleTimers(now)
				execute(out)
				refuseAll(refuse)
			}
			if s := j.Stats(); j.Waiting() > 8+4 && s.Lost == 0 && j.bytes > 1<<20 {
				t.Fatalf("%d messages waiting", j.Waiting())
			}
		}
		// The store has recovered: every answered message is written.
		for range 100 {
			if inFlight == nil {
				now += 1000
				if inFlight = j.Batch(now); inFlight == nil {
					break
				}
			}
			finish(nil)
		}
		for id := range open {
			j.ClientLeft(now, id)
		}
		for range 100 {
			now += 1000
			if inFlight = j.Batch(now); inFlight == nil {
				break
			}
			finish(nil)
		}
		if j.Waiting() != 0 || j.bytes != 0 || len(j.withHeldSends) != 0 || len(j.heldAnswers) != 0 {
			t.Fatalf("%d messages waiting, %d bytes, %d with held attempts, %d held answers after everything is written", j.Waiting(), j.bytes, len(j.withHeldSends), len(j.heldAnswers))
		}
	})
}
