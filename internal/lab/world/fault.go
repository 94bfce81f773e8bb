package world

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"granitewing/internal/settings"
)

// Fault is a failure that begins at a set time. Kind is its name in the experiment file; which other fields it uses
// depends on the kind.
type Fault struct {
	Kind        string        `sexp:",head"`
	At          time.Duration `sexp:"at,required" min:"0"`                    // from the start of the day
	For         time.Duration `sexp:"for" min:"0"`                            // 0: it never ends
	Hosts       []string      `sexp:"hosts"`                                  // the affected hosts by name; or
	Zone        string        `sexp:"zone"`                                   // all hosts of a zone; or
	Share       float64       `sexp:"share" min:"0" max:"1"`                  // a random share of the hosts; or
	Count       int           `sexp:"count" min:"0"`                          // number of random hosts, or that join or leave
	Factor      float64       `sexp:"factor" min:"1"`                         // by which a slow host is slower
	Grace       time.Duration `sexp:"grace" min:"0"`                          // from a drain to the end of the process
	Zones       []string      `sexp:"zones"`                                  // the two sides of a partition
	Number      int           `sexp:"dispatcher" min:"0"`                     // the affected dispatcher; or
	Of          *Dispatchers  `sexp:"of"`                                     // several dispatchers, in place of dispatcher
	Way         string        `sexp:"way" one-of:"both|to|from"`              // direction: to or from the other side, or both
	Manner      string        `sexp:"manner" one-of:"silent|reset|half|late"` // what happens to a link
	ToDiscovery bool          `sexp:"discovery"`                              // the links are those to discovery
	Peers       string        `sexp:"peers" one-of:"others|all"`              // links to unnamed dispatchers, or to all
	ToClients   bool          `sexp:"clients"`                                // the links are those to clients
	Delay       time.Duration `sexp:"delay" min:"0"`                          // of a slow store's answers, or of a late link
	Spread      time.Duration `sexp:"spread" min:"0"`                         // jitter of datagrams on a late link; reorders them
	Loss        float64       `sexp:"loss" min:"0" max:"1"`                   // share of datagrams lost on a late link
	Duplicated  float64       `sexp:"twice" min:"0" max:"1"`                  // share of datagrams duplicated on a late link
	Where       settings.Pos  `sexp:",pos"`
}

// SetDefaults implements settings.Defaulter.
func (f *Fault) SetDefaults() {
	f.Factor, f.Grace, f.Way, f.Manner = 5, 4*time.Second, "both", "silent"
}

// Dispatchers selects the dispatchers that a fault affects: by name, all of a zone, or a random share or number.
type Dispatchers struct {
	Names []string `sexp:"names"`
	Zone  string   `sexp:"zone"`
	Share float64  `sexp:"share" min:"0" max:"1"`
	Count int      `sexp:"count" min:"0"`
}

// Chance describes random failures of a kind. Their times are a Poisson process drawn from the seed.
type Chance struct {
	Kind   string                 `sexp:",arg,required" one-of:"slow|drain|crash|restart|vanish|reset|errors|refuse|churn|kill-dispatcher|store-silent|store-slow|store-resets"`
	Rate   float64                `sexp:"rate,required" min:"0"` // failures per minute over the whole fleet
	For    settings.DurationRange `sexp:"for"`
	Factor settings.Range         `sexp:"factor" min:"1"`
	Part   settings.Range         `sexp:"part" min:"0" max:"1"` // share of the fleet that one failure affects
}

