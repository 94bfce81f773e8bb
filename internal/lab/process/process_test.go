package process

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeScript writes a shell script that is started in place of a dispatcher.
func writeScript(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "program")
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// If a dispatcher ends during its start, Start returns an error with its log. If it ends by itself later, Stop returns
// an error; after Kill, Stop returns none.
func TestProcessEnds(t *testing.T) {
	if _, err := Start(writeScript(t, "echo broken settings >&2; exit 1"), t.TempDir(), "n0", nil); err == nil || !strings.Contains(err.Error(), "broken settings") {
		t.Errorf("a program that exits at once: %v", err)
	}
	if _, err := Start("/nowhere", t.TempDir(), "n0", nil); err == nil {
		t.Error("a program that does not exist was started")
	}
	d, err := Start(writeScript(t, "echo msg=listening dispatcher=n0 addr=127.0.0.1:7 >&2; exit 3"), t.TempDir(), "n0", nil)
	if err != nil || d.Addr != "127.0.0.1:7" {
		t.Fatalf("%v %+v", err, d)
	}
	<-d.exited
	if err := d.Stop(); err == nil || !strings.Contains(err.Error(), "exited unexpectedly") {
		t.Errorf("a dispatcher that crashed: %v", err)
	}
	d, err = Start(writeScript(t, "echo 12:00 n0: listening on 127.0.0.1:8 >&2; exec sleep 600"), t.TempDir(), "n0", nil)
	if err != nil || d.Addr != "127.0.0.1:8" {
		t.Fatalf("%v %+v", err, d)
	}
	d.Kill()
	if err := d.Stop(); err != nil {
		t.Errorf("a dispatcher that was killed on purpose: %v", err)
	}
}
