package driver

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// The course of the end follows from the settings' deadlines, as SIGKILL does.
func TestEndingFollowsTheDeadlines(t *testing.T) {
	got := map[int64]ending{}
	for _, deadline := range []int64{500_000, 2_000_000, 6_000_000} {
		got[deadline] = endingFor([]logic.Class{{Deadline: 400_000}, {Deadline: deadline}})
	}
	want := map[int64]ending{
		500_000:   {part: 450 * time.Millisecond, last: 900 * time.Millisecond},
		2_000_000: {part: 1900 * time.Millisecond, last: 2400 * time.Millisecond},
		6_000_000: {part: 2900 * time.Millisecond, last: 3400 * time.Millisecond},
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(ending{})); diff != "" {
		t.Error(diff)
	}
}

// Whether clients are sent away, by what ended and how long ago that was.
func TestWhenClientsAreSentAway(t *testing.T) {
	for _, c := range []struct {
		name              string
		stopped, quiesced time.Duration // ago; 0 for not at all, below 0 for no time yet
		shut              bool
		want              bool
	}{
		{"serving", 0, 0, false, false},
		{"drained by hand", 0, time.Millisecond, false, true},
		{"SIGTERM came", -time.Hour, 0, false, false},
		{"SIGTERM came, another takes over", -time.Hour, 0, true, true},
		{"SIGKILL is near", time.Hour, 0, false, true},
	} {
		d := testDriver(t)
		ago := func(d time.Duration) time.Time {
			if d == 0 {
				return time.Time{}
			}
			return time.Now().Add(-d)
		}
		d.stopped, d.quiesced, d.shut = ago(c.stopped), ago(c.quiesced), c.shut
		n := testClient(t, d)
		n.msg = &platform.Message{}
		if n.reply(200, nil, 0); n.closing != c.want {
			t.Errorf("%s: sent away %t, want %t", c.name, n.closing, c.want)
		}
	}
}

// Just before SIGKILL what it would lose is answered, and nothing else.
func TestWhatSIGKILLWouldLoseIsGivenUp(t *testing.T) {
	d := testDriver(t)
	var err error
	if d.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	d.core.Inventory(d.now(), logic.ListFull, []memory.Host{{Name: "s-a", Addr: "127.0.0.1:1", Phase: logic.Ready}})
	hold := func(name string, ago time.Duration) *downstream {
		n := testClient(t, d)
		n.msg = &platform.Message{Txn: name, Message: memory.Message{Name: name}, Remaining: 2 * time.Hour}
		n.at = d.now() - ago.Microseconds()
		n.arrive()
		return n
	}
	before, early, later := hold("before", time.Hour), hold("early", time.Hour-lostFrom/2), hold("later", time.Hour-2*lostFrom)
	d.stopped = time.Now().Add(-time.Hour)
	d.check()
	for n, want := range map[*downstream]bool{before: true, early: true, later: false} {
		if n.held != want {
			t.Errorf("a message that came %v after SIGTERM: held %t, want %t",
				time.Hour-time.Duration(d.now()-n.at)*time.Microsecond, n.held, want)
		}
	}
}
