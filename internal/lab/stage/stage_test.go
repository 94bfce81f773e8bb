package stage

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// script writes a program that stands in for a dispatcher.
func script(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "program")
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// A dispatcher that ends at its start is told with what it logged; one that ends by itself later is an error of its end,
// one that was killed on purpose is not.
func TestEnds(t *testing.T) {
	if _, err := Start(script(t, "echo broken settings >&2; exit 1"), t.TempDir(), "n0", nil); err == nil || !strings.Contains(err.Error(), "broken settings") {
		t.Errorf("an end at the start: %v", err)
	}
	if _, err := Start("/nowhere", t.TempDir(), "n0", nil); err == nil {
		t.Error("no program was started")
	}
	d, err := Start(script(t, "echo msg=listening dispatcher=n0 addr=127.0.0.1:7 >&2; exit 3"), t.TempDir(), "n0", nil)
	if err != nil || d.Addr != "127.0.0.1:7" {
		t.Fatalf("%v %+v", err, d)
	}
	<-d.over
	if err := d.Stop(); err == nil || !strings.Contains(err.Error(), "ended by itself") {
		t.Errorf("one that crashed: %v", err)
	}
	d, err = Start(script(t, "echo 12:00 n0: listening on 127.0.0.1:8 >&2; exec sleep 600"), t.TempDir(), "n0", nil)
	if err != nil || d.Addr != "127.0.0.1:8" {
		t.Fatalf("%v %+v", err, d)
	}
	d.Kill()
	if err := d.Stop(); err != nil {
		t.Errorf("one that was killed on purpose: %v", err)
	}
}
