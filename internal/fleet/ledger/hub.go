package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"granitewing/internal/fleet/namehash"
	"granitewing/internal/fleet/slack"
	"granitewing/internal/fleet/verdict"
	"granitewing/logic"
)

// In a small fleet each member reports to all others. In a larger one that would cost each member work that grows with
// the fleet, so there some members are hubs. A member reports itself to one hub. A hub reports the sum of its group to
// the other hubs, and to each member of its group the sum of all other members. The hubs, and the hub of each member,
// follow from rendezvous hashing of the names of the present members, without any election. If two members see
// different memberships, a hub still sums the members that report to it.

// maxMeshMembers is the fleet size up to which every member is a hub and so reports to all others.
const maxMeshMembers = 12

// avoidFactor is the multiple of Limits.HubTimeout for which a hub that did not answer is not chosen.
const avoidFactor = 5

// noticeRounds is the number of rounds in which a member repeats that it moved, because datagrams may be lost.
const noticeRounds = 5

// Outgoing is a report and the names of the members that it is sent to.
type Outgoing struct {
	*Report
	To []string
}

// ExpectsAnswer reports whether the receivers are expected to answer.
func (o *Outgoing) ExpectsAnswer() bool { return o.Kind == Own || o.Kind == Group }

// rendezvous returns the n names with the highest hashes for a salt, highest first.
func rendezvous(names []string, salt string, n int) []string {
	type scored struct {
		name string
		hash uint64
	}
	all := make([]scored, len(names))
	for i, m := range names {
		all[i] = scored{m, namehash.Hash(m, salt)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name)) })
	out := make([]string, min(n, len(all)))
	for i := range out {
		out[i] = all[i].name
	}
	return out
}

// hubs returns the hubs of the fleet; others are all members but this one.
func (l *Ledger) hubs(others []string) []string {
	all := append(slices.Clone(others), l.self)
	n := l.limits.Hubs
	if n == 0 {
		if n = len(all); n > maxMeshMembers {
			n = int(math.Ceil(math.Sqrt(float64(n))))
		}
	}
	return rendezvous(all, "", n)
}

// chooseHub returns the hub that this dispatcher reports to: itself if it is a hub, else the first by its own hash that
// is not avoided, or simply the first if all are.
func (l *Ledger) chooseHub(now int64, hubs []string) string {
	if slices.Contains(hubs, l.self) {
		return l.switchHub(now, l.self)
	}
	if l.hub != "" && l.hub != l.self {
		lastAnswer := l.hubSince
		if p := l.peers[source{l.hub, Rest}]; p != nil {
			lastAnswer = max(lastAnswer, p.receivedAt)
		}
		if now-lastAnswer > l.limits.HubTimeout {
			l.avoidUntil[l.hub] = now + avoidFactor*l.limits.HubTimeout
		}
	}
	for name, until := range l.avoidUntil {
		if now >= until || !slices.Contains(hubs, name) {
			delete(l.avoidUntil, name)
		}
	}
	order := rendezvous(hubs, l.self, len(hubs))
	hub := order[0]
	for _, h := range order {
		if _, avoided := l.avoidUntil[h]; !avoided {
			hub = h
			break
		}
	}
	return l.switchHub(now, hub)
}

// switchHub makes hub the one that this dispatcher reports to. The previous hub is notified in the next rounds; without
// that, both hubs would count this dispatcher.
func (l *Ledger) switchHub(now int64, hub string) string {
	if hub != l.hub {
		l.previousHub, l.noticesLeft = l.hub, noticeRounds
		l.hub, l.hubSince = hub, now
	}
	return hub
}

