package virtual

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/world"
	"granitewing/internal/settings"
)

// combinedFailures has every kind of failure, many of them at the same time. A dispatcher is killed in the middle, and
// discovery hides restarts of hosts from all dispatchers.
const combinedFailures = `
  (slow (at 3s) (for 4s) (hosts h1) (factor 8)) (drain (at 4s) (hosts h2) (grace 2s)) (crash (at 5s) (for 4s) (hosts h3))
  (vanish (at 6s) (for 5s) (hosts h4)) (reset (at 7s) (for 2s) (hosts h5)) (errors (at 8s) (for 2s) (hosts h6))
  (refuse (at 9s) (for 3s) (hosts h7)) (stale (at 10s) (for 3s)) (grow (at 11s) (for 2s) (count 3)) (churn (at 12s) (hosts h8))
  (discovery-down (at 14s) (for 2s)) (discovery-silent (at 17s) (for 7s)) (partition (at 15s) (for 2s) (zones dakar ziguinchor))
  (kill-dispatcher (at 16s) (for 3s) (dispatcher 1)) (shrink (at 20s) (for 2s) (count 2)) (restart (at 21s) (for 1s) (hosts h0))
  (chance crash (rate 4) (for 2s 5s)) (chance slow (rate 6) (for 1s 4s) (factor 3 8) (part 10% 20%))`

// singleFailures are failures one at a time. Dispatchers are notified of them within the times that the rules on
// leaving and cold hosts allow.
var singleFailures = []string{
	`(slow (at 3s) (for 9s) (share 25%) (factor 8))`, `(drain (at 4s) (count 3) (grace 2s))`, `(crash (at 5s) (for 6s) (hosts h3))`,
	`(vanish (at 6s) (for 5s) (hosts h4))`, `(reset (at 7s) (for 2s) (count 2))`, `(errors (at 8s) (for 4s) (count 2))`, `(refuse (at 9s) (for 3s) (share 25%))`,
	`(stale (at 5s) (for 3s)) (drain (at 4s) (hosts h2) (grace 2s))`, `(grow (at 3s) (for 4s) (count 9))`, `(churn (at 5s) (hosts h0))`,
	`(discovery-down (at 5s) (for 2s)) (drain (at 4s) (hosts h5) (grace 2s))`, `(discovery-silent (at 5s) (for 4s)) (drain (at 4s) (hosts h5) (grace 2s))`,
	`(partition (at 5s) (for 4s) (zones dakar ziguinchor))`, `(kill-dispatcher (at 5s) (for 3s) (dispatcher 1))`, `(shrink (at 5s) (for 4s) (count 4))`,
}

// runDay runs a day and returns its result and audit report.
func runDay(t *testing.T, text string, seed uint64, v world.Variant) (*Result, *audit.Report) {
	t.Helper()
	res, log, _ := runDayLogged(t, text, seed, v)
	return res, log.Check()
}

// runDayLogged runs a day and returns its audit log and the drawn day too.
func runDayLogged(t *testing.T, text string, seed uint64, v world.Variant) (*Result, *audit.Log, *world.Day) {
	t.Helper()
	spec, err := world.Parse("test", text)
	if err != nil {
		t.Fatal(err)
	}
	day, err := spec.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	var classes []audit.Class
	for _, c := range day.Classes {
		classes = append(classes, audit.Class{Name: c.Name, Repeat: c.Repeat, Window: c.Window.Microseconds()})
	}
	log := audit.New(classes)
	res, err := Run(context.Background(), day, Options{Variant: v, Seed: seed, Log: log, OnVerdict: onVerdict})
	if err != nil {
		t.Fatal(err)
	}
	rows := res.Recorder.Rows()
	if all := rows[len(rows)-1]; int(all.Asked) != len(day.Jobs) {
		t.Errorf("seed %d: %d of %d jobs completed", seed, all.Asked, len(day.Jobs))
	}
	return res, log, day
}

// Under many failures at once every job completes once, each request has one answer and no job is repeated unsafely,
// and the same seed gives the same bytes. The rules on leaving and cold hosts are not checked: discovery hides some
// restarts, so dispatchers can't keep these rules.
func TestCombinedFailures(t *testing.T) {
	text := `(experiment combined (length 26s) (load (rate 14)) (clients (impatient 5%) (patience 2s))` + combinedFailures + `)`
	for seed := range uint64(6) {
		one, rep := runDay(t, text, seed, world.Variant{})
		if rep.Rules[0].Broken+rep.Rules[1].Broken > 0 {
			t.Errorf("seed %d:\n%s", seed, rep)
		}
		if seed > 0 {
			continue
		}
		two, again := runDay(t, text, seed, world.Variant{})
		a, _ := json.Marshal([]any{one.Recorder, rep, one.Length})
		b, _ := json.Marshal([]any{two.Recorder, again, two.Length})
		if string(a) != string(b) {
			t.Errorf("seed %d: two runs differ", seed)
		}
		other, _ := runDay(t, text, seed+100, world.Variant{})
		if c, _ := json.Marshal([]any{other.Recorder, rep, other.Length}); string(a) == string(c) {
			t.Error("another seed gave the same run")
		}
	}
}

