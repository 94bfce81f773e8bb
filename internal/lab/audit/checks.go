package audit

import (
	"cmp"
	"math"
	"slices"

	"granitewing/internal/lab/client"
)

// Checks of each try and attempt, and the load of each host.

func (l *Log) checkAnswer(name string, t *try, rule *Rule, rep *Report) {
	if !t.sentByClient {
		rule.breach("%s reached a host and no client sent it", name)
		return
	}
	if t.extraAnswer {
		rule.breach("%s got more than one answer", name)
	}
	if !t.finished {
		rule.breach("%s got no answer before the run ended", name)
		return
	}
	switch t.result {
	case client.Broken, client.Silent:
		if l.killedDuring(t) {
			rep.Excused++
			return
		}
		rule.breach("%s got no whole answer: %s after %d ms", name, t.result, (t.ended-t.sent)/1000)
	case client.Served:
		if !slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.end == Done && a.answer == t.answer && a.rank == 0 }) {
			rule.breach("%s was served %q, which no host made", name, t.answer)
		}
		if i := slices.IndexFunc(t.attempts, func(a attempt) bool { return a.parts > 0 && a.end != Done }); i >= 0 {
			rule.breach("%s was served, and its part %d at %s did not come to its end", name, t.attempts[i].rank, t.attempts[i].host)
		}
	case client.Refused:
		if l.classes[t.class].Repeat == "unsafe" && slices.ContainsFunc(t.attempts, mayHaveRun) {
			rule.breach("%s was refused as if it had not run, and may have", name)
		}
	}
}

// killedDuring reports whether the dispatcher of a try was killed while the try was open.
func (l *Log) killedDuring(t *try) bool {
	return slices.ContainsFunc(l.kills[t.dispatcher], func(k kill) bool { return t.sent <= k.to && t.ended >= k.from })
}

// endTime returns the time at which the attempt ended; far in the future if it has not ended.
func (a *attempt) endTime() int64 {
	if a.end == Open {
		return math.MaxInt64 / 2
	}
	return a.ended
}

func mayHaveRun(a attempt) bool { return a.end != NeverRan }

func (l *Log) checkAttempts(name string, t *try, rule *Rule) {
	if !t.sentByClient {
		return
	}
	allowed := maxAttempts
	for _, a := range t.attempts {
		allowed = max(allowed, a.parts)
	}
	if len(t.attempts) > allowed {
		rule.breach("%s had %d attempts", name, len(t.attempts))
	}
	c := l.classes[t.class]
	sorted := slices.SortedStableFunc(slices.Values(t.attempts), func(a, b attempt) int { return cmp.Compare(a.arrived, b.arrived) })
	for i, a := range sorted {
		for _, b := range sorted[:i] {
			if a.parts > 0 && a.rank != b.rank && a.host != b.host {
				continue // parts of one gang, at different hosts
			}
			if a.parts > 0 {
				rule.breach("%s: part %d was sent to %s, and part %d to %s", name, a.rank, a.host, b.rank, b.host)
			}
			// An attempt may have ended before its host read it. The host then observes it late, after the next attempt has
			// already reached another host. Only the real overlap of the two counts.
			if overlap := min(b.endTime(), a.endTime()) - a.arrived; overlap > socketSlack {
				rule.breach("%s: an attempt at %s while one was out at %s, for %d ms", name, a.host, b.host, overlap/1000)
			}
			if !mayHaveRun(b) {
				continue
			}
			switch {
			case c.Repeat == "unsafe":
				rule.breach("%s (%s): sent to %s though it may have run at %s", name, c.Name, a.host, b.host)
			case c.Repeat == "keyed" && (a.cell != b.cell || a.arrived-b.arrived > c.Window):
				rule.breach("%s (%s): repeated at %s outside its rack or window after %s", name, c.Name, a.host, b.host)
			}
		}
	}
}

// leavingSince reports whether a dispatcher had to know, at the time of an attempt, that the host is draining or
// gone, and since when. The dispatcher has to know it from the time at which discovery sent it, or
// maxDiscoveryDelay after the change at the latest.
func (l *Log) leavingSince(a attempt) (int64, bool) {
	latest := func(list []phaseAt, lag int64) (phaseAt, bool) {
		var found phaseAt
		ok := false
		for _, p := range list {
			if p.at+lag <= a.firstByte {
				found, ok = phaseAt{p.at + lag, p.ready}, true
			}
		}
		return found, ok
	}
	lastReport, reportedOnce := latest(l.reported[phaseKey{a.dispatcher, a.host}], 0)
	lastListed, listedOnce := latest(l.listed[a.host], maxDiscoveryDelay)
	switch {
	case reportedOnce && !lastReport.ready:
		// A repeated notification of the same state does not restart the period.
		since := lastReport.at
		for _, p := range slices.Backward(l.reported[phaseKey{a.dispatcher, a.host}]) {
			if p.at > lastReport.at {
				continue
			}
			if p.ready {
				break
			}
			since = p.at
		}
		return since, true
	case listedOnce && !lastListed.ready && (!reportedOnce || lastReport.at < lastListed.at-maxDiscoveryDelay):
		return lastListed.at, true
	}
	return 0, false
}

// HostLoad is the load of one host.
type HostLoad struct {
	Host      string `json:"host"`
	PerSecond []int  `json:"attempts_per_second"`
}

// HostLoads returns the number of attempts that reached each host per second, sorted by host name.
func (l *Log) HostLoads() []HostLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads := map[string][]int{}
	for _, t := range l.tries {
		for _, a := range t.attempts {
			i := int(max(a.arrived, 0) / 1e6)
			s := loads[a.host]
			for len(s) <= i {
				s = append(s, 0)
			}
			s[i]++
			loads[a.host] = s
		}
	}
	var out []HostLoad
	for _, h := range slices.Sorted(mapKeys(loads)) {
		out = append(out, HostLoad{h, loads[h]})
	}
	return out
}