// Round returns the reports to send in this round and their receivers. own is this dispatcher's report of itself;
// others are all other members that are present.
func (l *Ledger) Round(now int64, own *Report, others []string) []Outgoing {
	if len(others) == 0 {
		return nil
	}
	hubs := l.hubs(others)
	isHub := l.chooseHub(now, hubs) == l.self
	var out []Outgoing
	if !isHub {
		out = append(out, Outgoing{own, []string{l.hub}})
	}
	group, all := aggregate{}, aggregate{}
	var groupMembers []source
	for _, key := range l.order {
		switch p := l.peers[key]; {
		case p.gone || now-p.receivedAt > l.limits.Validity:
		case key.kind == Own:
			group.add(p, now, 1)
			all.add(p, now, 1)
			groupMembers = append(groupMembers, key)
		case key.kind == Group:
			all.add(p, now, 1)
		}
	}
	if l.noticesLeft > 0 {
		l.noticesLeft--
		if l.previousHub != "" && l.previousHub != l.self && slices.Contains(others, l.previousHub) {
			out = append(out, Outgoing{&Report{Kind: Moved, From: own.From, Incarnation: own.Incarnation, Seq: own.Seq}, []string{l.previousHub}})
		}
	}
	if isHub {
		self := &peer{members: 1, receivedAt: now, held: own.Held, asked: own.Asked, votes: own.Votes, ran: own.Ran, load: own.Load}
		group.add(self, now, 1)
		all.add(self, now, 1)
	}
	if group.members == 0 && (l.previousHub != l.self || l.noticesLeft == 0) {
		return out // no member reports to this one, and it was no hub before or has told the other hubs often enough
	}
	if to := slices.DeleteFunc(hubs, func(h string) bool { return h == l.self }); len(to) > 0 {
		out = append(out, Outgoing{group.report(Group, own), to})
	}
	for _, key := range groupMembers {
		rest := all.without(l.peers[key], now)
		out = append(out, Outgoing{rest.report(Rest, own), []string{key.name}})
	}
	return out
}

// aggregate is the sum of the reports of several members.
type aggregate struct {
	members int
	age     float64 // sum of the ages of all members' reports, in microseconds
	held    map[logic.WorkerID]float64
	asked   map[uint64]float64
	votes   map[voteKey][2]int            // for and against
	ran     map[logic.WorkerID][2]float64 // running time and work
	load    slack.Load
	loads   int // number of reports with a load
}

// voteKey groups votes by the host that they are about and the zone of those who cast them.
type voteKey struct {
	host logic.WorkerID
	zone uint8
}

// add adds a peer's report; a sign of -1 subtracts it.
func (s *aggregate) add(p *peer, now int64, sign int) {
	if s.held == nil {
		s.held, s.asked, s.votes = map[logic.WorkerID]float64{}, map[uint64]float64{}, map[voteKey][2]int{}
		s.ran = map[logic.WorkerID][2]float64{}
	}
	s.members += sign * p.members
	s.age += float64(sign) * float64(p.members) * float64(now-p.receivedAt+p.age)
	for _, h := range p.held {
		s.held[h.Host] += float64(sign) * h.Work
	}
	for _, a := range p.asked {
		s.asked[a.Set] += float64(sign) * a.Load
	}
	for _, v := range p.votes {
		n := s.votes[voteKey{v.Host, v.Zone}]
		s.votes[voteKey{v.Host, v.Zone}] = [2]int{n[0] + sign*int(v.Good), n[1] + sign*int(v.Bad)}
	}
	for _, r := range p.ran {
		n := s.ran[r.Host]
		s.ran[r.Host] = [2]float64{n[0] + float64(sign)*r.Run, n[1] + float64(sign)*r.Work}
	}
	if p.load != nil {
		s.load.Add(p.load, float64(sign))
		s.loads += sign
	}
}

// Load returns the load of all other members with a valid report, and the number of members that it covers.
func (l *Ledger) Load(now int64) (sum slack.Load, members int) {
	from, members := l.validPeers(now)
	for _, p := range from {
		if p.load != nil {
			sum.Add(p.load, 1)
		}
	}
	return sum, members
}

