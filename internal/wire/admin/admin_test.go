package admin

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A line gives the call that it names, or an error that says what is wrong with it.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		line string
		want Call
		err  string // part of the error; empty = no error
	}{
		{"health", Call{Verb: Health}, ""},
		{"COUNTERS", Call{Verb: Counters}, ""},
		{"  cordon \t s-5be2a07c ", Call{Verb: Cordon, ID: "s-5be2a07c"}, ""},
		{"uncordon s-1", Call{Verb: Uncordon, ID: "s-1"}, ""},
		{"quiesce", Call{Verb: Quiesce}, ""},
		{"resume", Call{Verb: Resume}, ""},
		{"", Call{}, "empty line"},
		{"drain", Call{}, `unknown call "drain"`},
		{"cordon", Call{}, "takes one worker id, have 0"},
		{"cordon a b", Call{}, "takes one worker id, have 2"},
		{"health now", Call{}, "takes nothing after it"},
		{"cordon s-1\x00", Call{}, "control byte"},
	} {
		got, err := Parse(c.line)
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("Parse(%q): error %v, want one with %q", c.line, err, c.err)
			continue
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("Parse(%q) (-want +got):\n%s", c.line, diff)
		}
	}
}

// A line gives the same call however it is split over reads, and the bytes after it do not matter.
func TestFeedInPieces(t *testing.T) {
	text := []byte("cordon s-5be2a07c\r\nhealth\n")
	for size := 1; size <= len(text); size++ {
		var r Reader
		var got Call
		done := false
		for i := 0; i < len(text) && !done; i += size {
			var err error
			if got, done, err = r.Feed(text[i:min(i+size, len(text))]); err != nil {
				t.Fatalf("pieces of %d: %v", size, err)
			}
		}
		if !done || got != (Call{Verb: Cordon, ID: "s-5be2a07c"}) {
			t.Errorf("pieces of %d: %+v, done %v", size, got, done)
		}
	}
}

// A line beyond the bound is rejected whether or not its end has arrived, and nothing more is buffered.
func TestTooLong(t *testing.T) {
	var r Reader
	for i := 0; i < MaxLine/64-1; i++ {
		if _, done, err := r.Feed(bytes.Repeat([]byte("x"), 64)); done || err != nil {
			t.Fatalf("piece %d: done %v, error %v", i, done, err)
		}
	}
	if _, done, err := r.Feed(bytes.Repeat([]byte("x"), 64)); !done || !errors.Is(err, ErrTooLong) {
		t.Fatalf("done %v, error %v; want ErrTooLong", done, err)
	}
	var s Reader
	if _, done, err := s.Feed(append(bytes.Repeat([]byte("x"), MaxLine), '\n')); !done || !errors.Is(err, ErrTooLong) {
		t.Fatalf("whole: done %v, error %v; want ErrTooLong", done, err)
	}
}

// No text of an answer can break it into two: a line break in it becomes a space.
func TestAnswers(t *testing.T) {
	got := string(AppendNo(AppendYes(nil, ""), "two\nlines"))
	got += string(AppendMetrics(nil, []byte("router_concurrent 3")))
	want := "YES\nNO two lines\nYES\nrouter_concurrent 3\nEND\n"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// For any input, the reader buffers one line at most, and a complete line gives either a call or an error.
func FuzzFeed(f *testing.F) {
	for _, seed := range []string{"health\n", "cordon s-1\r\n", "cordon\n", "uncordon a b\n", "\n", "quiesce", "x\x00\n"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(size%64, 1)
		var r Reader
		for i := 0; i < len(text); i += size {
			c, done, err := r.Feed(text[i:min(i+size, len(text))])
			if len(r.buf) >= MaxLine {
				t.Fatalf("keeps %d bytes", len(r.buf))
			}
			if !done {
				continue
			}
			if err == nil && (c.Verb < Health || c.Verb > Resume || (c.Verb == Cordon || c.Verb == Uncordon) != (c.ID != "")) {
				t.Fatalf("call %+v from %q", c, text)
			}
			if err != nil && c != (Call{}) {
				t.Fatalf("call %+v beside error %v", c, err)
			}
			return
		}
	})
}
