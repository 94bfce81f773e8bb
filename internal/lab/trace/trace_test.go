package trace

import (
	"bytes"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(4, 4)) }

// An import sorts entries, drops repeated and unreadable ones, keeps the others, and reports all of it.
func TestImport(t *testing.T) {
	csv := `Time, class, work, zone
100.0, a, 0.5, dakar
101.5, b, 250ms,
101.0, a, 0.5, dakar
101.0, a, 0.5, dakar
nonsense, a, 1,
104, b, forever, x
90.25, a, ,
105, b
105, "b", 1, "x
`
	got, err := ReadCSV(strings.NewReader(csv))
	if err != nil {
		t.Fatal(err)
	}
	want := []Entry{{Class: "a"}, {At: 9750 * time.Millisecond, Class: "a", Work: 500 * time.Millisecond, Zone: "dakar"},
		{At: 10750 * time.Millisecond, Class: "a", Work: 500 * time.Millisecond, Zone: "dakar"}, {At: 11250 * time.Millisecond, Class: "b", Work: 250 * time.Millisecond},
		{At: 14750 * time.Millisecond, Class: "b"}}
	if diff := cmp.Diff(want, got.Entries); diff != "" {
		t.Error(diff)
	}
	f := Findings{Lines: 6, Unsorted: 3, Steps: 1, Repeated: 1, Bad: 3, First: `line 6: time "nonsense" is neither seconds nor RFC 3339`, Missing: []string{"key", "deadline"}}
	if diff := cmp.Diff(f, got.Found); diff != "" {
		t.Error(diff)
	}
	lines := `{"time":"2026-05-01T10:00:00Z","class":"a","work":0.5,"zone":"dakar"}

{"time":1777629601.5,"class":"b","work":"250ms","deadline":6}
{"class":"b"}
broken
`
	got, err = ReadJSON(strings.NewReader(lines))
	if err != nil {
		t.Fatal(err)
	}
	want = []Entry{{Class: "a", Work: 500 * time.Millisecond, Zone: "dakar"}, {At: 1500 * time.Millisecond, Class: "b", Work: 250 * time.Millisecond, Deadline: 6 * time.Second}}
	if diff := cmp.Diff(want, got.Entries); diff != "" || got.Found.Bad != 2 || !strings.HasPrefix(got.Found.First, "line 4: no time") {
		t.Errorf("%s %+v", diff, got.Found)
	}
	for _, text := range []string{"", "class\na\n", "time\nx\n"} {
		if _, err := ReadCSV(strings.NewReader(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
	// A written trace can be read again.
	var b bytes.Buffer
	if err := got.Write(&b); err != nil {
		t.Fatal(err)
	}
	again, err := ReadCSV(&b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(got.Entries, again.Entries); diff != "" {
		t.Error(diff)
	}
}

// recorded returns a trace of two classes with clusters and one gap of a minute.
func recorded() *Trace {
	r := rng()
	t := &Trace{}
	at := time.Duration(0)
	for i := range 4000 {
		if i%8 == 0 {
			at += time.Duration(r.ExpFloat64() * float64(400*time.Millisecond))
		}
		at += time.Duration(r.ExpFloat64() * float64(5*time.Millisecond))
		if i == 2000 {
			at += time.Minute
		}
		class := "a"
		if i%4 == 0 {
			class = "b"
		}
		t.Entries = append(t.Entries, Entry{At: at, Class: class})
	}
	return t
}

// A gap is kept, closed or filled according to the mode, and always reported.
func TestGaps(t *testing.T) {
	whole := recorded()
	for mode, want := range map[GapMode]string{Keep: "kept", Close: "closed", Fill: "filled with"} {
		got, rep := whole.Gaps(mode, 10*time.Second, rng())
		if rep.Gaps != 1 || !strings.Contains(rep.String(), want) {
			t.Errorf("%s: %s", mode, rep)
		}
		longest := time.Duration(0)
		for i := 1; i < len(got.Entries); i++ {
			d := got.Entries[i].At - got.Entries[i-1].At
			if d < 0 {
				t.Fatalf("%s: entries out of order", mode)
			}
			longest = max(longest, d)
		}
		switch mode {
		case Keep:
			if longest < time.Minute || len(got.Entries) != 4000 {
				t.Errorf("kept: longest distance %v, %d entries", longest, len(got.Entries))
			}
		case Close:
			if longest > 10*time.Second || got.Length() > whole.Length()-55*time.Second {
				t.Errorf("closed: longest distance %v, length %v of %v", longest, got.Length(), whole.Length())
			}
		case Fill:
			rate := 4000 / (whole.Length() - time.Minute).Seconds()
			if filled := float64(rep.Filled) / (rate * 60); longest > 10*time.Second || filled < 0.7 || filled > 1.3 || got.Length() != whole.Length() {
				t.Errorf("filled: longest distance %v, %.2f of the expected entries", longest, filled)
			}
		}
	}
	if _, rep := whole.Gaps(Keep, 0, rng()); rep.Gaps != 1 {
		t.Errorf("default limit: %s", rep)
	}
}

// Scaling changes time and rate, and preserves the mix and the clusters.
func TestScale(t *testing.T) {
	whole, _ := recorded().Gaps(Close, 10*time.Second, rng())
	before := whole.Summary()
	for _, c := range []struct{ pace, rate float64 }{{1, 1}, {2, 1}, {1, 2.8}, {1, 0.4}, {0.5, 1.7}} {
		after := whole.Scale(c.pace, c.rate, rng()).Summary()
		if got := float64(after.Entries) / float64(before.Entries); math.Abs(got/c.rate-1) > 0.08 {
			t.Errorf("%v: %.3f times the entries", c, got)
		}
		if got := before.Seconds / after.Seconds; math.Abs(got/c.pace-1) > 0.05 {
			t.Errorf("%v: %.3f times as fast", c, got)
		}
		if math.Abs(after.Mix["b"]-before.Mix["b"]) > 0.03 {
			t.Errorf("%v: class b is %.3f of the entries, was %.3f", c, after.Mix["b"], before.Mix["b"])
		}
		if c.rate >= 1 && after.Variation < 0.6*before.Variation {
			t.Errorf("%v: gap variation %.2f, was %.2f", c, after.Variation, before.Variation)
		}
	}
}

// No input makes the reader panic.
func FuzzReadCSV(f *testing.F) {
	f.Add([]byte("time,class\n1,a\n0.5,b\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if tr, err := ReadCSV(bytes.NewReader(text)); err == nil {
			tr.Gaps(Fill, time.Hour, rng())
			tr.Scale(2, 1.5, rng())
			tr.Summary()
		}
	})
}
