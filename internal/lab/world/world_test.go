package world

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"granitewing/internal/lab/model"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

func drawDay(t *testing.T, text string, seed uint64) *Day {
	t.Helper()
	spec, err := Parse("test", text)
	if err != nil {
		t.Fatal(err)
	}
	day, err := spec.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// The same seed draws the same day. An additional failure does not change hosts and jobs, so that variants stay
// comparable.
func TestDraw(t *testing.T) {
	const base = `(experiment a (length 20s) (load (rate 50))`
	one, two := drawDay(t, base+")", 3), drawDay(t, base+")", 3)
	if diff := cmp.Diff(one.Jobs, two.Jobs) + cmp.Diff(one.Machines, two.Machines); diff != "" {
		t.Error(diff)
	}
	with := drawDay(t, base+`(chance slow (rate 20) (for 1s) (factor 2)) (drain (at 1s) (count 2)))`, 3)
	if diff := cmp.Diff(one.Jobs, with.Jobs) + cmp.Diff(one.Machines, with.Machines); diff != "" || len(with.Ops) < 5 {
		t.Errorf("%d operations\n%s", len(with.Ops), diff)
	}
	if other := drawDay(t, base+")", 4); cmp.Equal(one.Jobs, other.Jobs) {
		t.Error("another seed drew the same jobs")
	}
	// The shares of the classes are the described ones.
	counts := make([]float64, len(one.Classes))
	for _, j := range one.Jobs {
		counts[j.Class] += 1 / float64(len(one.Jobs))
	}
	for i, c := range one.Classes {
		if counts[i] < c.Share-0.06 || counts[i] > c.Share+0.06 {
			t.Errorf("class %s has %.2f of the jobs, want %.2f", c.Name, counts[i], c.Share)
		}
	}
}

// Failures become operations that begin and end at their times.
func TestOps(t *testing.T) {
	day := drawDay(t, `(experiment a (fleet (hosts 4)) (slow (at 1s) (for 2s) (hosts h1) (factor 3)) (shrink (at 5s) (for 2s) (count 2) (grace 1s))
		(grow (at 9s) (count 1)) (partition (at 10s) (for 1s) (zones dakar ziguinchor)) (kill-dispatcher (at 11s) (for 1s) (dispatcher 2)) (slow (at 12s) (zone dakar)))`, 1)
	type op struct {
		At   time.Duration
		Kind OpKind
		On   bool
	}
	var got []op
	hosts := map[int]int{}
	for _, o := range day.Ops {
		got = append(got, op{o.At / time.Second, o.Kind, o.On})
		if o.Kind == OpDrain {
			hosts[o.Host]++
		}
		if o.At == 12*time.Second && o.Kind == OpSlow && day.Machines[o.Host].Zone != 0 {
			t.Errorf("a host of zone %d is slow, want only hosts of zone 0", day.Machines[o.Host].Zone)
		}
	}
	want := []op{{1, OpSlow, true}, {3, OpSlow, false}, {5, OpDrain, false}, {6, OpStop, false}, {6, OpDrain, false}, {7, OpStop, false}, {9, OpStart, false},
		{10, OpPartition, true}, {11, OpPartition, false}, {11, OpKill, false}, {12, OpRestartDispatcher, false}}
	if diff := cmp.Diff(want, got[:len(want)]); diff != "" {
		t.Error(diff)
	}
	if len(hosts) != 2 || len(day.Machines) != 5 {
		t.Errorf("drains by host: %v; machines: %d", hosts, len(day.Machines))
	}
}

// A fault affects the dispatchers that it names, and a random choice is the same for the same seed.
func TestAffectedDispatchers(t *testing.T) {
	draw := func(seed uint64, of string) (out []int) {
		spec, err := Parse("test", "(experiment e (dispatchers 10) (kill-dispatcher (at 1s) (of "+of+")))")
		if err != nil {
			t.Fatal(err)
		}
		day, err := spec.Draw(seed)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range day.Ops {
			out = append(out, o.Host)
		}
		return out
	}
	for of, want := range map[string][]int{"(names n7 n2)": {7, 2}, "(zone ziguinchor)": {2, 5, 8}} {
		if diff := cmp.Diff(want, draw(1, of)); diff != "" {
			t.Errorf("%s: %s", of, diff)
		}
	}
	for of, want := range map[string]int{"(share 30%)": 3, "(count 4)": 4, "(count 40)": 10} {
		if got := draw(1, of); len(got) != want {
			t.Errorf("%s affects dispatchers %v", of, got)
		}
	}
	seen := map[string]bool{}
	for seed := range uint64(20) {
		a := fmt.Sprint(draw(seed, "(share 30%)"))
		if a != fmt.Sprint(draw(seed, "(share 30%)")) {
			t.Errorf("seed %d gives two different choices", seed)
		}
		seen[a] = true
	}
	if len(seen) < 10 {
		t.Errorf("20 seeds give %d different choices, want at least 10", len(seen))
	}
}

// An experiment that can't run is rejected with the position and key of the error.
func TestInvalidExperiments(t *testing.T) {
	for text, want := range map[string]string{
		`(slow (at 1s) (hosts h9))`:                                         `slow.hosts: no host "h9"; there are h0 to h8`,
		`(slow (at 1s))`:                                                    `slow.hosts: wants hosts, a zone, a share or a count`,
		`(slow (at 1s) (zone paris))`:                                       `slow.zone: no zone "paris" is described`,
		`(partition (at 1s) (zones dakar))`:                                 `partition.zones: wants two different zones`,
		`(kill-dispatcher (at 1s) (dispatcher 3))`:                          `kill-dispatcher.dispatcher: no dispatcher 3; there are 0 to 2`,
		`(kill-dispatcher (at 1s) (of (names n9)))`:                         `kill-dispatcher.of.names: no dispatcher "n9"; there are n0 to n2`,
		`(pause-dispatcher (at 1s) (for 1s) (of (zone paris)))`:             `pause-dispatcher.of.zone: no zone "paris" is described`,
		`(pause-dispatcher (at 1s) (of (share 30%)))`:                       `pause-dispatcher.for: wants a time above 0, or the dispatcher would never resume`,
		`(link (at 1s) (of (share 30%)) (manner late))`:                     `link.delay: wants a delay, spread, loss or twice above 0`,
		`(virtual) (link (at 1s) (of (share 30%)))`:                         `link.at: is supported only with real processes, not in virtual time`,
		`(grow (at 1s))`:                                                    `grow.count: wants a number of hosts`,
		`(load (rate 3) (programme (constant (for 1s) (rate 1))))`:          `rate and a programme or streams can't both be given`,
		`(load (programme (burst (for 9s) (rate 1) (to 2))))`:               `a burst wants every and lasts`,
		`(load (stream (class x) (programme (ramp (for 1s) (rate 1)))))`:    `load.stream.class: no class "x" is described`,
		`(load (stream))`:                                                   `load.stream: wants a programme or a trace`,
		`(variant a) (variant a)`:                                           `variant a: given twice`,
		`(class a (share 0) (work 1s) (aim 1s) (give-up 1s) (repeat safe))`: `the shares sum to 0`,
		`(zones)`: `zones: want at least one`,
	} {
		if _, err := Parse("f", "(experiment x "+text+")"); err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "f:1:") {
			t.Errorf("%s:\n got %v\nwant %s", text, err, want)
		}
	}
}

