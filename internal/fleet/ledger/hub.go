package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"granitewing/internal/fleet/draw"
	"granitewing/internal/fleet/slack"
	"granitewing/internal/fleet/verdict"
	"granitewing/logic"
)

// In a small fleet each member tells all others. In a larger one that would cost each of them work that grows with the
// fleet; there some members are hubs. A member tells one hub of itself, a hub tells the other hubs the sum of its group and
// each of its group the sum of all the rest. Who is a hub, and who tells which, goes by hashes of the names of those that
// are there: nobody is asked, and where two see different members a hub still sums whoever tells it.

// meshMost is up to how many members each tells all others.
const meshMost = 12

// avoidFor is for how many times Deaf a hub that did not answer is left alone.
const avoidFor = 5

// movedRounds is in how many rounds a hub is told that it is left: datagrams are lost.
const movedRounds = 5

// Out is a report and whom it goes to.
type Out struct {
	*Report
	To []string
}

// Asks tells whether an answer is expected of those that it goes to.
func (o *Out) Asks() bool { return o.Kind == Own || o.Kind == Group }

// first gives the n of some names whose hash with a salt is highest, highest first.
func first(names []string, salt string, n int) []string {
	type scored struct {
		name string
		hash uint64
	}
	all := make([]scored, len(names))
	for i, m := range names {
		all[i] = scored{m, draw.Of(m, salt)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name)) })
	out := make([]string, min(n, len(all)))
	for i := range out {
		out[i] = all[i].name
	}
	return out
}

// hubs gives those of the fleet that sum; others are the members beside this one.
func (l *Ledger) hubs(others []string) []string {
	all := append(slices.Clone(others), l.self)
	n := l.limits.Hubs
	if n == 0 {
		if n = len(all); n > meshMost {
			n = int(math.Ceil(math.Sqrt(float64(n))))
		}
	}
	return first(all, "", n)
}

// choose finds the hub that this dispatcher tells: itself if it is one, else the first by its own hash that answers.
func (l *Ledger) choose(now int64, hubs []string) string {
	if slices.Contains(hubs, l.self) {
		return l.move(now, l.self)
	}
	if l.hub != "" && l.hub != l.self {
		heard := l.since
		if p := l.peers[source{l.hub, Rest}]; p != nil {
			heard = max(heard, p.at)
		}
		if now-heard > l.limits.Deaf {
			l.avoid[l.hub] = now + avoidFor*l.limits.Deaf
		}
	}
	for name, until := range l.avoid {
		if now >= until || !slices.Contains(hubs, name) {
			delete(l.avoid, name)
		}
	}
	order := first(hubs, l.self, len(hubs))
	hub := order[0]
	for _, h := range order {
		if _, avoided := l.avoid[h]; !avoided {
			hub = h
			break
		}
	}
	return l.move(now, hub)
}

// move has this dispatcher tell a hub from now on. The one before is told so, since it would count it beside the new one.
func (l *Ledger) move(now int64, hub string) string {
	if hub != l.hub {
		l.left, l.still = l.hub, movedRounds
		l.hub, l.since = hub, now
	}
	return hub
}

// Round says what to tell whom now. own is what this dispatcher says of itself, others the members beside it.
func (l *Ledger) Round(now int64, own *Report, others []string) []Out {
	if len(others) == 0 {
		return nil
	}
	hubs := l.hubs(others)
	isHub := l.choose(now, hubs) == l.self
	var out []Out
	if !isHub {
		out = append(out, Out{own, []string{l.hub}})
	}
	group, all := sum{}, sum{}
	var tellers []source
	for _, key := range l.order {
		switch p := l.peers[key]; {
		case p.gone || now-p.at > l.limits.Believe:
		case key.kind == Own:
			group.add(p, now, 1)
			all.add(p, now, 1)
			tellers = append(tellers, key)
		case key.kind == Group:
			all.add(p, now, 1)
		}
	}
	if l.still > 0 {
		l.still--
		if l.left != "" && l.left != l.self && slices.Contains(others, l.left) {
			out = append(out, Out{&Report{Kind: Moved, From: own.From, Incarnation: own.Incarnation, Seq: own.Seq}, []string{l.left}})
		}
	}
	if isHub {
		self := &peer{members: 1, at: now, held: own.Held, asked: own.Asked, votes: own.Votes, ran: own.Ran, load: own.Load}
		group.add(self, now, 1)
		all.add(self, now, 1)
	}
	if group.members == 0 && (l.left != l.self || l.still == 0) {
		return out // it sums for nobody, and the hubs know
	}
	if to := slices.DeleteFunc(hubs, func(h string) bool { return h == l.self }); len(to) > 0 {
		out = append(out, Out{group.report(Group, own), to})
	}
	for _, key := range tellers {
		rest := all.without(l.peers[key], now)
		out = append(out, Out{rest.report(Rest, own), []string{key.name}})
	}
	return out
}

// sum is what several have outstanding and are asked for.
type sum struct {
	members int
	age     float64 // of all of them together, microseconds
	held    map[logic.WorkerID]float64
	asked   map[uint64]float64
	votes   map[voter][2]int // for and against
	ran     map[logic.WorkerID][2]float64
	load    slack.Load
	loads   int // that are in it
}

