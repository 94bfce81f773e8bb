// Package ejection ejects failing hosts together with the other members of a fleet (outlier detection). It connects the
// dispatcher's own observations (package verdict), the ledger that brings the votes of the other members, and the
// scheduler, which avoids a host while a verdict holds.
//
// The dispatcher makes one Ejector and calls Round in every round of reports. The package does no I/O and reads no
// clock.
package ejection

import (
	"cmp"
	"slices"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/verdict"
	"granitewing/logic"
)

// Ejector holds the votes and verdicts of one dispatcher. It must not be used by two goroutines at once.
type Ejector struct {
	book     *verdict.Evidence
	judge    *verdict.Detector
	ownVotes []verdict.Vote
	verdicts []verdict.Verdict
	begun    int                     // verdicts begun since the start
	ejected  map[logic.WorkerID]bool // hosts with a verdict in the last round
}

// New returns the Ejector of the dispatcher named self in a zone. It makes core report the outcomes of its attempts to
// it.
func New(self string, zone int, core *dispatch.Core) *Ejector {
	book := verdict.NewEvidence(zone)
	core.ReportHealthTo(book)
	return &Ejector{book: book, judge: verdict.NewDetector(self, book)}
}

// verdictRounds is the number of rounds for which a verdict holds if it is not renewed.
const verdictRounds = 3

// Round runs one round of the exchange of reports. It passes the verdicts that hold now and the runs of the other
// members to the core, and puts this dispatcher's own votes and runs into its report. members is the number of
// dispatchers with a valid report, this one included; every is the time between two rounds.
func (c *Ejector) Round(now int64, l *ledger.Ledger, core *dispatch.Core, members int, every time.Duration, own *ledger.Report) {
	for _, r := range l.Ran(now) {
		core.RecordOthersRuns(now, r.Host, r.Run, r.Work)
	}
	core.Runs(now, func(host logic.WorkerID, run, work float64) {
		if work > ledger.MinRuns {
			own.Ran = append(own.Ran, ledger.HostRuns{Host: host, Run: run, Work: work})
		}
	})
	slices.SortFunc(own.Ran, func(a, b ledger.HostRuns) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Host, b.Host))
	})
	votes := l.Votes(now, c.ownVotes)
	c.ownVotes = c.book.Votes(now, votes)
	own.Votes = c.ownVotes
	c.verdicts = nil
	if len(votes) == 0 {
		c.ejected = nil
		return
	}
	var hosts []verdict.Host
	core.Hosts(func(id logic.WorkerID, h dispatch.Host) {
		hosts = append(hosts, verdict.Host{ID: id, Kind: h.Kind, Zone: h.Zone, Weight: max(h.Weight, 1e-6)})
	})
	c.verdicts = c.judge.Verdicts(now, votes, hosts, members)
	before := c.ejected
	c.ejected = map[logic.WorkerID]bool{}
	for _, v := range c.verdicts {
		core.EjectUntil(now, v.Host, now+verdictRounds*every.Microseconds())
		c.ejected[v.Host] = true
		if !before[v.Host] {
			c.begun++
		}
	}
}

// State is a snapshot of an Ejector, for metrics.
type State struct {
	VotesAgainst  int               // this dispatcher's own votes against hosts
	Verdicts      []verdict.Verdict // that hold now
	VerdictsTotal int               // verdicts begun since the start
}

// State returns the state after the last round.
func (c *Ejector) State() State {
	s := State{Verdicts: c.verdicts, VerdictsTotal: c.begun}
	for _, v := range c.ownVotes {
		s.VotesAgainst += int(v.Bad)
	}
	return s
}
