package simulation

import (
	"strings"
	"time"
)

// Result is what a day came to.
type Result struct {
	Broken  []string // rules, with what broke them
	Sent    int
	Shares  map[Share]float64
	Expired float64 // share of what was accepted that ended by its retention
	Retired int     // machines that were emptied and taken away
	Spread  int     // units of ordering keys that one carrier owns more than another
	History uint64  // hash of all that happened, and when
}

// Play plays a scenario.
func Play(s *Scenario) (*Result, error) {
	return play(s, func(string, string, error) {})
}

func play(s *Scenario, report func(process, event string, err error)) (*Result, error) {
	d := newDay(s)
	d.world.report = report
	d.world.runUntil(2 * time.Second)
	d.configure(0)
	d.world.runUntil(leadTime)
	begin := d.world.now
	for _, t := range []traffic{
		{host: "archive.example", service: archive, every: 40 * time.Millisecond, delayed: 4, called: true},
		{host: "alert.example", service: alert, every: 50 * time.Millisecond, keys: orderedKeys},
		{host: "partner.example", service: partner, every: 90 * time.Millisecond},
	} {
		d.startTraffic(t, begin+s.Traffic)
	}
	for _, event := range s.Events {
		if err := d.schedule(begin, event); err != nil {
			return nil, err
		}
	}
	d.world.runUntil(begin + s.Traffic)
	d.finish()
	expired := float64(d.expired) / float64(max(1, len(d.checker.accepted())))
	result := &Result{Broken: d.checker.broken, Sent: len(d.checker.records), Shares: d.checker.shares(), Expired: expired,
		Retired: d.retired, Spread: d.spread(), History: d.world.history.Sum64()}
	return result, d.failure
}

// schedule sets an event's time.
func (d *day) schedule(begin time.Duration, event Event) error {
	words := strings.Fields(event.What)
	do, err := d.action(words)
	if err != nil {
		return err
	}
	d.world.after(begin+event.At-d.world.now, do)
	return nil
}
