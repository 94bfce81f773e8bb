package inventory

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// runScript applies the steps of a script to a tracker and returns its commands, one per line. A step is a time in
// milliseconds, an event and its arguments.
func runScript(t *testing.T, l Limits, steps string) string {
	k := New(0, l, 41, func() float64 { return 0 })
	var out strings.Builder
	for step := range strings.SplitSeq(strings.TrimSpace(steps), "\n") {
		var ms, revision int64
		var event string
		var id Call
		if n, _ := fmt.Sscan(step, &ms, &event, &id, &revision); n < 2 {
			t.Fatalf("step %q", step)
		}
		now := ms * 1000
		for at := k.Next(); at != 0 && at <= now; at = k.Next() {
			k.Wake(at)
			printCommands(&out, at, k)
		}
		accepted := true
		switch event {
		case "ask":
			k.Ask(now)
		case "heard":
			k.Heard(now, id)
		case "listed":
			accepted = k.Listed(now, id, revision, false)
		case "whole":
			accepted = k.Listed(now, id, revision, true)
		case "refused":
			k.Ended(now, id, Refused)
		case "moved":
			k.Moved(now)
		case "until":
		default:
			t.Fatalf("step %q", step)
		}
		if !accepted {
			fmt.Fprintf(&out, "%d rejected\n", ms)
		}
		printCommands(&out, now, k)
	}
	return out.String()
}

func printCommands(out *strings.Builder, now int64, k *Tracker) {
	for _, c := range k.Ready() {
		switch c.Kind {
		case Dial:
			fmt.Fprintf(out, "%d dial %d after %d\n", now/1000, c.Call, c.Index)
		case Close:
			fmt.Fprintf(out, "%d close %d\n", now/1000, c.Call)
		case Fail:
			fmt.Fprintf(out, "%d fail\n", now/1000)
		case Stale:
			fmt.Fprintf(out, "%d stale: %s\n", now/1000, c.Cause)
		case Reliable:
			fmt.Fprintf(out, "%d reliable\n", now/1000)
		}
	}
}

// Each script of events gives exactly the stated commands at the stated times (ms).
func TestTracker(t *testing.T) {
	queried := Limits{AskWithin: 4_000_000, Grace: 750_000}
	for _, c := range []struct {
		name   string
		limits Limits
		steps  string
		want   string
	}{
		{"a silent watch is reopened although one call times out, and kept until the answer", queried, `
			0 ask
			100 listed 1 42
			5000 listed 2 42
			5100 until`, `
			0 dial 1 after 41
			2500 dial 2 after 42
			4700 close 2
			4700 dial 3 after 42
			5000 rejected
			`},
		{"after the time budget the membership is stale until the answer", queried, `
			0 ask
			100 listed 1 42
			6000 refused 3
			6300 ask
			7000 listed 4 43`, `
			0 dial 1 after 41
			2500 dial 2 after 42
			4700 close 2
			4700 dial 3 after 42
			6000 fail
			6300 dial 4 after 42
			6600 stale: no data from discovery
			7000 close 1
			7000 reliable
			`},
		{"a call that is answered byte by byte does not time out", queried, `
			0 ask
			2000 heard 1
			4000 heard 1
			6000 heard 1
			7900 listed 1 42`, `
			0 dial 1 after 41
			4500 stale: no watch has been open for longer than the settings allow
			7900 reliable
			`},
		{"the watch at the former address is read until the new one answers, and its revisions do not apply there", queried, `
			0 ask
			100 listed 1 42
			1000 moved
			1100 listed 1 43
			1200 whole 2 7
			1300 listed 1 44`, `
			0 dial 1 after 41
			1000 dial 2 after -1
			1200 close 1
			1300 rejected
			`},
		{"a lower revision is rejected, but accepted from a whole list that repeats it", queried, `
			0 ask
			100 listed 1 42
			200 listed 1 41
			500 ask
			600 whole 2 41`, `
			0 dial 1 after 41
			200 rejected
			200 close 1
			200 fail
			500 dial 2 after -1
			`},
		{"pushed lists: a watch that ends is reopened at once, and a failed call is repeated soon after", Limits{Pushed: true, Grace: 750_000}, `
			0 ask
			100 listed 1 42
			1000 refused 1
			1100 refused 2
			1700 listed 3 43`, `
			0 dial 1 after 41
			1000 dial 2 after 42
			1300 dial 3 after 42
			1500 stale: no watch is open and lists are pushed
			1700 reliable
			`},
		{"pushed lists: unanswered calls mean that discovery is down, the list stays valid and a call stays open", Limits{Pushed: true, Grace: 750_000}, `
			0 ask
			100 listed 1 42
			9000 until`, `
			0 dial 1 after 41
			2500 dial 2 after 42
			4700 close 2
			4700 dial 3 after 42
			6900 close 3
			6900 dial 4 after 42
			`},
	} {
		want := strings.ReplaceAll(strings.TrimPrefix(c.want, "\n"), "\t", "")
		if diff := cmp.Diff(want, runScript(t, c.limits, strings.ReplaceAll(c.steps, "\t", ""))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
