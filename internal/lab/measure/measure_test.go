package measure

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The recorders of two generators, one of them read from its file, merge to the same figures as one recorder of
// all samples.
func TestMerge(t *testing.T) {
	classes := []string{"a", "b"}
	whole, one, two := NewRecorder(classes), NewRecorder(classes), NewRecorder(classes)
	rng := rand.New(rand.NewPCG(2, 2))
	for i := range 5000 {
		s := Sample{Class: rng.IntN(2), At: time.Duration(rng.IntN(20_000)) * time.Millisecond, Latency: time.Duration(rng.ExpFloat64() * float64(time.Second)),
			Outcome: Outcome(rng.IntN(len(Outcomes))), Worth: 2, Tries: 1 + rng.IntN(3)}
		whole.Add(s)
		if i%3 == 0 {
			one.Add(s)
		} else {
			two.Add(s)
		}
	}
	text, err := json.Marshal(two)
	if err != nil {
		t.Fatal(err)
	}
	var back Recorder
	if err := json.Unmarshal(text, &back); err != nil {
		t.Fatal(err)
	}
	if err := one.Merge(&back); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(whole.Rows(), one.Rows()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(whole.Series(), one.Series()); diff != "" {
		t.Error(diff)
	}
	if err := one.Merge(NewRecorder([]string{"a"})); err == nil {
		t.Error("recorders with different classes were merged")
	}
	for _, bad := range []string{`{"classes":["a"],"tries":[]}`, `{"classes":["a"],"tries":[1],"worth_asked":[1],"worth_in_time":[1],"latencies":[{"class":3,"hdr":"x"}]}`} {
		if err := json.Unmarshal([]byte(bad), &back); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}

// Rows count by class and outcome, the value is measured by second, and latencies include served jobs only.
func TestRows(t *testing.T) {
	r := NewRecorder([]string{"a"})
	for i, o := range Outcomes {
		r.Add(Sample{At: time.Duration(i) * time.Second, Latency: time.Duration(i+1) * 100 * time.Millisecond, Outcome: o, Worth: 1, Tries: 1})
	}
	row := r.Rows()[0]
	got := []int64{row.Asked, row.InTime, row.Late, row.Refused, row.Failed, row.Unanswered, row.Left, row.Tries}
	if diff := cmp.Diff([]int64{6, 1, 1, 1, 1, 1, 1, 6}, got); diff != "" {
		t.Error(diff)
	}
	if row.Service < 0.166 || row.Service > 0.167 || row.Max < 199*time.Millisecond || row.Max > 201*time.Millisecond {
		t.Errorf("service %.3f, maximum %v", row.Service, row.Max)
	}
	if s := r.Series(); len(s) != 6 || s[0].Service != 1 || s[1].Service != 0 {
		t.Errorf("series %+v", s)
	}
	var b bytes.Buffer
	WriteTable(&b, r.Rows())
	if !strings.Contains(b.String(), "16.7%") {
		t.Errorf("table\n%s", b.String())
	}
}
