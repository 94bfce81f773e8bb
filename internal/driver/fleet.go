package driver

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/admission"
	"granitewing/internal/fleet/ejection"
	"granitewing/internal/fleet/gang"
	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/limit"
	"granitewing/logic"
)

// Peers carries load reports and messages about limits between the dispatchers of a fleet. No call blocks.
type Peers interface {
	SendReports([]ledger.Outgoing)
	ReceiveReports() ledger.Inbox
	SendLimitMessages([]*limit.Message)
	ReceiveLimitMessages() []*limit.Message
}

// FleetOptions configures the exchange of load reports with the other dispatchers of a fleet.
type FleetOptions struct {
	Peers          Peers
	Limits         ledger.Limits
	Interval       time.Duration
	Incarnation    uint64
	Rights         *limit.Options // fleet-wide limits; nil: none
	Retries        float64        // attempts beyond the first, as a share of first attempts; 0: no fleet-wide bound
	VoteEjection   bool           // servers are ejected by a vote of all members
	PriceAdmission bool           // requests are admitted at one price for the whole fleet's capacity
	Gangs          *gang.Options  // requests that run as parts on many servers at once; nil: none. They require Rights
}

// metricsEvery is the number of exchange periods between renderings of the fleet's metrics.
const metricsEvery = 4

// retryBurst is how many attempts beyond the first a dispatcher may make in a burst from its saved-up allowance.
const retryBurst = 10

// listedAgeMultiple bounds how long a silent member is listed, as a multiple of the age up to which its reports count.
const listedAgeMultiple = 5

// fleetSharing is the driver's state for the fleet exchange. It belongs to the owner.
type fleetSharing struct {
	FleetOptions
	ledger         *ledger.Ledger
	hosts          []logic.WorkerID
	seq            uint64
	believed       int // members whose reports count
	malformed      int
	outdated       int
	members        int
	retriesRefused int          // requests that were not retried because the retry allowance was used up
	rights         *fleetLimits // nil: no limits
	resigned       chan struct{}
	verdicts       *ejection.Ejector    // nil: this dispatcher ejects servers by its own observations
	admission      *admission.Admission // nil: this dispatcher admits requests by its own view of the load
	gangs          *gang.Part           // nil: no gangs
}

// UseFleet makes the driver take part in a fleet. It must be called before Run.
func (d *Driver) UseFleet(s FleetOptions) {
	d.sharing = &fleetSharing{FleetOptions: s, ledger: ledger.New(d.cfg.Name, s.Limits), resigned: make(chan struct{})}
	if s.Retries > 0 {
		d.core.Retries(s.Retries, retryBurst)
	}
	if s.VoteEjection {
		d.sharing.verdicts = ejection.New(d.cfg.Name, d.cfg.Settings.Zone, d.core)
	}
	if s.PriceAdmission {
		d.sharing.admission = admission.New(d.core)
	}
	if s.Rights != nil {
		d.sharing.rights = &fleetLimits{participant: limit.New(d.now(), *s.Rights), now: d.now, places: map[dispatch.ID]limit.Places{}}
		d.core.Limit(d.sharing.rights)
		if s.Gangs != nil {
			part := d.sharing.rights.participant
			d.sharing.gangs = gang.New(*s.Gangs, part.Holder(), part.Lease(), d.core.EachGangHost)
			d.core.Gang(d.sharing.gangs)
		}
	}
}

