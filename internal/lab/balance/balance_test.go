package balance

import (
	"math"
	"testing"

	"granitewing/internal/lab/model"
)

// fixture is a test fixture: hosts with a given number of slots, and a Watch that is updated with each call.
type fixture struct {
	watch *Watch
	hosts []*model.Host
	id    uint64
}

func newFixture(slots ...float64) *fixture {
	var machines []model.Machine
	f := &fixture{}
	for _, s := range slots {
		m := model.Machine{Cores: s, Speed: 1, Slots: s, Queue: 100}
		machines = append(machines, m)
		f.hosts = append(f.hosts, model.NewHost(m, nil, &model.Store{Room: 1}, 0, false))
	}
	f.watch = New(machines, 1_000_000)
	for i := range f.hosts {
		f.look(0, i, true)
	}
	return f
}

func (f *fixture) look(now int64, i int, up bool) { f.watch.RecordState(now, i, f.hosts[i], up) }

// offer gives host i a job from a dispatcher and returns the identifier of the attempt.
func (f *fixture) offer(now int64, i, dispatcher int, work, slots float64) uint64 {
	f.id++
	f.watch.RecordAttempt(now, i, f.hosts[i], dispatcher)
	f.hosts[i].Offer(now, model.Job{Attempt: f.id, Work: work, Slots: slots})
	f.look(now, i, true)
	return f.id
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Hosts count as idle only while a waiting job elsewhere could have run on them.
func TestIdleWhileWorkWaits(t *testing.T) {
	for name, c := range map[string]struct {
		slots []float64
		play  func(f *fixture)
		want  float64
	}{
		"no job waits": {[]float64{1, 1}, func(f *fixture) { f.offer(0, 0, 0, 1e6, 1) }, 0},
		"one job waits and one host is idle": {[]float64{1, 1}, func(f *fixture) {
			f.offer(0, 0, 0, 1e7, 1)
			f.offer(0, 0, 0, 1e7, 1)
		}, 0.5},
		"one waiting job counts against one idle host only": {[]float64{1, 1, 1, 1}, func(f *fixture) {
			f.offer(0, 0, 0, 1e7, 1)
			f.offer(0, 0, 0, 1e7, 1)
		}, 0.25},
		"two jobs wait and one host is idle": {[]float64{1, 1}, func(f *fixture) {
			for range 3 {
				f.offer(0, 0, 0, 1e7, 1)
			}
		}, 0.5},
		"a job of two slots does not fit a host of one": {[]float64{2, 1}, func(f *fixture) {
			f.offer(0, 0, 0, 1e7, 2)
			f.offer(0, 0, 0, 1e7, 2)
		}, 0},
		"an unreachable host is not idle": {[]float64{1, 1}, func(f *fixture) {
			f.look(0, 1, false)
			f.offer(0, 0, 0, 1e7, 1)
			f.offer(0, 0, 0, 1e7, 1)
		}, 0},
		"a job waits for half of the time": {[]float64{1, 1}, func(f *fixture) {
			f.offer(0, 0, 0, 1e7, 1)
			id := f.offer(0, 0, 0, 1e7, 1)
			f.hosts[0].Cancel(500_000, id)
			f.look(500_000, 0, true)
		}, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(c.slots...)
			c.play(f)
			if r := f.watch.Report(1_000_000); !near(r.Idle, c.want) {
				t.Errorf("idle %.4f, want %.4f", r.Idle, c.want)
			}
		})
	}
}

// Only attempts of at least five dispatchers within 0.1 s at a host with waiting work are a herd.
func TestHerds(t *testing.T) {
	for name, c := range map[string]struct {
		dispatchers, gap int // microseconds between consecutive attempts
		waits            bool
		herds            int
		share            float64
	}{
		"five at a host with waiting work": {5, 1000, true, 1, 5.0 / 7},
		"four are no herd":                 {4, 1000, true, 0, 0},
		"five at a host with free slots":   {5, 1000, false, 0, 0},
		"five within half a second":        {5, 100_000, true, 0, 0},
		"ten are one herd":                 {10, 1000, true, 1, 10.0 / 12},
	} {
		t.Run(name, func(t *testing.T) {
			slots := 100.0
			if c.waits {
				slots = 1
			}
			f := newFixture(slots)
			f.offer(0, 0, 99, 1e8, 1)
			f.offer(0, 0, 99, 1e8, 1)
			for d := range c.dispatchers {
				f.offer(int64(1_000_000+d*c.gap), 0, d, 1e8, 1)
			}
			if r := f.watch.Report(2_000_000); r.Herds != c.herds || !near(r.Herded, c.share) {
				t.Errorf("herds %d with %.3f of attempts, want %d with %.3f", r.Herds, r.Herded, c.herds, c.share)
			}
		})
	}
}

// Report sums the hosts' counts: done, refused, cancelled while running and cancelled while waiting.
func TestCountsByCause(t *testing.T) {
	f := newFixture(1)
	f.offer(0, 0, 0, 100, 1)
	running := f.offer(50, 0, 0, 1000, 1)
	waiting := f.offer(60, 0, 1, 1000, 1)
	f.offer(70, 0, 1, 1000, 2) // larger than the host
	f.hosts[0].Advance(200)
	f.hosts[0].Cancel(200, waiting)
	f.hosts[0].Cancel(600, running)
	f.look(600, 0, true)
	got := f.watch.Report(1000).Counts
	want := model.Counts{Offered: 4, Done: 1, Refused: 1, Unstarted: 1, Stopped: 1, Waited: 2, Work: 600, Wasted: 500}
	if got != want {
		t.Errorf("counts\n%+v, want\n%+v", got, want)
	}
}
