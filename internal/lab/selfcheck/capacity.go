package selfcheck

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	vegeta "github.com/tsenart/vegeta/v12/lib"

	"granitewing/internal/lab/load"
	"granitewing/internal/lab/world"
)

// maxLag is the largest 99th percentile of the send lag at which a rate counts as sustained.
const maxLag = 2 * time.Millisecond

// Step holds the runs of both generators at one rate.
type Step struct {
	Rate     int             `json:"rate"`              // requests per second
	Ours     []time.Duration `json:"lag_p99_ns"`        // 99th percentile of the send lag, by run
	Vegeta   []time.Duration `json:"vegeta_lag_p99_ns"` // the same for vegeta
	OursSent []int           `json:"answered"`          // requests answered, by run
	VegSent  []int           `json:"vegeta_answered"`   // the same for vegeta
}

// Capacity holds the highest rates that this generator and vegeta sustained, in requests per second.
type Capacity struct {
	Steps  []Step `json:"steps"`
	Ours   int    `json:"rate"`
	Vegeta int    `json:"vegeta_rate"`
}

// MeasureCapacity runs both generators at increasing rates against the server at addr, in alternation: pairs times each
// at every rate, for a given duration. A rate is sustained if the median of the lags is within 2 ms and 99% of the
// requests are answered. A generator that did not sustain a rate is not run at higher ones. progress, if not nil, gets
// a progress message per rate. If ctx ends, the steps so far are returned with its error.
func MeasureCapacity(ctx context.Context, addr string, rates []int, pairs int, duration time.Duration, progress func(string)) (*Capacity, error) {
	c := &Capacity{}
	oursFailed, vegetaFailed := false, false
	for _, rate := range rates {
		s := Step{Rate: rate}
		want := int(float64(rate) * duration.Seconds() * 0.99)
		for k := range pairs {
			for turn := range 2 {
				if ctx.Err() != nil {
					return c, ctx.Err()
				}
				if ours := (turn+k)%2 == 0; ours && !oursFailed {
					lag, n, err := runOurs(ctx, addr, rate, duration)
					if err != nil {
						return c, err
					}
					s.Ours, s.OursSent = append(s.Ours, lag), append(s.OursSent, n)
				} else if !ours && !vegetaFailed {
					lag, n := runVegeta(addr, rate, duration)
					s.Vegeta, s.VegSent = append(s.Vegeta, lag), append(s.VegSent, n)
				}
			}
		}
		sustained := func(lags []time.Duration, sent []int) bool {
			return len(lags) > 0 && median(lags) <= maxLag && median(sent) >= want
		}
		if sustained(s.Ours, s.OursSent) {
			c.Ours = rate
		} else {
			oursFailed = true
		}
		if sustained(s.Vegeta, s.VegSent) {
			c.Vegeta = rate
		} else {
			vegetaFailed = true
		}
		c.Steps = append(c.Steps, s)
		if progress != nil {
			progress(fmt.Sprintf("%d a second", rate))
		}
		if oursFailed && vegetaFailed {
			break
		}
	}
	return c, nil
}

// median returns the middle of the sorted list, the upper one of two.
func median[T int | time.Duration](list []T) T {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

// runOurs sends an even schedule of requests with this project's generator. It returns the 99th percentile of the send
// lag and the number of answered requests.
func runOurs(ctx context.Context, addr string, rate int, duration time.Duration) (time.Duration, int, error) {
	spec, err := world.Parse("capacity", fmt.Sprintf(`(experiment capacity (descriptors 4096)
  (class check (share 1) (work 1ms) (aim 1s) (give-up 5s) (repeat safe)) (data-sets (count 0))
  (clients (retries 0) (impatient 0) (connections 100%%))
  (load (process even) (programme (constant (for %v) (rate %d)))))`, duration, rate))
	if err != nil {
		return 0, 0, err
	}
	day, err := spec.Draw(1)
	if err != nil {
		return 0, 0, err
	}
	res, err := load.Run(ctx, load.Options{Day: day, Targets: []load.Target{{Addr: addr, Zone: -1}}, Seed: 1, Begin: time.Now().Add(20 * time.Millisecond), Prefix: "k"})
	if err != nil {
		return 0, 0, err
	}
	rows := res.Recorder.Rows()
	return time.Duration(res.Verdict.LagP99 * float64(time.Millisecond)), int(rows[0].InTime + rows[0].Late), nil
}

// runVegeta sends the same requests with vegeta. The lag of a request is its send time relative to an even schedule
// that begins with the first one.
func runVegeta(addr string, rate int, duration time.Duration) (time.Duration, int) {
	body := []byte(`{"work_us":1000,"slots":1,"memory":0,"set":0}`)
	header := http.Header{"X-Txn": {"vegeta"}, "X-Lane": {"check"}, "X-Remaining": {"5.000"}, "X-Estimate": {"1000"}, "X-Labels": {"slots=1,memory=0"}}
	targeter := vegeta.NewStaticTargeter(vegeta.Target{Method: "POST", URL: "http://" + addr + "/check", Body: body, Header: header})
	attacker := vegeta.NewAttacker(vegeta.KeepAlive(true), vegeta.Connections(4096), vegeta.MaxConnections(4096), vegeta.Timeout(5*time.Second))
	defer attacker.Stop()
	var times []time.Time
	answered := 0
	for res := range attacker.Attack(targeter, vegeta.Rate{Freq: rate, Per: time.Second}, duration, "") {
		times = append(times, res.Timestamp)
		if res.Code == 200 {
			answered++
		}
	}
	if len(times) == 0 {
		return time.Hour, 0
	}
	slices.SortFunc(times, time.Time.Compare)
	lags := make([]time.Duration, len(times))
	for i, t := range times {
		lags[i] = max(t.Sub(times[0])-time.Duration(float64(i)/float64(rate)*float64(time.Second)), 0)
	}
	slices.Sort(lags)
	return Quantile(lags, 99), answered
}

// Write writes the result as a text table.
func (c *Capacity) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rate\tsend lag p99, medians: ours\tvegeta\tspread: ours\tvegeta\t")
	text := func(l []time.Duration) (string, string) {
		if len(l) == 0 {
			return "-", "-"
		}
		round := func(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
		return round(median(l)).String(), fmt.Sprintf("%v to %v", round(slices.Min(l)), round(slices.Max(l)))
	}
	for _, s := range c.Steps {
		a, as := text(s.Ours)
		b, bs := text(s.Vegeta)
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t\n", s.Rate, a, b, as, bs)
	}
	t.Flush()
	fmt.Fprintf(w, "highest rate with a lag under %v at p99: ours %d a second, vegeta %d a second\n", maxLag, c.Ours, c.Vegeta)
}