// The platform's reader accepts the dispatchers' configuration, with a variant's changes applied.
func TestConfig(t *testing.T) {
	day := drawDay(t, `(experiment a)`, 1)
	place := Place{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Addr: func(id string) string { return "at-" + id }, Epoch: 5_000_000}
	text, err := day.Config(1, 7, place, []Change{{"Rules.Cold", "1000"}, {"Classes.3.Deadline", "9"}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := platform.ReadConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n1" || c.Seed != 7 || len(c.Known.Hosts) != 9 || c.Known.Hosts[0].Addr != "at-"+HostName(0) || s.Self != 1 || s.Zone != 1 || s.Schedulers != 3 || s.SlowStart != 1000 {
		t.Errorf("%+v", c)
	}
	if k := s.Classes[3]; k.Name != "alert-send" || k.Repeat != logic.RepeatUnsafe || k.Deadline != 9 || k.TargetPerWork != 2 || s.Classes[2].Repeat != logic.RepeatKeyed {
		t.Errorf("%+v", s.Classes)
	}
	for _, bad := range []Change{{"Rules.Cold", "{"}, {"Nowhere.Cold", "1"}, {"Classes.9.Aim", "1"}, {"Classes", "1"}} {
		if _, err := day.Config(0, 1, place, []Change{bad}); (err == nil) != (bad.Path == "Classes") {
			t.Errorf("%v: %v", bad, err)
		}
	}
	entry, _ := json.Marshal(day.ListEntry(day.Member(2, model.Draining, 3_000_000), "x:1", place.Epoch))
	if got := string(entry); !strings.Contains(got, `"up_since_ms":8000`) || !strings.Contains(got, `"phase":"draining"`) {
		t.Error(got)
	}
}
