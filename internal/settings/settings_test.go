package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

type kind struct {
	Name  string  `sexp:",arg,required"`
	Share float64 `sexp:"share,required" min:"0" max:"1"`
	Where Pos     `sexp:",pos"`
}

type step struct {
	Kind string        `sexp:",head"`
	For  time.Duration `sexp:"for" min:"0.001"`
}

type sample struct {
	Title  string        `sexp:",arg"`
	Hosts  int           `sexp:"hosts,required" min:"1"`
	Wait   time.Duration `sexp:"wait"`
	Room   Size          `sexp:"room"`
	Speed  Range         `sexp:"speed"`
	Delay  DurationRange `sexp:"delay"`
	Zones  []string      `sexp:"zones"`
	On     bool          `sexp:"on"`
	Kinds  []kind        `sexp:"kind"`
	Steps  []step        `sexp:"constant|ramp"`
	Inner  *kind         `sexp:"inner"`
	Mode   string        `sexp:"mode" one-of:"keep|close"`
	Number uint64        `sexp:"number"`
}

func (s *sample) SetDefaults() { s.Wait = time.Second }

func (s *sample) Check() error {
	if s.Hosts == 13 {
		return fmt.Errorf("13 hosts are one too many")
	}
	return nil
}

// Every kind of field tag and value is decoded, with the position of a list.
func TestDecode(t *testing.T) {
	var got sample
	err := DecodeText("a.sexp", []byte(`; a comment
(sample "two words" (hosts 9) (room 64KiB) (speed 0.5 2) (delay 5ms) (zones dakar "saint louis") (on)
  (kind a (share 27%)) (kind b (share 0.5)) (ramp (for 3s)) (constant (for 1m)) (ramp) (inner c (share 1)) (mode close) (number 18446744073709551615))`), "sample", &got)
	if err != nil {
		t.Fatal(err)
	}
	want := sample{Title: "two words", Hosts: 9, Wait: time.Second, Room: 65536, Speed: Range{0.5, 2}, Delay: DurationRange{5 * time.Millisecond, 5 * time.Millisecond},
		Zones: []string{"dakar", "saint louis"}, On: true, Kinds: []kind{{Name: "a", Share: 0.27}, {Name: "b", Share: 0.5}},
		Steps: []step{{"ramp", 3 * time.Second}, {"constant", time.Minute}, {"ramp", 0}}, Inner: &kind{Name: "c", Share: 1}, Mode: "close", Number: 1<<64 - 1}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreTypes(Pos{})); diff != "" {
		t.Error(diff)
	}
	if p := got.Kinds[1].Where; p != (Pos{"a.sexp", 3, 24}) {
		t.Errorf("the second kind is at %v", p)
	}
}

