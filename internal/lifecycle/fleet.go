package lifecycle

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"granitewing/internal/driver"
	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/limit"
	"granitewing/internal/settings"
	"granitewing/internal/wire/platform"
)

// FleetSettings configures a dispatcher as a member of a fleet, whose members exchange load reports.
type FleetSettings struct {
	Label          string        `sexp:"label,required"`              // of the fleet; messages with another label are ignored
	Bind           string        `sexp:"bind,required"`               // this member's own address and port
	Advertise      string        `sexp:"advertise"`                   // address at which the others reach it, if that is not bind
	Join           []string      `sexp:"join"`                        // members to contact at the start, and again while they are missing
	ReportInterval time.Duration `sexp:"every" min:"0.02" max:"10"`   // interval between reports
	MaxReportAge   time.Duration `sexp:"believe" min:"0.05" max:"60"` // reports older than this do not count
	Quorum         float64       `sexp:"quorum" min:"0" max:"1"`      // share of the members whose reports must be current for any to count
	Hubs           int           `sexp:"hubs" min:"0" max:"1000"`     // members that aggregate reports for the others; 0: all members up to 12, the square root of their number beyond
	Limits         *Limits       `sexp:"limits"`
	Retries        float64       `sexp:"retries" min:"0" max:"2"`  // attempts beyond the first, as a share of first attempts; 0: no fleet-wide bound
	VoteEjection   string        `sexp:"verdicts" one-of:"on|off"` // hosts are ejected by a vote of all members
	PriceAdmission string        `sexp:"slack" one-of:"on|off"`    // jobs are admitted at one price for the whole fleet's capacity
	Gangs          *Gangs        `sexp:"gangs"`                    // classes that run as parts on many hosts at once
	Where          settings.Pos  `sexp:",pos"`
}

// SetDefaults implements settings.Defaulter.
func (f *FleetSettings) SetDefaults() {
	f.ReportInterval, f.MaxReportAge, f.Quorum = 100*time.Millisecond, 2*time.Second, 0.5
}

// Check implements settings.Checker. An invalid value is a *settings.Error with its position and path.
func (f *FleetSettings) Check() error {
	invalid := func(key, why string, args ...any) error {
		return &settings.Error{Pos: f.Where, Path: "fleet." + key, Reason: fmt.Sprintf(why, args...)}
	}
	if host, _, err := net.SplitHostPort(f.Bind); err != nil || net.ParseIP(host) == nil {
		return invalid("bind", "%q: want an IP address and a port", f.Bind)
	}
	if host, _, err := net.SplitHostPort(f.Advertise); f.Advertise != "" && (err != nil || net.ParseIP(host) == nil || net.ParseIP(host).IsUnspecified()) {
		return invalid("advertise", "%q: want an IP address that others can reach, and a port", f.Advertise)
	}
	for _, j := range f.Join {
		if host, _, err := net.SplitHostPort(j); err != nil || net.ParseIP(host) == nil {
			return invalid("join", "%q: want an IP address and a port", j)
		}
	}
	if f.MaxReportAge < 2*f.ReportInterval {
		return invalid("believe", "%v is under two reports, which are %v apart: one lost report would silence a member", f.MaxReportAge, f.ReportInterval)
	}
	return nil
}

// Peers is a membership in a fleet.
type Peers interface {
	driver.Peers
	Leave()
}

// ErrUsage marks errors in the settings and resources they name that are not available; the program exits with code 2.
var ErrUsage = errors.New("settings")

// JoinFleet joins a fleet as the settings say. Its other arguments are the dispatcher's name, the incarnation of this
// process and the log. This default fails; a build with membership replaces it.
var JoinFleet = func(*FleetSettings, string, uint64, *slog.Logger) (Peers, error) {
	return nil, errors.New("fleet: this build has no membership; bin/granitewing-fleet has")
}

