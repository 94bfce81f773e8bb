package lifecycle

import (
	"fmt"
	"io"
	"math"
	"time"

	"granitewing/internal/fleet/gang"
	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/fleet/gang/topology"
	"granitewing/internal/settings"
	"granitewing/internal/wire/platform"
)

// Gangs configures classes whose messages run as parts on many hosts at once.
type Gangs struct {
	SlotsPerHost   int           `sexp:"slots" min:"1" max:"64"` // slots of a host that gangs may use at once
	Host           settings.Size `sexp:"host-link"`              // bandwidth of a host's link, bytes per second
	Rack           settings.Size `sexp:"rack-link"`              // of a rack's uplink, shared by its hosts
	Zone           settings.Size `sexp:"zone-link"`              // of a zone's uplink, shared by its racks
	RackLocalDelay time.Duration `sexp:"near-delay" min:"0"`     // latency within a rack
	CrossRackDelay time.Duration `sexp:"rack-delay" min:"0"`     // latency between racks of a zone
	CrossZoneDelay time.Duration `sexp:"zone-delay" min:"0"`
	RackMTBF       time.Duration `sexp:"rack-fails" min:"1"`     // mean time between a rack's failures
	Pieces         float64       `sexp:"pieces" min:"0" max:"1"` // share of a gang's worth charged for a rack that it leaves partly free
	Gangs          []Gang        `sexp:"gang"`
	Where          settings.Pos  `sexp:",pos"`
}

// Gang configures one class.
type Gang struct {
	Class    string        `sexp:",arg,required"`
	Parts    int           `sexp:"parts,required" min:"2" max:"256"`
	MinParts int           `sexp:"least" min:"0" max:"256"` // smallest number of parts; 0: all
	Exchange string        `sexp:"exchange,required"`
	Bytes    settings.Size `sexp:"bytes"` // sent by a part in a step
	Steps    float64       `sexp:"steps" min:"0" max:"1e9"`
	Within   time.Duration `sexp:"within" min:"0.05" max:"60"` // all parts must start within this time after they are sent
	MaxWait  time.Duration `sexp:"wait" min:"0.05" max:"600"`  // longest wait for slots
	Where    settings.Pos  `sexp:",pos"`
}

// SetDefaults implements settings.Defaulter.
func (g *Gangs) SetDefaults() {
	g.SlotsPerHost, g.Host, g.Rack, g.Zone = 1, 1250<<20, 5000<<20, 20000<<20
	g.RackLocalDelay, g.CrossRackDelay, g.CrossZoneDelay, g.RackMTBF, g.Pieces = 20*time.Microsecond, 60*time.Microsecond, time.Millisecond, 720*time.Hour, 0.01
}

// SetDefaults implements settings.Defaulter.
func (g *Gang) SetDefaults() { g.Within, g.MaxWait = time.Second, 10*time.Second }

func (g *Gang) invalid(key, why string, args ...any) error {
	return &settings.Error{Pos: g.Where, Path: "fleet.gangs.gang." + key, Reason: fmt.Sprintf(why, args...)}
}

// Check implements settings.Checker. An invalid value is a *settings.Error with its position and path.
func (g *Gangs) Check() error {
	for key, v := range map[string]settings.Size{"host-link": g.Host, "rack-link": g.Rack, "zone-link": g.Zone} {
		if v <= 0 {
			return &settings.Error{Pos: g.Where, Path: "fleet.gangs." + key, Reason: "want a bandwidth above 0"}
		}
	}
	seen := map[string]bool{}
	for i := range g.Gangs {
		c := &g.Gangs[i]
		if seen[c.Class] {
			return c.invalid("", "the class %q is declared twice", c.Class)
		}
		seen[c.Class] = true
		if _, err := pattern.Parse(c.Exchange); err != nil {
			return c.invalid("exchange", "%v", err)
		}
		if c.MinParts > c.Parts {
			return c.invalid("least", "%d of %d parts", c.MinParts, c.Parts)
		}
	}
	return nil
}

// gangOptions resolves the settings against the platform's classes; nil if there are none.
func (f *FleetSettings) gangOptions(cfg *platform.Config) (*gang.Options, error) {
	g := f.Gangs
	if g == nil {
		return nil, nil
	}
	if f.Limits == nil {
		return nil, &settings.Error{Pos: g.Where, Path: "fleet.gangs", Reason: "slots are dealt by one of (limits (keepers …)), and there are none"}
	}
	o := &gang.Options{Room: g.SlotsPerHost, Weights: gang.Weights{Fragmentation: g.Pieces, Fails: 1 / g.RackMTBF.Seconds()},
		Topology: topology.Topology{Host: float64(g.Host), Rack: float64(g.Rack), Zone: float64(g.Zone), Near: g.RackLocalDelay.Seconds(), Apart: g.CrossRackDelay.Seconds(), Far: g.CrossZoneDelay.Seconds()}}
	for i := range g.Gangs {
		c := &g.Gangs[i]
		lane, known := cfg.Lanes()[c.Class]
		if !known {
			return nil, c.invalid("", "the configuration has no class %q", c.Class)
		}
		if n := len(cfg.Known.Hosts); n > 0 && max(c.MinParts, 1) > n || c.MinParts == 0 && n > 0 && c.Parts > n {
			return nil, c.invalid("parts", "%d parts on %d hosts", max(c.MinParts, c.Parts), n)
		}
		p, _ := pattern.Parse(c.Exchange)
		k := gang.Kind{Class: lane.Class, Parts: c.Parts, Least: c.MinParts, Pattern: p, Bytes: float64(c.Bytes), Steps: c.Steps,
			Within: c.Within.Microseconds(), Wait: c.MaxWait.Microseconds()}
		if k.Least == 0 {
			k.Least = k.Parts
		}
		o.Kinds = append(o.Kinds, k)
	}
	return o, nil
}

// describeGangs writes a line per gang class.
func (f *FleetSettings) describeGangs(w io.Writer, cfg *platform.Config) error {
	o, err := f.gangOptions(cfg)
	if o == nil || err != nil {
		return err
	}
	for i, k := range o.Kinds {
		c := &f.Gangs.Gangs[i]
		x := topology.Traffic{}
		x.Count(k.Pattern.Edges(k.Parts), k.Bytes, make([]topology.Spot, k.Parts))
		step := 0.0
		if k.Steps > 0 {
			step = o.Topology.Step(&x, &topology.Loads{})
		}
		fmt.Fprintf(w, "gang %s: %d to %d parts at once, all begun within %v or none goes on; %v of exchange in one rack; waits %v for slots at most\n",
			c.Class, k.Least, k.Parts, c.Within, time.Duration(math.Round(step*k.Steps*1e3))*time.Millisecond, c.MaxWait)
	}
	return nil
}
