package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"granitewing/internal/lab/experiment"
)

// Dispatchers with a store of record are killed about ten times. The records agree with what clients received and
// hosts were sent, on both back ends. (lab/store-kills.sexp and lab/store-kills-postgres.sexp kill 200 times; this
// is their short form.) How many records a run leaves depends on how long the machine takes to restart a killed
// dispatcher, so runs are repeated until enough records were checked.
func TestStoreKills(t *testing.T) {
	t.Parallel()
	const (
		wanted  = 200 // records
		maxRuns = 5
	)
	for backend, more := range map[string]string{
		`sqlite \"{dir}/{name}.db\"`: "",
		`postgres \"{postgres}\"`:    `(postgres) (store-slow (at 1s) (for 4s) (delay 20ms)) (store-resets (at 5s) (count 6)) (store-silent (at 7s) (for 1s))`,
	} {
		t.Run(strings.Fields(backend)[0], func(t *testing.T) {
			t.Parallel()
			checked := 0
			for seed := 3; checked < wanted; seed++ {
				if seed == 3+maxRuns {
					t.Fatalf("%d records checked in %d runs, want %d", checked, maxRuns, wanted)
				}
				checked += runStoreKills(t, backend, more, seed)
			}
		})
	}
}

// runStoreKills runs nine seconds of kills and returns the number of records that were checked.
func runStoreKills(t *testing.T, backend, more string, seed int) int {
	t.Helper()
	spec := fmt.Sprintf(lightLoad, "9s", fmt.Sprintf(`(audit-records) (chance kill-dispatcher (rate 70) (for 100ms 300ms)) (crash (at 3s) (for 1s) (hosts h1)) (seed %d)
		(settings "(granitewing (record (store %s) (class alert before) (class reading told)))")`, seed, backend)+more)
	out, log, code := runGwlab(t, "run", writeExperiment(t, strings.Replace(spec, "(rate 12)", "(rate 40)", 1)), "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-store"), "--json")
	var res experiment.Results
	if err := json.Unmarshal([]byte(out), &res); err != nil {
		t.Fatalf("exit %d, %v\n%s\n%s", code, err, out, log)
	}
	run := res.Runs[0]
	kills := 0
	for _, m := range run.Marks {
		if strings.HasSuffix(m.Label, "killed") {
			kills++
		}
	}
	if code != 0 || len(run.Audit.Rules) != 6 || kills < 5 {
		t.Fatalf("exit %d, %d kills\n%s\n%s", code, kills, run.Audit, log)
	}
	checked := run.Audit.Rules[4].Checked
	t.Logf("seed %d: %d records checked; %d kills, dispatchers dead for %.1f s in all; %+v", seed, checked, kills, run.DeadSeconds, run.Rows[len(run.Rows)-1])
	return checked
}
