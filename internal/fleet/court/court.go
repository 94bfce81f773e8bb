// Package court has a dispatcher judge hosts with the other members of its fleet: it carries votes between its book, the
// ledger that brings those of others, and the decisions. It does no I/O and reads no clock.
package court

import (
	"cmp"
	"slices"
	"time"

	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/verdict"
	"granitewing/internal/memory"
	"granitewing/logic"
)

// Court is one dispatcher's. It must not be used by two goroutines at once.
type Court struct {
	book     *verdict.Book
	judge    *verdict.Judge
	own      []verdict.Vote
	verdicts []verdict.Verdict
	passed   int // verdicts begun in all
	last     map[logic.WorkerID]bool
}

// New makes the court of a dispatcher of a zone, and has its core tell what it finds.
func New(self string, zone int, core *memory.Core) *Court {
	book := verdict.NewBook(zone)
	core.Tell(book)
	return &Court{book: book, judge: verdict.NewJudge(self, book)}
}

// roundsTold is for how many rounds a verdict holds without being told anew.
const roundsTold = 3

// Sit tells the decisions the verdicts that hold now and the runs of others, and puts this dispatcher's own votes and runs
// into its report.
func (c *Court) Sit(now int64, l *ledger.Ledger, core *memory.Core, members int, every time.Duration, own *ledger.Report) {
	for _, r := range l.Ran(now) {
		core.HeardRan(now, r.Host, r.Run, r.Work)
	}
	core.Ran(now, func(host logic.WorkerID, run, work float64) {
		if work > ledger.RanLeast {
			own.Ran = append(own.Ran, ledger.Ran{Host: host, Run: run, Work: work})
		}
	})
	slices.SortFunc(own.Ran, func(a, b ledger.Ran) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Host, b.Host)) })
	votes := l.Votes(now, c.own)
	c.own = c.book.Votes(now, votes)
	own.Votes = c.own
	c.verdicts = nil
	if len(votes) == 0 {
		c.last = nil
		return
	}
	var hosts []verdict.Host
	core.Hosts(func(id logic.WorkerID, h memory.Host) {
		hosts = append(hosts, verdict.Host{ID: id, Kind: h.Kind, Zone: h.Zone, Weight: max(h.Weight, 1e-6)})
	})
	c.verdicts = c.judge.Judge(now, votes, hosts, members)
	before := c.last
	c.last = map[logic.WorkerID]bool{}
	for _, v := range c.verdicts {
		core.Verdict(now, v.Host, now+roundsTold*every.Microseconds())
		c.last[v.Host] = true
		if !before[v.Host] {
			c.passed++
		}
	}
}

// State is what a court tells of itself.
type State struct {
	Against  int // its own votes against hosts
	Verdicts []verdict.Verdict
	Passed   int // verdicts begun in all
}

// State tells how things are.
func (c *Court) State() State {
	s := State{Verdicts: c.verdicts, Passed: c.passed}
	for _, v := range c.own {
		s.Against += int(v.Bad)
	}
	return s
}