// checkFaults reports the first fault whose settings are incomplete or name something that does not exist.
func (s *Spec) checkFaults() error {
	known := s.HostNames()
	for _, f := range s.Faults {
		errorAt := func(key, why string, args ...any) error {
			return &settings.Error{Pos: f.Where, Path: f.Kind + "." + key, Reason: fmt.Sprintf(why, args...)}
		}
		for _, h := range f.Hosts {
			if s.hostNumber(h) < 0 {
				return errorAt("hosts", "no host %q; there are h0 to h%d (%s to %s)", h, len(known)-1, known[0], known[len(known)-1])
			}
		}
		if f.Zone != "" && !slices.Contains(s.Zones, f.Zone) {
			return errorAt("zone", "no zone %q is described", f.Zone)
		}
		for _, z := range f.Zones {
			if !slices.Contains(s.Zones, z) {
				return errorAt("zones", "no zone %q is described", z)
			}
		}
		switch f.Kind {
		case "partition":
			if len(f.Zones) != 2 || f.Zones[0] == f.Zones[1] {
				return errorAt("zones", "wants two different zones")
			}
		case "kill-dispatcher", "quiesce-dispatcher", "pause-dispatcher", "restart-dispatcher", "link":
			if f.Number >= s.Dispatchers {
				return errorAt("dispatcher", "no dispatcher %d; there are 0 to %d", f.Number, s.Dispatchers-1)
			}
			if err := s.checkDispatchers(f.Of, errorAt); err != nil {
				return err
			}
			switch {
			case s.Virtual && f.Kind != "kill-dispatcher" && f.Kind != "quiesce-dispatcher":
				return errorAt("at", "is supported only with real processes, not in virtual time")
			case f.Kind == "pause-dispatcher" && f.For <= 0, f.Kind == "restart-dispatcher" && f.For <= 0:
				return errorAt("for", "wants a time above 0, or the dispatcher would never resume")
			case f.Kind != "link":
			case f.Manner == "late" && f.Delay <= 0 && f.Spread <= 0 && f.Loss <= 0 && f.Duplicated <= 0:
				return errorAt("delay", "wants a delay, spread, loss or twice above 0")
			case f.Manner != "late" && (f.Spread > 0 || f.Loss > 0 || f.Duplicated > 0):
				return errorAt("manner", "spread, loss and twice are supported only for links with the manner late")
			case f.Peers == "" && (f.Spread > 0 || f.Loss > 0 || f.Duplicated > 0):
				return errorAt("peers", "spread, loss and twice are supported only for datagrams, which only dispatchers send, to their peers")
			case (f.ToDiscovery && f.ToClients) || f.Peers != "" && (f.ToDiscovery || f.ToClients):
				return errorAt("peers", "a link is with peers, clients, discovery or hosts; name one")
			}
		case "look":
			if s.Virtual {
				return errorAt("at", "is supported only with real processes; virtual time has no admin endpoints")
			}
		case "stale", "discovery-down", "discovery-silent":
		case "store-silent", "store-slow", "store-resets":
			if !s.Postgres {
				return errorAt("at", "wants (postgres): without it there is no store to disturb")
			}
		case "grow", "shrink":
			if f.Count < 1 {
				return errorAt("count", "wants a number of hosts")
			}
		default:
			if len(f.Hosts) == 0 && f.Zone == "" && f.Share == 0 && f.Count == 0 {
				return errorAt("hosts", "wants hosts, a zone, a share or a count")
			}
		}
	}
	return nil
}

// checkDispatchers checks a selection of dispatchers. errorAt makes an error for a key.
func (s *Spec) checkDispatchers(of *Dispatchers, errorAt func(key, why string, args ...any) error) error {
	if of == nil {
		return nil
	}
	for _, n := range of.Names {
		if s.dispatcherNumber(n) < 0 {
			return errorAt("of.names", "no dispatcher %q; there are n0 to n%d", n, s.Dispatchers-1)
		}
	}
	if of.Zone != "" && !slices.Contains(s.Zones, of.Zone) {
		return errorAt("of.zone", "no zone %q is described", of.Zone)
	}
	if len(of.Names) == 0 && of.Zone == "" && of.Share == 0 && of.Count == 0 {
		return errorAt("of", "wants names, a zone, a share or a count")
	}
	return nil
}

// dispatcherNumber returns the number of a dispatcher by its name, or -1 if there is none.
func (s *Spec) dispatcherNumber(name string) int {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i < 0 || i >= s.Dispatchers || name != fmt.Sprintf("n%d", i) {
		return -1
	}
	return i
}

// hostNumber returns the number of a host by its name or as hN, or -1 if there is none.
func (s *Spec) hostNumber(name string) int {
	var i int
	if n, err := fmt.Sscanf(name, "h%d", &i); n == 1 && err == nil && fmt.Sprintf("h%d", i) == name && i >= 0 && i < s.Fleet.Hosts {
		return i
	}
	return slices.Index(s.HostNames(), name)
}