// voter is on whom and from where votes are.
type voter struct {
	host logic.WorkerID
	zone uint8
}

// add adds what a peer has, or with a sign of -1 takes it away.
func (s *sum) add(p *peer, now int64, sign int) {
	if s.held == nil {
		s.held, s.asked, s.votes = map[logic.WorkerID]float64{}, map[uint64]float64{}, map[voter][2]int{}
		s.ran = map[logic.WorkerID][2]float64{}
	}
	s.members += sign * p.members
	s.age += float64(sign) * float64(p.members) * float64(now-p.at+p.age)
	for _, h := range p.held {
		s.held[h.Host] += float64(sign) * h.Work
	}
	for _, a := range p.asked {
		s.asked[a.Set] += float64(sign) * a.Load
	}
	for _, v := range p.votes {
		n := s.votes[voter{v.Host, v.Zone}]
		s.votes[voter{v.Host, v.Zone}] = [2]int{n[0] + sign*int(v.Good), n[1] + sign*int(v.Bad)}
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

// Load gives the load of all others that are believed now, and for how many members it speaks.
func (l *Ledger) Load(now int64) (sum slack.Load, members int) {
	from, members := l.believed(now)
	for _, p := range from {
		if p.load != nil {
			sum.Add(p.load, 1)
		}
	}
	return sum, members
}

// runs gives the runs of a sum, by host; of what is nearly nothing only the rounding is left.
func (s *sum) runs() []Ran {
	var out []Ran
	for host, n := range s.ran {
		if n[0] > 0 && n[1] > RanLeast {
			out = append(out, Ran{host, n[0], n[1]})
		}
	}
	slices.SortFunc(out, func(a, b Ran) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Host, b.Host)) })
	return out[:min(len(out), HeldMost)]
}

// RanLeast is the work of runs that are worth telling of, seconds.
const RanLeast = 1e-3

// Ran gives the runs of all others that are believed now.
func (l *Ledger) Ran(now int64) []Ran {
	s := sum{}
	from, _ := l.believed(now)
	for _, p := range from {
		s.add(&peer{ran: p.ran}, now, 1)
	}
	return s.runs()
}

// counted gives the votes of a sum, those against first.
func (s *sum) counted() []verdict.Vote {
	var out []verdict.Vote
	for of, n := range s.votes {
		if n[0] > 0 || n[1] > 0 {
			out = append(out, verdict.Vote{Host: of.host, Zone: of.zone, Good: uint16(max(n[0], 0)), Bad: uint16(max(n[1], 0))})
		}
	}
	slices.SortFunc(out, func(a, b verdict.Vote) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Zone, b.Zone))
	})
	return out[:min(len(out), sumMost)]
}

// Votes gives the votes of all that are believed now, of others and of this dispatcher's own.
func (l *Ledger) Votes(now int64, own []verdict.Vote) []verdict.Vote {
	s := sum{}
	from, _ := l.believed(now)
	for _, p := range from {
		s.add(&peer{votes: p.votes}, now, 1)
	}
	s.add(&peer{votes: own}, now, 1)
	return s.counted()
}

// without is the sum of all but one that is in it.
func (s *sum) without(p *peer, now int64) *sum {
	out := &sum{s.members, s.age, make(map[logic.WorkerID]float64, len(s.held)), make(map[uint64]float64, len(s.asked)), maps.Clone(s.votes), maps.Clone(s.ran), s.load, s.loads}
	for host, work := range s.held {
		out.held[host] = work
	}
	for set, load := range s.asked {
		out.asked[set] = load
	}
	out.add(p, now, -1)
	return out
}

// nothing is what is left of a sum of fractions when its parts are taken away again.
const nothing = 1e-9

// report makes a report of a sum, in the name and with the sequence of this dispatcher's own.
func (s *sum) report(kind Kind, own *Report) *Report {
	r := &Report{Kind: kind, Members: s.members, From: own.From, Incarnation: own.Incarnation, Seq: own.Seq}
	r.Age = min(int64(math.Max(s.age, 0)/float64(max(s.members, 1))), ageMost)
	most := float64(max(s.members, 1))
	for host, work := range s.held {
		if work > nothing {
			r.Held = append(r.Held, Held{host, min(work, workMost*most)})
		}
	}
	for set, load := range s.asked {
		if load > nothing {
			r.Asked = append(r.Asked, Asked{set, min(load, loadMost*most)})
		}
	}
	r.Votes, r.Ran = s.counted(), s.runs()
	if s.loads > 0 {
		r.Load = &slack.Load{}
		for i, v := range s.load {
			if v > nothing {
				r.Load[i] = min(v, loadMost*most)
			}
		}
	}
	r.trim(sumMost)
	return r
}

// trim sorts what a report holds, most first, and leaves out the least beyond its bounds.
func (r *Report) trim(sets int) {
	slices.SortFunc(r.Held, func(a, b Held) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Host, b.Host)) })
	slices.SortFunc(r.Asked, func(a, b Asked) int { return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Set, b.Set)) })
	r.Held, r.Asked = r.Held[:min(len(r.Held), HeldMost)], r.Asked[:min(len(r.Asked), sets)]
}
