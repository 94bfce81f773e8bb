package world

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"granitewing/internal/settings"
)

// Fault is a failure at a time.
type Fault struct {
	Kind   string        `sexp:",head"`
	At     time.Duration `sexp:"at,required" min:"0"`
	For    time.Duration `sexp:"for" min:"0"`
	Hosts  []string      `sexp:"hosts"` // by name; or
	Zone   string        `sexp:"zone"`  // all of a zone; or
	Share  float64       `sexp:"share" min:"0" max:"1"`
	Count  int           `sexp:"count" min:"0"` // of hosts that come or go, or are drawn
	Factor float64       `sexp:"factor" min:"1"`
	Grace  time.Duration `sexp:"grace" min:"0"` // from a drain to the end of the process
	Zones  []string      `sexp:"zones"`         // on the two sides of a partition
	Number int           `sexp:"dispatcher" min:"0"`
	Of     *Dispatchers  `sexp:"of"`                        // in place of dispatcher
	Way    string        `sexp:"way" one-of:"both|to|from"` // of a link: towards the host or discovery, from there, or both
	Manner string        `sexp:"manner" one-of:"silent|reset|half|late"`
	Source bool          `sexp:"discovery"`                 // the links are those to discovery
	Peers  string        `sexp:"peers" one-of:"others|all"` // the links are those to dispatchers that are not named, or to all
	Client bool          `sexp:"clients"`                   // the links are those of clients
	Delay  time.Duration `sexp:"delay" min:"0"`             // of a slow store's answers, or of a link that is late
	Spread time.Duration `sexp:"spread" min:"0"`            // of datagrams on a late link, which so come out of order
	Loss   float64       `sexp:"loss" min:"0" max:"1"`      // of datagrams on a late link
	Twice  float64       `sexp:"twice" min:"0" max:"1"`     // of datagrams on a late link
	Where  settings.Pos  `sexp:",pos"`
}

// SetDefaults implements settings.Defaulter.
func (f *Fault) SetDefaults() {
	f.Factor, f.Grace, f.Way, f.Manner = 5, 4*time.Second, "both", "silent"
}

// Dispatchers says which dispatchers a fault strikes: some by name, all of a zone, or a share or number that is drawn.
type Dispatchers struct {
	Names []string `sexp:"names"`
	Zone  string   `sexp:"zone"`
	Share float64  `sexp:"share" min:"0" max:"1"`
	Count int      `sexp:"count" min:"0"`
}

// Chance draws failures of a kind from the seed.
type Chance struct {
	Kind   string         `sexp:",arg,required" one-of:"slow|drain|crash|restart|vanish|reset|errors|refuse|churn|kill-dispatcher|store-silent|store-slow|store-resets"`
	Rate   float64        `sexp:"rate,required" min:"0"` // a minute, over the whole fleet
	For    settings.Span  `sexp:"for"`
	Factor settings.Range `sexp:"factor" min:"1"`
	Part   settings.Range `sexp:"part" min:"0" max:"1"` // of the fleet that is struck at once
}

func (s *Spec) checkFaults() error {
	known := s.HostNames()
	for _, f := range s.Faults {
		at := func(key, why string, args ...any) error {
			return &settings.Error{Pos: f.Where, Path: f.Kind + "." + key, Why: fmt.Sprintf(why, args...)}
		}
		for _, h := range f.Hosts {
			if s.hostNumber(h) < 0 {
				return at("hosts", "no host %q; there are h0 to h%d (%s to %s)", h, len(known)-1, known[0], known[len(known)-1])
			}
		}
		if f.Zone != "" && !slices.Contains(s.Zones, f.Zone) {
			return at("zone", "no zone %q is described", f.Zone)
		}
		for _, z := range f.Zones {
			if !slices.Contains(s.Zones, z) {
				return at("zones", "no zone %q is described", z)
			}
		}
		switch f.Kind {
		case "partition":
			if len(f.Zones) != 2 || f.Zones[0] == f.Zones[1] {
				return at("zones", "wants two zones that are parted")
			}
		case "kill-dispatcher", "quiesce-dispatcher", "pause-dispatcher", "restart-dispatcher", "link":
			if f.Number >= s.Dispatchers {
				return at("dispatcher", "no dispatcher %d; there are 0 to %d", f.Number, s.Dispatchers-1)
			}
			if err := s.checkOf(f.Of, at); err != nil {
				return err
			}
			switch {
			case s.Virtual && f.Kind != "kill-dispatcher" && f.Kind != "quiesce-dispatcher":
				return at("at", "is for processes; virtual time has none")
			case f.Kind == "pause-dispatcher" && f.For <= 0, f.Kind == "restart-dispatcher" && f.For <= 0:
				return at("for", "wants how long, or the dispatcher never comes back")
			case f.Kind != "link":
			case f.Manner == "late" && f.Delay <= 0 && f.Spread <= 0 && f.Loss <= 0 && f.Twice <= 0:
				return at("delay", "wants how late")
			case f.Manner != "late" && (f.Spread > 0 || f.Loss > 0 || f.Twice > 0):
				return at("manner", "spread, loss and twice are for links that are late")
			case f.Peers == "" && (f.Spread > 0 || f.Loss > 0 || f.Twice > 0):
				return at("peers", "spread, loss and twice are for datagrams, which dispatchers alone send, to each other")
			case (f.Source && f.Client) || f.Peers != "" && (f.Source || f.Client):
				return at("peers", "a link is with peers, clients, discovery or hosts; name one")
			}
		case "look":
			if s.Virtual {
				return at("at", "is for processes; virtual time has no doors")
			}
		case "stale", "discovery-down", "discovery-silent":
		case "store-silent", "store-slow", "store-resets":
			if !s.Postgres {
				return at("at", "wants (postgres): the laboratory has no store to disturb")
			}
		case "grow", "shrink":
			if f.Count < 1 {
				return at("count", "wants how many hosts")
			}
		default:
			if len(f.Hosts) == 0 && f.Zone == "" && f.Share == 0 && f.Count == 0 {
				return at("hosts", "wants hosts, a zone, a share or a count")
			}
		}
	}
	return nil
}

// checkOf checks which dispatchers a fault names.
func (s *Spec) checkOf(of *Dispatchers, at func(key, why string, args ...any) error) error {
	if of == nil {
		return nil
	}
	for _, n := range of.Names {
		if s.dispatcherNumber(n) < 0 {
			return at("of.names", "no dispatcher %q; there are n0 to n%d", n, s.Dispatchers-1)
		}
	}
	if of.Zone != "" && !slices.Contains(s.Zones, of.Zone) {
		return at("of.zone", "no zone %q is described", of.Zone)
	}
	if len(of.Names) == 0 && of.Zone == "" && of.Share == 0 && of.Count == 0 {
		return at("of", "wants names, a zone, a share or a count")
	}
	return nil
}

// dispatcherNumber finds a dispatcher by its name; -1 if there is none.
func (s *Spec) dispatcherNumber(name string) int {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i < 0 || i >= s.Dispatchers || name != fmt.Sprintf("n%d", i) {
		return -1
	}
	return i
}

// hostNumber finds a host by its name or as hN; -1 if there is none.
func (s *Spec) hostNumber(name string) int {
	var i int
	if n, err := fmt.Sscanf(name, "h%d", &i); n == 1 && err == nil && fmt.Sprintf("h%d", i) == name && i >= 0 && i < s.Fleet.Hosts {
		return i
	}
	return slices.Index(s.HostNames(), name)
}
