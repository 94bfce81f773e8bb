package slack

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

const sec = 1_000_000

// totalLoad returns the load of a number of members that each have a demand of work slot-seconds a second, half of it
// with a value of 3 a slot-second and half with a value of 1, from jobs with a slack of two seconds. waiting is the
// work that waits at hosts, of all members together.
func totalLoad(members int, work, waiting float64) *Load {
	l := &Load{}
	for range members {
		g := &Gauge{}
		for at := range 400 {
			for _, value := range []float64{1, 3} {
				g.Asked(int64(at)*sec/100, value*work/200, work/200, 2)
			}
		}
		l.Add(g.Load(4*sec, waiting/float64(members)), 1)
	}
	return l
}

// steadyPrice returns the price after five seconds without a change.
func steadyPrice(l *Load, heard, members int, capacity float64) float64 {
	p := &Price{}
	for at := range int64(50) {
		p.Set(at*sec/10, l, heard, members, capacity)
	}
	return p.Now()
}

// The price is 0 while the capacity suffices or too few members are heard, and rises with the demand and the waiting
// work.
func TestPrice(t *testing.T) {
	for name, c := range map[string]struct {
		load           *Load
		heard, members int
		low, high      float64
	}{
		"enough capacity":                         {totalLoad(10, 8, 0), 10, 10, 0, 0},
		"enough capacity, but much waiting work":  {totalLoad(10, 8, 90), 10, 10, 0.8, 1.2},
		"demand of 1.5 times the capacity":        {totalLoad(10, 15, 50), 10, 10, 0.8, 1.2},
		"demand of high value above the capacity": {totalLoad(10, 24, 50), 10, 10, 2.4, 3.5},
		"seven of ten members heard":              {totalLoad(7, 15, 50), 7, 10, 0.35, 0.65},
		"half of the members heard":               {totalLoad(5, 24, 50), 5, 10, 0, 0},
		"no other member heard":                   {totalLoad(1, 240, 50), 1, 10, 0, 0},
		"the only member":                         {totalLoad(1, 240, 50), 1, 1, 0, 0},
	} {
		if got := steadyPrice(c.load, c.heard, c.members, 100); got < c.low || got > c.high {
			t.Errorf("%s: a price of %g, want %g to %g", name, got, c.low, c.high)
		}
	}
	if got := steadyPrice(totalLoad(10, 24, 50), 10, 10, 0); got != 0 {
		t.Errorf("without any known capacity: a price of %g", got)
	}
}

// The demand of higher value than the price never exceeds the admitted capacity, and together with the demand in the
// price's own band it never falls short of it. The price does not fall as demand or waiting work grows, and does not
// rise as capacity grows or as fewer members are heard.
func TestPriceClearsDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Load{}
		for i := range l {
			l[i] = rapid.Float64Range(0, 50).Draw(t, "figure")
		}
		capacity := rapid.Float64Range(1, 2000).Draw(t, "capacity")
		p := steadyPrice(l, 10, 10, capacity)
		admitted := capacity * math.Min(math.Max(targetUtilization+(l.targetWait()-l.Waits()/capacity)/correctionTime, minAdmitted), maxAdmitted)
		above, within := 0.0, 0.0
		for b, v := range l[:valueBands] {
			if lower := minValue * math.Pow(bandRatio, float64(b)); lower >= p*1.001 {
				above += v
			} else if lower*bandRatio >= p*0.999 {
				within += v
			}
		}
		if above > admitted+1e-6 || p > minValue*1.01 && above+within < admitted*0.999 {
			t.Fatalf("a price of %g: demand of %g above it and %g in its band, admitted capacity %g", p, above, within, admitted)
		}
		more := *l
		more[rapid.IntRange(0, valueBands-1).Draw(t, "band")] += 10
		waiting := *l
		waiting[Size-1] += 10
		for change, other := range map[string]float64{
			"demand": steadyPrice(&more, 10, 10, capacity), "waiting work": steadyPrice(&waiting, 10, 10, capacity),
		} {
			if other < p*0.999 {
				t.Fatalf("a price of %g, but %g with more %s", p, other, change)
			}
		}
		for change, other := range map[string]float64{
			"more capacity": steadyPrice(l, 10, 10, capacity*1.5), "fewer members heard": steadyPrice(l, 8, 10, capacity*10/8),
		} {
			if other > p*1.001 {
				t.Fatalf("a price of %g, but %g with %s", p, other, change)
			}
		}
	})
}

// The price follows a change within a second. It falls to 0 within two seconds after the capacity suffices again or too
// few members are heard.
func TestPriceFollowsLoad(t *testing.T) {
	p, l := &Price{}, totalLoad(10, 24, 50)
	until := func(at, timeout int64, l *Load, heard int, reached func(v float64) bool) int64 {
		for end := at + timeout; !reached(p.Now()); at += sec / 10 {
			if at > end {
				t.Fatalf("the price is still %g after %d us", p.Now(), timeout)
			}
			p.Set(at, l, heard, 10, 100)
		}
		return at
	}
	at := until(sec, sec, l, 10, func(v float64) bool { return v > 2 })
	at = until(at, 2*sec, totalLoad(10, 5, 0), 10, func(v float64) bool { return v == 0 })
	at = until(at, sec, l, 10, func(v float64) bool { return v > 2 })
	until(at, 2*sec, l, 3, func(v float64) bool { return v == 0 })
}

// Invalid figures are not counted, and extreme ones count in the first or last band.
func TestGauge(t *testing.T) {
	g := &Gauge{}
	for _, v := range [][3]float64{{0, 1, 1}, {1, 0, 1}, {1, 1, 0}, {1, 1, -3}, {math.NaN(), 1, 1}, {1, math.NaN(), 1}, {1, 1, math.NaN()}, {math.Inf(1), 1, 1}} {
		g.Asked(1, v[0], v[1], v[2])
	}
	if l := g.Load(2, 0); *l != (Load{}) {
		t.Errorf("%v", l)
	}
	g.Asked(3, 1e9, 1e-9, 1e9)
	g.Asked(3, 1e-9, 1e9, 1e-9)
	if l := g.Load(3, 7); !(l[0] > 0 && l[valueBands-1] > 0 && l[valueBands] > 0 && l[valueBands+slackBands-1] > 0) || l.Waits() != 7 {
		t.Errorf("extreme figures: %v", l)
	}
}