// hubTimeout is how long a member waits for an answer before it leaves a hub. Hubs on slow, lossy links do answer
// eventually, and members that switch hubs back and forth are counted twice meanwhile, which cost more than a shorter
// time gained.
const hubTimeout = 1500 * time.Millisecond

// rejoinInterval is how often a process tries to join the fleet while the previous process of its name is still a
// member.
const rejoinInterval = 300 * time.Millisecond

// membership is a process's membership in a fleet, which may not have begun yet or may have ended. Without one,
// sending does nothing and nothing is received.
type membership struct {
	mu    sync.Mutex
	peers Peers
	left  bool
}

func (p *membership) current() Peers {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers
}

// SendReports implements driver.Peers.
func (p *membership) SendReports(out []ledger.Outgoing) {
	if f := p.current(); f != nil {
		f.SendReports(out)
	}
}

// SendLimitMessages implements driver.Peers.
func (p *membership) SendLimitMessages(out []*limit.Message) {
	if f := p.current(); f != nil {
		f.SendLimitMessages(out)
	}
}

// ReceiveLimitMessages implements driver.Peers.
func (p *membership) ReceiveLimitMessages() []*limit.Message {
	if f := p.current(); f != nil {
		return f.ReceiveLimitMessages()
	}
	return nil
}

// ReceiveReports implements driver.Peers.
func (p *membership) ReceiveReports() ledger.Inbox {
	if f := p.current(); f != nil {
		return f.ReceiveReports()
	}
	return ledger.Inbox{}
}

// join begins the membership; it returns false if Leave was called before.
func (p *membership) join(f Peers) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.left {
		p.peers = f
	}
	return !p.left
}

// Leave ends the membership, so that a later process with the same name can join. Nothing is exchanged afterwards.
func (p *membership) Leave() {
	p.mu.Lock()
	f := p.peers
	p.peers, p.left = nil, true
	p.mu.Unlock()
	if f != nil {
		f.Leave()
	}
}

// joinFleet makes a driver take part in a fleet. If the previous process of the same dispatcher is still a member, as
// in an upgrade, this one serves without the fleet until that process has left.
func joinFleet(cfg *platform.Config, f *FleetSettings, d *driver.Driver, log *slog.Logger) (*membership, error) {
	// A later process with the same name needs a higher incarnation. It has one whatever its clock says if $TMPDIR
	// persists, otherwise unless the clock was set back by more than the downtime.
	incarnation := uint64(d.StartNumber())
	rights, err := f.limitOptions(cfg, incarnation)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	gangs, err := f.gangOptions(cfg)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	if gangs != nil {
		rights.SlotsPerHost = gangs.Room
	}
	p := &membership{}
	peers, err := JoinFleet(f, cfg.Name, incarnation, log)
	switch {
	case err == nil:
		p.join(peers)
	case errors.Is(err, ledger.ErrInUse) && d.PredecessorRunning():
		log.Info("fleet: the previous process is still a member; exchanging nothing until it leaves", "addr", f.Bind)
		go func() {
			for !p.hasLeft() {
				time.Sleep(rejoinInterval)
				if peers, err := JoinFleet(f, cfg.Name, incarnation, log); err == nil {
					if !p.join(peers) {
						peers.Leave()
					}
					return
				} else if !errors.Is(err, ledger.ErrInUse) {
					log.Error("fleet: joining failed", "cause", err)
				}
			}
		}()
	default:
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	d.UseFleet(driver.FleetOptions{Peers: p, Interval: f.ReportInterval, Incarnation: incarnation, Rights: rights, Gangs: gangs, VoteEjection: f.VoteEjection == "on", PriceAdmission: f.PriceAdmission == "on", Retries: f.Retries,
		Limits: ledger.Limits{Validity: f.MaxReportAge.Microseconds(), Quorum: f.Quorum, Gap: f.ReportInterval.Microseconds() / 4,
			Hubs: f.Hubs, HubTimeout: max(hubTimeout, 6*f.ReportInterval).Microseconds()}})
	return p, nil
}

func (p *membership) hasLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left
}