// All four audit rules hold under each single failure.
func TestSingleFailures(t *testing.T) {
	for _, f := range singleFailures {
		for seed := range uint64(2) {
			if _, rep := runDay(t, `(experiment single (length 15s) (load (rate 8))`+f+`)`, seed, world.Variant{}); rep.Broken() > 0 {
				t.Errorf("%s, seed %d:\n%s", f, seed, rep)
			}
		}
	}
}

// The audit detects violations of a policy that ignores the rules: a cold host that gets its full share of work
// collapses.
func TestAuditSeesColdHostsFall(t *testing.T) {
	broken := 0
	for seed := range uint64(5) {
		_, rep := runDay(t, `(experiment cold (length 20s) (load (rate 40)) (fleet (fall-multiple 1.5)) (grow (at 5s) (for 1s) (count 4)))`, seed, world.Variant{Policy: "least"})
		broken += rep.Rules[3].Broken
	}
	if broken == 0 {
		t.Error("no cold host collapsed under a policy that ignores slow start")
	}
}

// Failures of hosts affect clients: without reachable hosts nothing is served, while a day with low load and no
// failures is served almost completely.
func TestFailuresAffectService(t *testing.T) {
	calm, _ := runDay(t, `(experiment calm (length 15s) (load (rate 5)))`, 1, world.Variant{})
	if s := calm.Recorder.Rows()[4].Service; s < 0.8 {
		t.Errorf("service %.3f on a day without failures, want at least 0.8", s)
	}
	for _, f := range []string{"(vanish (at 0s) (share 100%))", "(refuse (at 0s) (share 100%))", "(errors (at 0s) (share 100%))", "(reset (at 0s) (share 100%))", "(crash (at 0s) (share 100%))"} {
		res, rep := runDay(t, `(experiment dead (length 5s) (load (rate 5)) (clients (retries 0))`+f+`)`, 1, world.Variant{})
		if rows := res.Recorder.Rows(); rows[4].InTime+rows[4].Late > 0 || rep.Broken() > 0 {
			t.Errorf("%s: served %d in time, %d late\n%s", f, rows[4].InTime, rows[4].Late, rep)
		}
	}
}

// Under the plain policies every job completes too.
func TestPolicies(t *testing.T) {
	for _, p := range world.Policies {
		res, _ := runDay(t, `(experiment plain (length 10s) (load (rate 8)))`, 1, world.Variant{Policy: p})
		if s := res.Recorder.Rows()[4].Service; s < 0.3 {
			t.Errorf("%s: service %.3f on a day without failures, want at least 0.3", p, s)
		}
	}
}

// BenchmarkRun measures how fast virtual time runs: 9 hosts, 3 dispatchers, 30 s of 14 jobs a second.
func BenchmarkRun(b *testing.B) {
	spec, err := world.Parse("bench", `(experiment bench (length 30s) (load (rate 14)))`)
	if err != nil {
		b.Fatal(err)
	}
	virtual := 0.0
	for i := range b.N {
		day, err := spec.Draw(uint64(i))
		if err != nil {
			b.Fatal(err)
		}
		res, err := Run(context.Background(), day, Options{Seed: uint64(i)})
		if err != nil {
			b.Fatal(err)
		}
		virtual += res.Length.Seconds()
	}
	b.ReportMetric(virtual/b.Elapsed().Seconds(), "times-real-time")
}

// A host cordoned at every dispatcher gets no new attempts while the cordon lasts, whatever discovery's list says, and
// gets work again afterwards. The audit rules hold throughout.
func TestCordon(t *testing.T) {
	for seed := range uint64(3) {
		_, log, day := runDayLogged(t, `(experiment cordon (length 14s) (load (rate 30)) (cordon (at 3s) (for 5s) (hosts h1)))`, seed, world.Variant{})
		if rep := log.Check(); rep.Broken() > 0 {
			t.Errorf("seed %d:\n%s", seed, rep)
		}
		name := day.Machines[1].Name
		var got []int
		for _, h := range log.HostLoads() {
			if h.Host == name {
				got = h.PerSecond
			}
		}
		sum := func(from, to int) (n int) {
			for s := from; s < min(to, len(got)); s++ {
				n += got[s]
			}
			return n
		}
		// Attempts count in the second they were sent; second 3 includes those sent just before the cordon.
		if before, during, after := sum(0, 3), sum(4, 8), sum(8, 14); before == 0 || during != 0 || after == 0 {
			t.Errorf("seed %d: %s got %d attempts before the cordon, %d during it, %d after; per second %v", seed, name, before, during, after, got)
		}
	}
}

