package cli

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "granitewing-store")
	if err != nil {
		panic(err)
	}
	for _, p := range []string{"../../cmd/granitewing-store", "../../cmd/granitewing"} {
		if out, err := exec.Command("go", "build", "-o", dir+"/", p).CombinedOutput(); err != nil {
			panic(fmt.Sprintf("%v\n%s", err, out))
		}
	}
	binary = filepath.Join(dir, "granitewing-store")
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func call(t *testing.T, program string, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(program, args...)
	var out, log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &log
	cmd.Run()
	return out.String(), log.String(), cmd.ProcessState.ExitCode()
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "own.sexp")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const example = "../../deploy/example.json"

// The check verb describes tenants, copies and retries only for configurations that have them.
func TestCheckDescribesOptionalSettings(t *testing.T) {
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	lines := []string{
		"copies: a second copy may be sent", "retries: clients do not mark them",
		"tenant delta_herb: 54 jobs a second over 2 dispatchers; one beyond them counts 0.05 of its worth",
	}
	for name, c := range map[string]struct {
		old, now string
		want     bool
	}{
		"as the example has it": {`"Balancers": 1`, `"Balancers": 1`, false},
		"with all three": {`"Balancers": 1`, `"Balancers": 2, "OverShareWorth": 0.05, "Clients": {"MarksRetry": false},
			"Tenants": [{"Name": "delta herb", "QuotaPerS": 54}]`, true},
	} {
		changed := strings.Replace(string(text), c.old, c.now, 1)
		changed = strings.Replace(changed, `"MaxAttempts": 3`, fmt.Sprintf(`"MaxAttempts": 3, "SecondCopies": %t`, c.want), 1)
		out, log, code := call(t, binary, "check", "--config", write(t, changed))
		for _, line := range lines {
			if code != 0 || strings.Contains(out, line) != c.want {
				t.Errorf("%s: exit %d; %q there %t, want %t, in\n%s%s", name, code, line, !c.want, c.want, out, log)
			}
		}
	}
}

// The check verb describes valid settings and reports the position of each fault in invalid ones.
func TestCheck(t *testing.T) {
	good := write(t, `(granitewing (log (format json)) (record (store sqlite "x.db") (class alert-send before) (class ingest-batch told (repeat 40s))))`)
	out, log, code := call(t, binary, "check", "--config", example, "--settings", good)
	for _, want := range []string{"dispatcher n0 listens on", "class alert-send: durable before it is sent", "class latest-readings: written behind",
		"class ingest-batch: durable before its client is told; a repeated key is answered from the record for 40s"} {
		if code != 0 || !strings.Contains(out, want) {
			t.Fatalf("exit %d; want %q in\n%s%s", code, want, out, log)
		}
	}
	for text, want := range map[string]string{
		"(granitewing\n (record (class alert-send before)))":                                                                 "own.sexp:2:2: granitewing.record.store: missing",
		`(granitewing (record (store sqlite "x") (class alert-send sometimes)))`:                                             "want one of off, behind, told, before",
		`(granitewing (record (store sqlite "x") (class nothing before)))`:                                                   `own.sexp:1:41: record.class: the configuration has no class "nothing"`,
		`(granitewing (record (store sqlite "x") (class alert-send before) (class alert-send off)))`:                         `class "alert-send" is given twice`,
		`(granitewing (record (store sqlite "x") (class latest-readings behind (repeat 1s))))`:                               "only what is durable before its client is told",
		`(granitewing (record (store mysql "x")))`:                                                                           "want one of sqlite, postgres",
		`(granitewing (fleet (label "x") (bind "127.0.0.1:1") (limits (keepers n0) (limit a (class alert-send) (open 0)))))`: "own.sexp:1:75: fleet.limits.limit.open: 0: a limit must be above 0",
		`(granitewing (fleet (label "x") (bind "127.0.0.1:1") (limits (keepers n0) (limit a (class nothing) (rate 3)))))`:    `no class "nothing"`,
		`(granitewing (log (format loud)))`:                                                                                  "want one of auto, text, json",
	} {
		_, log, code := call(t, binary, "check", "--config", example, "--settings", write(t, text))
		if code != 2 || !strings.Contains(log, want) || strings.Count(log, "\n") != 1 {
			t.Errorf("%s: exit %d, %q; want %q", text, code, log, want)
		}
	}
}

// Wrong usage, builds without a store and missing stores give one line each and the right exit code.
func TestUsageAndStoreErrors(t *testing.T) {
	own := write(t, `(granitewing (record (store sqlite "/nowhere/x.db")))`)
	plain := filepath.Join(filepath.Dir(binary), "granitewing")
	for name, c := range map[string]struct {
		program string
		args    []string
		code    int
		want    string
	}{
		"unknown verb":       {binary, []string{"dance"}, 2, "unexpected argument dance"},
		"unknown flag":       {plain, []string{"serve", "--fast"}, 2, "unknown flag --fast"},
		"missing flag":       {binary, []string{"records", "list"}, 2, "missing flags: --settings"},
		"no store":           {binary, []string{"records", "list", "--settings", write(t, "(granitewing)")}, 1, "it names no store"},
		"store not there":    {binary, []string{"records", "verify", "--settings", own}, 1, "no such file or directory"},
		"build without one":  {plain, []string{"serve", "--config", example, "--settings", own}, 1, "this build has no store of record; bin/granitewing-store has"},
		"serve can't open":   {binary, []string{"serve", "--config", example, "--settings", own}, 1, "check that the folder is there and may be written"},
		"settings not there": {binary, []string{"serve", "--config", example, "--settings", "/nowhere"}, 1, "no such file"},
		"prune without time": {binary, []string{"records", "prune", "--settings", own, "--older", "0s"}, 1, "--older must be above 0"},
	} {
		_, log, code := call(t, c.program, c.args...)
		if code != c.code || !strings.Contains(log, c.want) || strings.Count(strings.TrimSpace(log), "\n") > 0 {
			t.Errorf("%s: exit %d, want %d; %q lacks %q or has more", name, code, c.code, log, c.want)
		}
	}
	if out, _, code := call(t, plain, "version"); code != 0 || !strings.HasPrefix(out, "granitewing ") {
		t.Errorf("version: exit %d, %q", code, out)
	}
}

// The records verbs work on a store that a dispatcher has created and that holds no records.
func TestRecordsVerbs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.db")
	own := write(t, fmt.Sprintf(`(granitewing (record (store sqlite %q)))`, path))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"settle", "--instance", "n9"}, 0, "0 settled as failed (may have run), 0 as refused (never ran)"},
		{[]string{"verify"}, 0, "0 records, all good"},
		{[]string{"list", "--class", "alert-send", "--since", "1h"}, 0, "instance"},
		{[]string{"export"}, 0, ""},
		{[]string{"prune", "--older", "1h"}, 0, "0 records deleted"},
		{[]string{"show", "nothing"}, 1, "no record of nothing"},
	} {
		out, log, code := call(t, binary, append([]string{"records", c.args[0], "--settings", own}, c.args[1:]...)...)
		if code != c.code || !strings.Contains(out+log, c.want) {
			t.Errorf("%v: exit %d, want %d; %q %q", c.args, code, c.code, out, log)
		}
	}
}