// runs returns the runs by host, most work first. It leaves out hosts with hardly any work, where subtraction may have
// left nothing but a rounding error.
func (s *aggregate) runs() []HostRuns {
	var out []HostRuns
	for host, n := range s.ran {
		if n[0] > 0 && n[1] > MinRuns {
			out = append(out, HostRuns{host, n[0], n[1]})
		}
	}
	slices.SortFunc(out, func(a, b HostRuns) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Host, b.Host)) })
	return out[:min(len(out), MaxHosts)]
}

// MinRuns is the work, in seconds, above which the runs at a host are reported.
const MinRuns = 1e-3

// Ran returns the runs of all other members with a valid report, summed by host.
func (l *Ledger) Ran(now int64) []HostRuns {
	s := aggregate{}
	from, _ := l.validPeers(now)
	for _, p := range from {
		s.add(&peer{ran: p.ran}, now, 1)
	}
	return s.runs()
}

// voteCounts returns the votes by host and zone, those with the most votes against first.
func (s *aggregate) voteCounts() []verdict.Vote {
	var out []verdict.Vote
	for of, n := range s.votes {
		if n[0] > 0 || n[1] > 0 {
			out = append(out, verdict.Vote{Host: of.host, Zone: of.zone, Good: uint16(max(n[0], 0)), Bad: uint16(max(n[1], 0))})
		}
	}
	slices.SortFunc(out, func(a, b verdict.Vote) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Zone, b.Zone))
	})
	return out[:min(len(out), maxSumEntries)]
}

// Votes returns the votes of all other members with a valid report together with this dispatcher's own, by host and
// zone.
func (l *Ledger) Votes(now int64, own []verdict.Vote) []verdict.Vote {
	s := aggregate{}
	from, _ := l.validPeers(now)
	for _, p := range from {
		s.add(&peer{votes: p.votes}, now, 1)
	}
	s.add(&peer{votes: own}, now, 1)
	return s.voteCounts()
}

// without returns the sum without one peer that is part of it.
func (s *aggregate) without(p *peer, now int64) *aggregate {
	out := &aggregate{s.members, s.age, make(map[logic.WorkerID]float64, len(s.held)), make(map[uint64]float64, len(s.asked)), maps.Clone(s.votes), maps.Clone(s.ran), s.load, s.loads}
	for host, work := range s.held {
		out.held[host] = work
	}
	for set, load := range s.asked {
		out.asked[set] = load
	}
	out.add(p, now, -1)
	return out
}

// negligible is a bound on the rounding error that remains of a floating-point sum when all its parts are subtracted.
const negligible = 1e-9

// report makes a report of the sum with the name, incarnation and sequence number of this dispatcher's own report.
func (s *aggregate) report(kind Kind, own *Report) *Report {
	r := &Report{Kind: kind, Members: s.members, From: own.From, Incarnation: own.Incarnation, Seq: own.Seq}
	r.Age = min(int64(math.Max(s.age, 0)/float64(max(s.members, 1))), maxAge)
	members := float64(max(s.members, 1))
	for host, work := range s.held {
		if work > negligible {
			r.Held = append(r.Held, HostWork{host, min(work, maxWork*members)})
		}
	}
	for set, load := range s.asked {
		if load > negligible {
			r.Asked = append(r.Asked, SetDemand{set, min(load, maxLoad*members)})
		}
	}
	r.Votes, r.Ran = s.voteCounts(), s.runs()
	if s.loads > 0 {
		r.Load = &slack.Load{}
		for i, v := range s.load {
			if v > negligible {
				r.Load[i] = min(v, maxLoad*members)
			}
		}
	}
	r.trim(maxSumEntries)
	return r
}

// trim sorts the work and the demand of a report, largest first, and drops what exceeds its bounds. sets bounds the
// data sets.
func (r *Report) trim(sets int) {
	slices.SortFunc(r.Held, func(a, b HostWork) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Host, b.Host)) })
	slices.SortFunc(r.Asked, func(a, b SetDemand) int { return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Set, b.Set)) })
	r.Held, r.Asked = r.Held[:min(len(r.Held), MaxHosts)], r.Asked[:min(len(r.Asked), sets)]
}