// A dispatcher that an operator drains gets no new requests once the front end has seen its /healthz fail, answers
// every request it holds, and gets requests again after it resumes. The audit rules hold throughout.
func TestQuiesce(t *testing.T) {
	text := `(experiment quiesce (length 14s) (load (rate 30)) (quiesce-dispatcher (at 3s) (for 5s) (dispatcher 1)))`
	for seed := range uint64(3) {
		res, rep := runDay(t, text, seed, world.Variant{})
		if rep.Broken() > 0 {
			t.Errorf("seed %d:\n%s", seed, rep)
		}
		got := res.RequestsPerSecond[1]
		sum := func(from, to int) (n int) {
			for s := from; s < min(to, len(got)); s++ {
				n += got[s]
			}
			return n
		}
		// Second 3 includes the requests of the 0.3 s in which the front end still sends.
		if before, during, after := sum(0, 3), sum(4, 8), sum(8, 14); before == 0 || during != 0 || after == 0 {
			t.Errorf("seed %d: dispatcher 1 got %d requests before its drain, %d during it, %d after; per second %v",
				seed, before, during, after, got)
		}
	}
}

// If all reports are lost, dispatchers decide exactly as without sharing. Reports that arrive, even late and with
// losses, raise the service, reduce failed alerts and keep the audit rules.
func TestSharing(t *testing.T) {
	day := `(experiment e (virtual) (length 10s) (load (rate 42)) (dispatchers 60) (fleet (hosts 30)) (data-sets (count 130) (store 130)))`
	text := func(v *world.Share) (string, float64, int64) {
		res, rep := runDay(t, day, 3, world.Variant{Share: v})
		if rep.Broken() > 0 {
			t.Errorf("%+v: %s", v, rep)
		}
		rows := res.Recorder.Rows()
		b, err := json.Marshal(struct {
			Rows   any
			Spread any
		}{rows, res.Balance})
		if err != nil {
			t.Fatal(err)
		}
		return string(b), rows[len(rows)-1].Service, rows[3].Failed
	}
	span := settings.DurationRange{Lo: 50 * time.Millisecond, Hi: 500 * time.Millisecond}
	alone, service, failed := text(nil)
	if deaf, _, _ := text(&world.Share{Every: 250 * time.Millisecond, Late: span, Loss: 1}); deaf != alone {
		t.Error("dispatchers whose reports are all lost decide otherwise than without sharing")
	}
	_, with, less := text(&world.Share{Every: 250 * time.Millisecond, Late: span, Loss: 0.3})
	if with <= service || less >= failed {
		t.Errorf("service with sharing %.3f and %d failed alerts, without %.3f and %d", with, less, service, failed)
	}
}

// onVerdict is Options.OnVerdict of all runs; nil except in the test that sets it.
var onVerdict func(at int64, dispatcher int, j *world.Job, refused bool)

// Admission by a fleet-wide price: in an overload most alerts that can't be served are refused before they are sent,
// and similar jobs get the same verdicts at different dispatchers. At low load nothing is refused for its price, and a
// dispatcher that receives no reports decides as without a price.
func TestSlack(t *testing.T) {
	span := settings.DurationRange{Lo: 5 * time.Millisecond, Hi: 50 * time.Millisecond}
	run := func(rate, seconds int, slack string, loss float64) (string, float64, int64) {
		day := fmt.Sprintf(`(experiment e (virtual) (load (programme (constant (for 2s) (rate 16)) (constant (for %ds) (rate %d)) (constant (for 1s) (rate 16))))
  (dispatchers 14) (fleet (hosts 14)) (data-sets (count 60) (store 60)))`, seconds, rate)
		res, rep := runDay(t, day, 5, world.Variant{Share: &world.Share{Every: 100 * time.Millisecond, Late: span, Loss: loss, Slack: slack}})
		if rep.Broken() > 0 {
			t.Errorf("slack %q: %s", slack, rep)
		}
		rows := res.Recorder.Rows()
		b, _ := json.Marshal(rows)
		return string(b), rows[len(rows)-1].Service, rows[3].Failed
	}
	for rate, loss := range map[int]float64{16: 0, 49: 1} {
		with, _, _ := run(rate, 2, "on", loss)
		if without, _, _ := run(rate, 2, "", loss); with != without {
			t.Errorf("%d jobs a second, loss %g: decisions with a price differ from those without", rate, loss)
		}
	}
	_, without, failed := run(49, 7, "", 0.3)
	var alike VerdictAgreement
	onVerdict = alike.Record
	_, with, less := run(49, 7, "on", 0.3)
	onVerdict = nil
	t.Logf("service %.3f with %d alerts failed, without a price %.3f with %d; %d of %d first requests refused, %d of %d pairs with the same verdict",
		with, less, without, failed, alike.Refused, alike.Requests, alike.Agreed, alike.Pairs)
	if 3*less > failed { // the effect on the service is visible only in larger fleets
		t.Errorf("%d alerts failed with a price, %d without", less, failed)
	}
	if alike.Refused < 30 || alike.Pairs < 25 || alike.Agreed*100 < alike.Pairs*85 {
		t.Errorf("%d of %d pairs of similar jobs got the same verdict, %d first requests were refused", alike.Agreed, alike.Pairs, alike.Refused)
	}
}
