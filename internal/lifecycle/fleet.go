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

// FleetSettings have a dispatcher take part in a fleet whose members tell each other what they hold.
type FleetSettings struct {
	Label     string        `sexp:"label,required"`              // of the fleet; members with another are not heard
	Bind      string        `sexp:"bind,required"`               // address and port of this member's own
	Advertise string        `sexp:"advertise"`                   // where the others reach it, if that is not bind
	Join      []string      `sexp:"join"`                        // members to ask at the start, and again while they are missing
	Every     time.Duration `sexp:"every" min:"0.02" max:"10"`   // between reports
	Believe   time.Duration `sexp:"believe" min:"0.05" max:"60"` // news past this age counts for nothing
	Quorum    float64       `sexp:"quorum" min:"0" max:"1"`      // share of the members that must be heard for anything to count
	Hubs      int           `sexp:"hubs" min:"0" max:"1000"`     // members that sum for the others; 0: all of up to 12, the square root of more
	Limits    *Limits       `sexp:"limits"`
	Retries   float64       `sexp:"retries" min:"0" max:"2"`  // attempts beyond the first, as a share of first ones; 0: as many as the site allows
	Verdicts  string        `sexp:"verdicts" one-of:"on|off"` // hosts are judged by what all members find of them
	Slack     string        `sexp:"slack" one-of:"on|off"`    // jobs are let in by one price of the whole fleet's work
	Gangs     *Gangs        `sexp:"gangs"`                    // classes that run as parts at many hosts at once
	Where     settings.Pos  `sexp:",pos"`
}

// SetDefaults implements settings.Defaulter.
func (f *FleetSettings) SetDefaults() {
	f.Every, f.Believe, f.Quorum = 100*time.Millisecond, 2*time.Second, 0.5
}

// Check implements settings.Checker.
func (f *FleetSettings) Check() error {
	at := func(key, why string, args ...any) error {
		return &settings.Error{Pos: f.Where, Path: "fleet." + key, Why: fmt.Sprintf(why, args...)}
	}
	if host, _, err := net.SplitHostPort(f.Bind); err != nil || net.ParseIP(host) == nil {
		return at("bind", "%q: want an IP address and a port", f.Bind)
	}
	if host, _, err := net.SplitHostPort(f.Advertise); f.Advertise != "" && (err != nil || net.ParseIP(host) == nil || net.ParseIP(host).IsUnspecified()) {
		return at("advertise", "%q: want an IP address that others can call, and a port", f.Advertise)
	}
	for _, j := range f.Join {
		if host, _, err := net.SplitHostPort(j); err != nil || net.ParseIP(host) == nil {
			return at("join", "%q: want an IP address and a port", j)
		}
	}
	if f.Believe < 2*f.Every {
		return at("believe", "%v is under two reports, which are %v apart: one that is lost would silence a member", f.Believe, f.Every)
	}
	return nil
}

// Peers is a place in a fleet.
type Peers interface {
	driver.Peers
	Leave()
}

// ErrUsage marks what the settings ask for and can't be had: the program ends with code 2.
var ErrUsage = errors.New("settings")

// JoinFleet takes part in a fleet as the settings say.
var JoinFleet = func(*FleetSettings, string, uint64, *slog.Logger) (Peers, error) {
	return nil, errors.New("fleet: this build has none; bin/granitewing-fleet has")
}

// deaf is after how long without an answer a hub is left. Links that are slow and lose much answer sooner or later; members
// that change their hubs back and forth are counted twice meanwhile, which cost more than it gained.
const deaf = 1500 * time.Millisecond

// formerLook is how often a process that waits for its former one's place in the fleet tries to take it.
const formerLook = 300 * time.Millisecond

// place is a process's place in a fleet, which it may not have yet, or no more.
type place struct {
	mu    sync.Mutex
	peers Peers
	left  bool
}

func (p *place) now() Peers {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers
}

// Tell implements driver.Peers.
func (p *place) Tell(out []ledger.Out) {
	if f := p.now(); f != nil {
		f.Tell(out)
	}
}

// Say implements driver.Peers.
func (p *place) Say(out []*limit.Message) {
	if f := p.now(); f != nil {
		f.Say(out)
	}
}

// Said implements driver.Peers.
func (p *place) Said() []*limit.Message {
	if f := p.now(); f != nil {
		return f.Said()
	}
	return nil
}

// Take implements driver.Peers.
func (p *place) Take() ledger.Heard {
	if f := p.now(); f != nil {
		return f.Take()
	}
	return ledger.Heard{}
}

// take gives it the place; false where it has left meanwhile.
func (p *place) take(f Peers) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.left {
		p.peers = f
	}
	return !p.left
}

// Leave gives the place up, so that a next process of the name can have it. From then on this one shares nothing.
func (p *place) Leave() {
	p.mu.Lock()
	f := p.peers
	p.peers, p.left = nil, true
	p.mu.Unlock()
	if f != nil {
		f.Leave()
	}
}

// joinFleet has a driver share. Where the former process of the same dispatcher still has the place, as in an upgrade, this
// one serves alone until that one has left.
func joinFleet(cfg *platform.Config, f *FleetSettings, d *driver.Driver, log *slog.Logger) (*place, error) {
	// A later process of the name has a higher one: where $TMPDIR lasts whatever its clock says, else as long as that was not
	// set back by more than the process was down.
	incarnation := uint64(d.StartNumber())
	rights, err := f.rights(cfg, incarnation)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	gangs, err := f.gangs(cfg)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	if gangs != nil {
		rights.Room = gangs.Room
	}
	p := &place{}
	peers, err := JoinFleet(f, cfg.Name, incarnation, log)
	switch {
	case err == nil:
		p.take(peers)
	case errors.Is(err, ledger.ErrInUse) && d.Former():
		log.Info("fleet: the former process still has the place; sharing nothing until it leaves", "addr", f.Bind)
		go func() {
			for !p.gone() {
				time.Sleep(formerLook)
				if peers, err := JoinFleet(f, cfg.Name, incarnation, log); err == nil {
					if !p.take(peers) {
						peers.Leave()
					}
					return
				} else if !errors.Is(err, ledger.ErrInUse) {
					log.Error("fleet: not joined", "cause", err)
				}
			}
		}()
	default:
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	d.Share(driver.Sharing{Peers: p, Every: f.Every, Incarnation: incarnation, Rights: rights, Gangs: gangs, Verdicts: f.Verdicts == "on", Slack: f.Slack == "on", Retries: f.Retries,
		Limits: ledger.Limits{Believe: f.Believe.Microseconds(), Quorum: f.Quorum, Gap: f.Every.Microseconds() / 4,
			Hubs: f.Hubs, Deaf: max(deaf, 6*f.Every).Microseconds()}})
	return p, nil
}

func (p *place) gone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left
}