// Each fault is reported with its position and the path of its key.
func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		`(sample (hosts 9)`:                            `f:1:1: parenthesis is not closed`,
		`(sample (hosts 9)))`:                          `f:1:19: closing parenthesis without an opening one`,
		"(sample\n (hosts \"9\n\"))":                   `f:2:9: quoted text is not closed on its line`,
		`(sample (hosts "\q"))`:                        `f:1:16: quoted text has an unknown escape`,
		`(sample (hosts nine))`:                        `f:1:16: sample.hosts: want a whole number, have "nine"`,
		`(sample (hosts "9"))`:                         `f:1:16: sample.hosts: want a value without quotes, have "9"`,
		`(sample (hosts 0))`:                           `f:1:16: sample.hosts: want at least 1, have "0"`,
		`(sample (hosts 9) (hosts 9))`:                 `f:1:19: sample.hosts: given twice`,
		`(sample (hosts 9 9))`:                         `f:1:9: sample.hosts: want one value, have 2`,
		`(sample (hosts (9)))`:                         `f:1:16: sample.hosts: want a plain value, have a list`,
		`(sample)`:                                     `f:1:1: sample.hosts: missing`,
		"(sample (hosts 9)\n  (inner c))":              `f:2:3: sample.inner.share: missing`,
		`(sample (hosts 9) (kind (share 1)))`:          `f:1:19: sample.kind: want a name after the first word`,
		`(sample (hosts 9) (kind a (share 2)))`:        `f:1:34: sample.kind.share: want at most 1, have "2"`,
		`(sample (hosts 9) (kind a (part 2)))`:         `f:1:27: sample.kind.part: unknown key; known keys: share`,
		`(sample (hosts 9) (wait 5))`:                  `f:1:25: sample.wait: want a duration such as 750ms, have "5"`,
		`(sample (hosts 9) (ramp (for 0s)))`:           `f:1:30: sample.ramp.for: want at least 0.001 s, have "0s"`,
		`(sample (hosts 9) (room 5KB))`:                `f:1:25: sample.room: want a size such as 64KiB, have "5KB"`,
		`(sample (hosts 9) (speed 2 1))`:               `f:1:19: sample.speed: the first value is above the second`,
		`(sample (hosts 9) (speed Inf))`:               `f:1:26: sample.speed: want a number, have "Inf"`,
		`(sample (hosts 9) (on maybe))`:                `f:1:23: sample.on: want yes or no, have "maybe"`,
		`(sample (hosts 9) (mode open))`:               `f:1:25: sample.mode: want one of keep, close, have "open"`,
		`(sample a b (hosts 9))`:                       `f:1:11: sample: unexpected plain value "b"`,
		`(sample (hosts 13))`:                          `f:1:1: sample: 13 hosts are one too many`,
		`(other)`:                                      `f:1:1: want a list (sample …)`,
		``:                                             `f:1:1: want one list (sample …)`,
		`(sample (hosts 9)) (sample)`:                  `f:1:20: want no more than one list (sample …)`,
		strings.Repeat("(", maxDepth+1):                fmt.Sprintf(`f:1:%d: lists nest deeper than %d`, maxDepth+1, maxDepth),
		"(sample \xff)":                                `f:1:1: text is not UTF-8`,
		"(sample \x01)":                                `f:1:9: character '\x01' is not allowed in a word`,
		`(sample (hosts 9) (number -1))`:               `f:1:27: sample.number: want a whole number from 0, have "-1"`,
		`(sample (hosts 99999999999999999999999999))`:  `f:1:16: sample.hosts: want a whole number, have "99999999999999999999999999"`,
		`(sample (hosts 9) (room 99999999999999GiB))`:  `f:1:25: sample.room: want a size such as 64KiB, have "99999999999999GiB"`,
		`(sample (hosts 9) ((share 1)))`:               `f:1:19: sample.: unknown key; known keys: hosts, wait, room, speed, delay, zones, on, kind, constant, ramp, inner, mode, number`,
		`(sample (hosts 9) (inner c (share 1) (x 1)))`: `f:1:38: sample.inner.x: unknown key; known keys: share`,
	} {
		var s sample
		err := DecodeText("f", []byte(text), "sample", &s)
		if err == nil || err.Error() != want {
			t.Errorf("%q:\n got %v\nwant %s", text, err, want)
		}
	}
}

// drawNode generates any expression that can be written.
func drawNode(t *rapid.T, depth int) *Node {
	comments := rapid.SliceOfN(rapid.StringMatching(`[a-z(" ]{0,12}[a-z]`), 0, 2).Draw(t, "comments")
	for i := range comments {
		comments[i] = strings.TrimSpace(comments[i])
	}
	if len(comments) == 0 {
		comments = nil
	}
	n := &Node{Comments: comments}
	switch pick := rapid.IntRange(0, 3).Draw(t, "kind"); {
	case pick == 0 && depth < 5:
		n.Kind = List
		for range rapid.IntRange(0, 4).Draw(t, "items") {
			n.Items = append(n.Items, drawNode(t, depth+1))
		}
		if rapid.Bool().Draw(t, "tail") {
			n.Tail = []string{"behind"}
		}
	case pick == 1:
		n.Kind, n.Text = String, rapid.String().Draw(t, "text")
	default:
		n.Text = rapid.StringMatching(`[a-zé0-9%.<>=+*/-]{1,8}`).Draw(t, "word")
	}
	return n
}

// The output of Format parses to the same expressions, comments included, and formats to the same text.
func TestFormatRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []*Node
		for range rapid.IntRange(0, 3).Draw(t, "nodes") {
			nodes = append(nodes, drawNode(t, 0))
		}
		text := Format(nodes)
		again, err := Parse("f", []byte(text))
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if diff := cmp.Diff(nodes, again, cmpopts.IgnoreTypes(Pos{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("%s\n%s", diff, text)
		}
		if twice := Format(again); twice != text {
			t.Fatalf("formats to\n%s\nthen to\n%s", text, twice)
		}
	})
}

// The shipped experiments are in the canonical form that Format writes.
func TestShippedFilesAreFormatted(t *testing.T) {
	files, err := filepath.Glob("../../lab/*.sexp")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files: %v", err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		nodes, err := Parse(f, text)
		if err != nil {
			t.Fatal(err)
		}
		if got := Format(nodes); got != string(text) {
			t.Errorf("%s is not formatted; gwlab settings format -w does it", f)
		}
	}
}

// No text makes the parser panic, and what it accepts can be written and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`(sample "a" (hosts 9) ; comment` + "\n(speed 1 2))"))
	f.Add([]byte("(((((\"\\u1234\""))
	f.Fuzz(func(t *testing.T, text []byte) {
		nodes, err := Parse("f", text)
		if err != nil {
			return
		}
		var s sample
		DecodeText("f", text, "sample", &s)
		if _, err := Parse("f", []byte(Format(nodes))); err != nil {
			t.Fatalf("%v in what Format wrote", err)
		}
	})
}
