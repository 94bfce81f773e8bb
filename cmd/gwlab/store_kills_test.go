package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"granitewing/internal/lab/experiment"
)

// Dispatchers with a store of record are killed some ten times; the records agree with what clients received and hosts
// got, on both back ends. (lab/store-kills.sexp and its sister kill 200 times; this is their short form.) How many records a play leaves
// hangs on how long the machine takes to start a dispatcher that was killed, so plays go on until enough were checked.
func TestStoreKills(t *testing.T) {
	t.Parallel()
	const (
		wanted    = 200 // records
		playsMost = 5
	)
	for backend, more := range map[string]string{
		`sqlite \"{dir}/{name}.db\"`: "",
		`postgres \"{postgres}\"`:    `(postgres) (store-slow (at 1s) (for 4s) (delay 20ms)) (store-resets (at 5s) (count 6)) (store-silent (at 7s) (for 1s))`,
	} {
		t.Run(strings.Fields(backend)[0], func(t *testing.T) {
			t.Parallel()
			checked := 0
			for seed := 3; checked < wanted; seed++ {
				if seed == 3+playsMost {
					t.Fatalf("%d records checked in %d plays, want %d", checked, playsMost, wanted)
				}
				checked += playStoreKills(t, backend, more, seed)
			}
		})
	}
}

// playStoreKills plays nine seconds of kills, and gives how many records were checked.
func playStoreKills(t *testing.T, backend, more string, seed int) int {
	t.Helper()
	spec := fmt.Sprintf(light, "9s", fmt.Sprintf(`(audit-records) (chance kill-dispatcher (rate 70) (for 100ms 300ms)) (crash (at 3s) (for 1s) (hosts h1)) (seed %d)
		(settings "(granitewing (record (store %s) (class alert before) (class reading told)))")`, seed, backend)+more)
	out, log, code := call(t, "run", write(t, strings.Replace(spec, "(rate 12)", "(rate 40)", 1)), "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-store"), "--json")
	var res experiment.Results
	if err := json.Unmarshal([]byte(out), &res); err != nil {
		t.Fatalf("exit %d, %v\n%s\n%s", code, err, out, log)
	}
	play := res.Plays[0]
	kills := 0
	for _, m := range play.Marks {
		if strings.HasSuffix(m.Label, "killed") {
			kills++
		}
	}
	if code != 0 || len(play.Audit.Rules) != 6 || kills < 5 {
		t.Fatalf("exit %d, %d kills\n%s\n%s", code, kills, play.Audit, log)
	}
	checked := play.Audit.Rules[4].Checked
	t.Logf("seed %d: %d records checked; %d kills, dispatchers dead for %.1f s in all; %+v", seed, checked, kills, play.Dead, play.Rows[len(play.Rows)-1])
	return checked
}