// shareRound handles received reports, informs the core and the other members, and schedules itself again after the
// period. It is off the request path: no request waits for it.
func (d *Driver) shareRound() {
	s, now := d.sharing, d.now()
	h := s.Peers.ReceiveReports()
	s.members, s.malformed, s.outdated = len(h.Members), s.malformed+h.Bad, s.outdated+h.Old
	s.ledger.Members(len(h.Members))
	s.retriesRefused = d.core.GivenUp()
	for _, p := range h.Gone {
		s.ledger.Gone(p.Name, p.Incarnation)
	}
	for _, n := range h.Reports {
		s.ledger.Accept(now-time.Since(n.At).Microseconds(), n.Report) // refused reports are counted in the ledger
	}
	s.hosts = d.core.WorkerIDs(s.hosts[:0])
	s.believed = s.ledger.PassSums(now, s.hosts, d.core)
	s.seq++
	own := ledger.OwnReport(d.cfg.Name, s.Incarnation, s.seq, now, d.core)
	if s.verdicts != nil {
		s.verdicts.Round(now, s.ledger, d.core, s.believed+1, s.Interval, own)
	}
	if s.admission != nil {
		s.admission.Round(now, s.ledger, d.core, len(h.Members)+1, own)
	}
	if out := s.ledger.Round(now, own, h.Members); len(out) > 0 {
		s.Peers.SendReports(out)
	}
	if s.rights != nil {
		s.rights.exchange(s.Peers)
	}
	if s.gangs != nil {
		d.execute(d.core.ReconsiderGangs(d.now()))
	}
	if s.seq%metricsEvery == 1 {
		text := s.metricsText(now)
		d.metrics.fleetText.Store(&text)
	}
	d.postAfter(s.Interval, d.shareRound)
}

// metricsText renders the metrics of the fleet in the Prometheus text format.
func (s *fleetSharing) metricsText(now int64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "router_fleet_members %d\nrouter_fleet_heard %d\nrouter_fleet_reports_sent_total %d\n", s.members, s.believed, s.seq)
	c := s.ledger.Counts()
	fmt.Fprintf(&b, "router_fleet_reports_total %d\n", c.Heard)
	for _, r := range []struct {
		cause string
		n     int
	}{{"old", c.Old + s.outdated}, {"range", c.Range}, {"flood", c.Flood}, {"full", c.Full}, {"self", c.Self}, {"form", s.malformed}} {
		fmt.Fprintf(&b, "router_fleet_refused_total{cause=%q} %d\n", r.cause, r.n)
	}
	fmt.Fprintf(&b, "router_fleet_unknown_hosts_total %d\n", c.UnknownHosts)
	peers := s.ledger.Peers()
	slices.SortFunc(peers, func(a, b ledger.Peer) int { return cmp.Compare(a.Name, b.Name) })
	for _, p := range peers {
		state := "heard"
		switch {
		case !p.Gone && now-p.At > listedAgeMultiple*s.ledger.Believes():
			continue // it reports to another hub, or its departure was not seen; router_fleet_members has the number of members
		case p.Gone:
			state = "gone"
		case now-p.At > s.ledger.Believes():
			state = "silent"
		}
		fmt.Fprintf(&b, "router_fleet_news_age_seconds{member=\"%s\",incarnation=\"%d\",state=%q,speaks_for=\"%d\"} %.3f\n",
			labelValue.Replace(p.Name), p.Incarnation, state, p.Speaks, float64(now-p.At)/1e6)
	}
	if s.Retries > 0 {
		fmt.Fprintf(&b, "router_fleet_given_up_total %d\n", s.retriesRefused)
	}
	if s.rights != nil {
		s.rights.writeMetrics(&b, now)
	}
	if s.gangs != nil {
		s.writeGangMetrics(&b, now)
	}
	if s.admission != nil {
		m := s.admission.State()
		fmt.Fprintf(&b, "router_fleet_price %g\nrouter_fleet_asked %g\nrouter_fleet_waits %g\nrouter_fleet_capacity %g\nrouter_fleet_load_heard %d\n",
			m.Price, m.Asked, m.Waits, m.Capacity, m.Heard)
	}
	if s.verdicts != nil {
		c := s.verdicts.State()
		fmt.Fprintf(&b, "router_fleet_votes_against %d\nrouter_fleet_verdicts %d\nrouter_fleet_verdicts_total %d\n", c.VotesAgainst, len(c.Verdicts), c.VerdictsTotal)
	}
	return b.Bytes()
}
