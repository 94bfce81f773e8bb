package driver

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"granitewing/internal/dispatch"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// The shutdown plan follows from the configured deadlines, like the time of SIGKILL.
func TestShutdownPlanFollowsDeadlines(t *testing.T) {
	got := map[int64]shutdownPlan{}
	for _, deadline := range []int64{500_000, 2_000_000, 6_000_000} {
		got[deadline] = shutdownPlanFor([]logic.Class{{Deadline: 400_000}, {Deadline: deadline}})
	}
	want := map[int64]shutdownPlan{
		500_000:   {dismissAt: 450 * time.Millisecond, giveUpAt: 900 * time.Millisecond},
		2_000_000: {dismissAt: 1900 * time.Millisecond, giveUpAt: 2400 * time.Millisecond},
		6_000_000: {dismissAt: 2900 * time.Millisecond, giveUpAt: 3400 * time.Millisecond},
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(shutdownPlan{})); diff != "" {
		t.Error(diff)
	}
}

// Whether clients are asked to leave, by the cause of the shutdown and the time since.
func TestWhenClientsAreDismissed(t *testing.T) {
	for _, c := range []struct {
		name              string
		stopped, quiesced time.Duration // time since; 0: did not happen, below 0: just now
		listenerStopped   bool
		want              bool
	}{
		{"serving", 0, 0, false, false},
		{"drained by operators", 0, time.Millisecond, false, true},
		{"after SIGTERM", -time.Hour, 0, false, false},
		{"after SIGTERM with a successor", -time.Hour, 0, true, true},
		{"shortly before SIGKILL", time.Hour, 0, false, true},
	} {
		d := testDriver(t)
		ago := func(d time.Duration) time.Time {
			if d == 0 {
				return time.Time{}
			}
			return time.Now().Add(-d)
		}
		d.stoppedAt, d.quiescedAt, d.listenerStopped = ago(c.stopped), ago(c.quiesced), c.listenerStopped
		n := testClient(t, d)
		n.msg = &platform.Message{}
		if n.reply(200, nil, 0); n.closing != c.want {
			t.Errorf("%s: dismissed %t, want %t", c.name, n.closing, c.want)
		}
	}
}

// Just before SIGKILL the requests that it would lose are answered, and no others.
func TestRequestsLostBySIGKILLAreFailed(t *testing.T) {
	d := testDriver(t)
	var err error
	if d.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	d.core.Inventory(d.now(), logic.ListFull, []dispatch.Host{{Name: "s-a", Addr: "127.0.0.1:1", Phase: logic.Ready}})
	hold := func(name string, ago time.Duration) *downstream {
		n := testClient(t, d)
		n.msg = &platform.Message{Txn: name, Message: dispatch.Message{Name: name}, Remaining: 2 * time.Hour}
		n.receivedAt = d.now() - ago.Microseconds()
		n.submit()
		return n
	}
	before, early, later := hold("before", time.Hour), hold("early", time.Hour-lostAfterTerm/2), hold("later", time.Hour-2*lostAfterTerm)
	d.stoppedAt = time.Now().Add(-time.Hour)
	d.checkShutdown()
	for n, want := range map[*downstream]bool{before: true, early: true, later: false} {
		if n.inCore != want {
			t.Errorf("a request that arrived %v after SIGTERM: open %t, want %t",
				time.Hour-time.Duration(d.now()-n.receivedAt)*time.Microsecond, n.inCore, want)
		}
	}
}
