package slack

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

const sec = 1_000_000

// asked is what is asked for in all where each of some members is asked for so much slot-work a second, half of it worth 3 a
// slot-second and half 1, by jobs that can wait two seconds.
func asked(members int, work, waits float64) *Load {
	l := &Load{}
	for range members {
		g := &Gauge{}
		for at := range 400 {
			for _, worth := range []float64{1, 3} {
				g.Asked(int64(at)*sec/100, worth*work/200, work/200, 2)
			}
		}
		l.Add(g.Load(4*sec, waits/float64(members)), 1)
	}
	return l
}

// settled is the price once nothing has changed for long.
func settled(l *Load, heard, members int, capacity float64) float64 {
	p := &Price{}
	for at := range int64(50) {
		p.Set(at*sec/10, l, heard, members, capacity)
	}
	return p.Now()
}

func TestPrice(t *testing.T) {
	for name, c := range map[string]struct {
		load           *Load
		heard, members int
		least, most    float64
	}{
		"room for all":                         {asked(10, 8, 0), 10, 10, 0, 0},
		"room for all, where much waits":       {asked(10, 8, 90), 10, 10, 0.8, 1.2},
		"half as much again":                   {asked(10, 15, 50), 10, 10, 0.8, 1.2},
		"more of the better than there is":     {asked(10, 24, 50), 10, 10, 2.4, 3.5},
		"seven of ten heard, the rest as they": {asked(7, 15, 50), 7, 10, 0.35, 0.65},
		"half heard":                           {asked(5, 24, 50), 5, 10, 0, 0},
		"nobody else heard":                    {asked(1, 240, 50), 1, 10, 0, 0},
		"alone":                                {asked(1, 240, 50), 1, 1, 0, 0},
	} {
		if got := settled(c.load, c.heard, c.members, 100); got < c.least || got > c.most {
			t.Errorf("%s: a price of %g, want %g to %g", name, got, c.least, c.most)
		}
	}
	if got := settled(asked(10, 24, 50), 10, 10, 0); got != 0 {
		t.Errorf("without any capacity known: %g", got)
	}
}

// What is worth more than the price is never more than there is room for, and with what lies in the price's own band never
// less; the price does not fall as more is asked for or waits, nor rise with capacity or as fewer members are heard.
func TestPriceClears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Load{}
		for i := range l {
			l[i] = rapid.Float64Range(0, 50).Draw(t, "figure")
		}
		capacity := rapid.Float64Range(1, 2000).Draw(t, "capacity")
		p := settled(l, 10, 10, capacity)
		room := capacity * math.Min(math.Max(used+(l.wanted()-l.Waits()/capacity)/settles, letLeast), letMost)
		above, within := 0.0, 0.0
		for b, v := range l[:worths] {
			if lower := lowest * math.Pow(ratio, float64(b)); lower >= p*1.001 {
				above += v
			} else if lower*ratio >= p*0.999 {
				within += v
			}
		}
		if above > room+1e-6 || p > lowest*1.01 && above+within < room*0.999 {
			t.Fatalf("a price of %g: %g worth more and %g about as much, room for %g", p, above, within, room)
		}
		more := *l
		more[rapid.IntRange(0, worths-1).Draw(t, "band")] += 10
		waits := *l
		waits[Size-1] += 10
		for what, other := range map[string]float64{
			"asked for": settled(&more, 10, 10, capacity), "waits": settled(&waits, 10, 10, capacity),
		} {
			if other < p*0.999 {
				t.Fatalf("a price of %g, of %g where more %s", p, other, what)
			}
		}
		for what, other := range map[string]float64{
			"there is more capacity": settled(l, 10, 10, capacity*1.5), "fewer are heard": settled(l, 8, 10, capacity*10/8),
		} {
			if other > p*1.001 {
				t.Fatalf("a price of %g, of %g where %s", p, other, what)
			}
		}
	})
}

// The price follows within a second, and ends within two once there is room again or nobody is heard any more.
func TestPriceFollows(t *testing.T) {
	p, l := &Price{}, asked(10, 24, 50)
	until := func(at, length int64, l *Load, heard int, good func(v float64) bool) int64 {
		for end := at + length; !good(p.Now()); at += sec / 10 {
			if at > end {
				t.Fatalf("at %g, %d us later", p.Now(), length)
			}
			p.Set(at, l, heard, 10, 100)
		}
		return at
	}
	at := until(sec, sec, l, 10, func(v float64) bool { return v > 2 })
	at = until(at, 2*sec, asked(10, 5, 0), 10, func(v float64) bool { return v == 0 })
	at = until(at, sec, l, 10, func(v float64) bool { return v > 2 })
	until(at, 2*sec, l, 3, func(v float64) bool { return v == 0 })
}

// What makes no sense is not asked for.
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
	if l := g.Load(3, 7); !(l[0] > 0 && l[worths-1] > 0 && l[worths] > 0 && l[worths+slacks-1] > 0) || l.Waits() != 7 {
		t.Errorf("at the ends: %v", l)
	}
}
