package driver

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"granitewing/internal/fleet/court"
	"granitewing/internal/fleet/gang"
	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/limit"
	"granitewing/internal/fleet/market"
	"granitewing/internal/memory"
	"granitewing/logic"
)

// Peers carries reports, and requests about limits, between the dispatchers of a fleet. No call waits for one.
type Peers interface {
	Tell([]ledger.Out)
	Take() ledger.Heard
	Say([]*limit.Message)
	Said() []*limit.Message
}

// Sharing has the driver tell the other dispatchers of a fleet what it holds, and hear what they do.
type Sharing struct {
	Peers       Peers
	Limits      ledger.Limits
	Every       time.Duration
	Incarnation uint64
	Rights      *limit.Options // limits of the fleet; nil: there are none
	Retries     float64        // attempts beyond the first, as a share of first ones; 0: as many as the site allows
	Verdicts    bool           // servers are judged by what all members find of them
	Slack       bool           // requests are let in by one price of the whole fleet's work
	Gangs       *gang.Options  // requests that run as parts at many servers at once; nil: none do. They need Rights
}

// statusEvery is how many periods apart the figures of the members are written anew.
const statusEvery = 4

// retriesSaved is how many attempts beyond the first a dispatcher may make at once by what it has saved up.
const retriesSaved = 10

// toldFor is for how many times the age to which news is believed a silent sender is listed.
const toldFor = 5

// sharing is the driver's side; it belongs to the owner.
type sharing struct {
	Sharing
	ledger   *ledger.Ledger
	hosts    []logic.WorkerID
	seq      uint64
	heard    int // members whose news is believed
	bad      int
	old      int
	there    int
	givenUp  int          // requests, for want of a right to another attempt
	rights   *fleetLimits // nil: there are none
	resigned chan struct{}
	court    *court.Court   // nil: this dispatcher goes by what it finds itself
	market   *market.Market // nil: it lets in by what it sees itself
	gangs    *gang.Part     // nil: there are none
}

// Share has the driver take part in a fleet; to be called before Run.
func (d *Driver) Share(s Sharing) {
	d.sharing = &sharing{Sharing: s, ledger: ledger.New(d.cfg.Name, s.Limits), resigned: make(chan struct{})}
	if s.Retries > 0 {
		d.core.Retries(s.Retries, retriesSaved)
	}
	if s.Verdicts {
		d.sharing.court = court.New(d.cfg.Name, d.cfg.Settings.Zone, d.core)
	}
	if s.Slack {
		d.sharing.market = market.New(d.core)
	}
	if s.Rights != nil {
		d.sharing.rights = &fleetLimits{part: limit.New(d.now(), *s.Rights), now: d.now, places: map[memory.ID]limit.Places{}}
		d.core.Limit(d.sharing.rights)
		if s.Gangs != nil {
			part := d.sharing.rights.part
			d.sharing.gangs = gang.New(*s.Gangs, part.Holder(), part.Lease(), d.core.Places)
			d.core.Gang(d.sharing.gangs)
		}
	}
}

// share takes what has come, tells the decisions and the others, and does so again after the period. It is beside the
// path of every request: none waits for it.
func (d *Driver) share() {
	s, now := d.sharing, d.now()
	h := s.Peers.Take()
	s.there, s.bad, s.old = len(h.Members), s.bad+h.Bad, s.old+h.Old
	s.ledger.Members(len(h.Members))
	s.givenUp = d.core.GivenUp()
	for _, p := range h.Gone {
		s.ledger.Gone(p.Name, p.Incarnation)
	}
	for _, n := range h.News {
		s.ledger.Hear(now-time.Since(n.At).Microseconds(), n.Report) // what is refused is counted there
	}
	s.hosts = d.core.Numbers(s.hosts[:0])
	s.heard = s.ledger.Tell(now, s.hosts, d.core)
	s.seq++
	own := ledger.Of(d.cfg.Name, s.Incarnation, s.seq, now, d.core)
	if s.court != nil {
		s.court.Sit(now, s.ledger, d.core, s.heard+1, s.Every, own)
	}
	if s.market != nil {
		s.market.Sit(now, s.ledger, d.core, len(h.Members)+1, own)
	}
	if out := s.ledger.Round(now, own, h.Members); len(out) > 0 {
		s.Peers.Tell(out)
	}
	if s.rights != nil {
		s.rights.round(s.Peers)
	}
	if s.gangs != nil {
		d.do(d.core.Gathered(d.now()))
	}
	if s.seq%statusEvery == 1 {
		text := s.text(now)
		d.figures.more.Store(&text)
	}
	d.after(s.Every, d.share)
}

// text is what the door tells of the fleet, in the form of its other figures.
func (s *sharing) text(now int64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "router_fleet_members %d\nrouter_fleet_heard %d\nrouter_fleet_reports_sent_total %d\n", s.there, s.heard, s.seq)
	c := s.ledger.Counts()
	fmt.Fprintf(&b, "router_fleet_reports_total %d\n", c.Heard)
	for _, r := range []struct {
		cause string
		n     int
	}{{"old", c.Old + s.old}, {"range", c.Range}, {"flood", c.Flood}, {"full", c.Full}, {"self", c.Self}, {"form", s.bad}} {
		fmt.Fprintf(&b, "router_fleet_refused_total{cause=%q} %d\n", r.cause, r.n)
	}
	fmt.Fprintf(&b, "router_fleet_unknown_hosts_total %d\n", c.Strange)
	peers := s.ledger.Peers()
	slices.SortFunc(peers, func(a, b ledger.Peer) int { return cmp.Compare(a.Name, b.Name) })
	for _, p := range peers {
		state := "heard"
		switch {
		case !p.Gone && now-p.At > toldFor*s.ledger.Believes():
			continue // it tells another hub, or its end was not seen; who is there is told by the number of members
		case p.Gone:
			state = "gone"
		case now-p.At > s.ledger.Believes():
			state = "silent"
		}
		fmt.Fprintf(&b, "router_fleet_news_age_seconds{member=\"%s\",incarnation=\"%d\",state=%q,speaks_for=\"%d\"} %.3f\n",
			labelValue.Replace(p.Name), p.Incarnation, state, p.Speaks, float64(now-p.At)/1e6)
	}
	if s.Retries > 0 {
		fmt.Fprintf(&b, "router_fleet_given_up_total %d\n", s.givenUp)
	}
	if s.rights != nil {
		s.rights.text(&b, now)
	}
	if s.gangs != nil {
		s.gangText(&b, now)
	}
	if s.market != nil {
		m := s.market.State()
		fmt.Fprintf(&b, "router_fleet_price %g\nrouter_fleet_asked %g\nrouter_fleet_waits %g\nrouter_fleet_capacity %g\nrouter_fleet_load_heard %d\n",
			m.Price, m.Asked, m.Waits, m.Capacity, m.Heard)
	}
	if s.court != nil {
		c := s.court.State()
		fmt.Fprintf(&b, "router_fleet_votes_against %d\nrouter_fleet_verdicts %d\nrouter_fleet_verdicts_total %d\n", c.Against, len(c.Verdicts), c.Passed)
	}
	return b.Bytes()
}
