package lifecycle

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"granitewing/internal/driver"
	"granitewing/internal/fleet/limit"
	"granitewing/internal/fleet/limit/lease"
	"granitewing/internal/fleet/limit/rights"
	"granitewing/internal/settings"
	"granitewing/internal/wire/platform"
)

// Limits are those of the whole fleet.
type Limits struct {
	Keepers []string      `sexp:"keepers,required"`         // dispatchers of whom one deals the rights; the same list everywhere
	Lease   time.Duration `sexp:"lease" min:"0.2" max:"60"` // a right is given for so long, and so is the dealer's post
	Limits  []FleetLimit  `sexp:"limit"`
	Where   settings.Pos  `sexp:",pos"`
}

// FleetLimit is one.
type FleetLimit struct {
	Name   string        `sexp:",arg,required"`
	Tenant string        `sexp:"tenant"`                    // whose jobs it counts
	Class  string        `sexp:"class"`                     // or of which class
	Rate   float64       `sexp:"rate"`                      // jobs a second; NaN: not said
	Open   float64       `sexp:"open"`                      // or jobs open at once
	Burst  time.Duration `sexp:"burst" min:"0.1" max:"600"` // of a rate: for so long it may be saved up
	Floor  float64       `sexp:"floor" min:"0"`             // what a dispatcher that is cut off may do all the same; 0: nothing
	Over   string        `sexp:"over" one-of:"refuse|discount"`
	Where  settings.Pos  `sexp:",pos"`
}

// SetDefaults implements settings.Defaulter.
func (l *Limits) SetDefaults() { l.Lease = 2 * time.Second }

// SetDefaults implements settings.Defaulter. A limit is strict unless it has a floor: it is mostly there for another's sake.
func (l *FleetLimit) SetDefaults() {
	l.Rate, l.Open, l.Burst, l.Over = math.NaN(), math.NaN(), 4*time.Second, "refuse"
}

// counts tells what the limit counts.
func (l *FleetLimit) counts() rights.Kind {
	if math.IsNaN(l.Open) {
		return rights.Rate
	}
	return rights.Open
}

const (
	keepersMost = 7
	limitsMost  = 64
	amountMost  = 1e6
)

// Check implements settings.Checker.
func (l *Limits) Check() error {
	at := func(key, why string, args ...any) error {
		return &settings.Error{Pos: l.Where, Path: "fleet.limits." + key, Why: fmt.Sprintf(why, args...)}
	}
	seen := map[string]bool{}
	for _, k := range l.Keepers {
		if seen[k] {
			return at("keepers", "%q is there twice", k)
		}
		seen[k] = true
	}
	switch {
	case len(l.Keepers) > keepersMost:
		return at("keepers", "%d of them; %d at most, and an odd number is best", len(l.Keepers), keepersMost)
	case len(l.Limits) > limitsMost:
		return at("limit", "%d of them; %d at most", len(l.Limits), limitsMost)
	}
	names, covered := map[string]bool{}, map[string]bool{}
	for _, f := range l.Limits {
		what := fmt.Sprint(f.Tenant, "\x00", f.Class, f.counts())
		switch {
		case names[f.Name]:
			return f.at("", "the name %q is given to two limits", f.Name)
		case covered[what]:
			return f.at("", "a second limit of one kind on %s", strings.TrimSpace(f.Tenant+" "+f.Class))
		}
		names[f.Name], covered[what] = true, true
	}
	return nil
}

func (l *FleetLimit) at(key, why string, args ...any) error {
	return &settings.Error{Pos: l.Where, Path: strings.TrimSuffix("fleet.limits.limit."+key, "."), Why: fmt.Sprintf(why, args...)}
}

// amount is what the limit is, and under which key.
func (l *FleetLimit) amount() (string, float64) {
	if l.counts() == rights.Rate {
		return "rate", l.Rate
	}
	return "open", l.Open
}

// Check implements settings.Checker.
func (l *FleetLimit) Check() error {
	switch {
	case (l.Tenant == "") == (l.Class == ""):
		return l.at("tenant", "want either a tenant or a class")
	case math.IsNaN(l.Rate) == math.IsNaN(l.Open):
		return l.at("rate", "want either a rate or a number that may be open at once")
	}
	key, amount := l.amount()
	switch {
	case !(amount > 0):
		return l.at(key, "%g: a limit of nothing serves nobody; cordon or refuse by other means", amount)
	case amount > amountMost:
		return l.at(key, "%g is over %g", amount, amountMost)
	case key == "open" && amount < 1:
		return l.at(key, "%g is less than one place", amount)
	case key == "rate" && amount*l.Burst.Seconds() < 1:
		return l.at("burst", "%v at %g a second is less than one job, so none could ever start", l.Burst, amount)
	case l.Floor > amount:
		return l.at("floor", "%g is over the whole limit, %g", l.Floor, amount)
	}
	return nil
}

// decode brings the settings to the platform's tenants and classes.
func (f *FleetSettings) decode(cfg *platform.Config) ([]limit.Limit, error) {
	if f.Limits.Lease < 2*f.Every {
		return nil, &settings.Error{Pos: f.Limits.Where, Path: "fleet.limits.lease", Why: fmt.Sprintf("%v is under two reports, which are %v apart: rights would end before they are renewed", f.Limits.Lease, f.Every)}
	}
	longest := int64(0)
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	var out []limit.Limit
	for _, l := range f.Limits.Limits {
		o := limit.Limit{Name: l.Name, Tenant: -1, Class: -1, Refuse: l.Over == "refuse",
			Limit: rights.Limit{Lease: f.Limits.Lease.Microseconds(), Linger: longest + answerSlack.Microseconds(), Floor: l.Floor}}
		if l.Tenant != "" {
			i, known := cfg.Tenants()[l.Tenant]
			if !known {
				return nil, l.at("tenant", "the configuration has no tenant %q", l.Tenant)
			}
			o.Tenant = i
		} else {
			lane, known := cfg.Lanes()[l.Class]
			if !known {
				return nil, l.at("class", "the configuration has no class %q", l.Class)
			}
			o.Class, o.Linger = lane.Class, cfg.Settings.Classes[lane.Class].Deadline+answerSlack.Microseconds()
		}
		_, amount := l.amount()
		o.Amount, o.Burst = amount, amount*l.Burst.Seconds()
		o.Kind = l.counts()
		if n := float64(max(cfg.Settings.Schedulers, 1)); l.Floor*n > amount {
			return nil, l.at("floor", "%g is over the even share of %g among %g dispatchers, %g", l.Floor, amount, n, amount/n)
		}
		out = append(out, o)
	}
	return out, nil
}

// answerSlack is within what time after its deadline an open message has its answer at the latest.
const answerSlack = time.Second

// rights says what part a process has in the limits, or nothing where there are none.
func (f *FleetSettings) rights(cfg *platform.Config, incarnation uint64) (*limit.Options, error) {
	if f.Limits == nil {
		return nil, nil
	}
	limits, err := f.decode(cfg)
	if err != nil {
		return nil, err
	}
	return &limit.Options{Self: lease.Owner{Name: cfg.Name, Incarnation: incarnation}, Keepers: f.Limits.Keepers, Lease: f.Limits.Lease.Microseconds(), Limits: limits}, nil
}

// describe says what the limits mean.
func (f *FleetSettings) describe(w io.Writer, cfg *platform.Config) error {
	limits, err := f.decode(cfg)
	if err != nil {
		return err
	}
	role := "asks them"
	if slices.Contains(f.Limits.Keepers, cfg.Name) {
		role = "is one of them"
	}
	fmt.Fprintf(w, "limits of the fleet are dealt by one of %s for %v at a time; this dispatcher %s\n", strings.Join(f.Limits.Keepers, " "), f.Limits.Lease, role)
	for i, l := range f.Limits.Limits {
		o := limits[i]
		whose := "tenant " + l.Tenant
		if l.Class != "" {
			whose = "class " + l.Class
		}
		if o.Kind == rights.Open {
			fmt.Fprintf(w, "limit %s: %s, %g jobs open at once, each for %v at most", l.Name, whose, o.Amount, time.Duration(o.Linger)*time.Microsecond)
		} else {
			fmt.Fprintf(w, "limit %s: %s, %g jobs a second, in any time not over that by more than %g", l.Name, whose, o.Amount, o.Burst)
		}
		over := "refused"
		if !o.Refuse {
			over = "counted as beyond its share"
		}
		if l.Floor > 0 {
			fmt.Fprintf(w, "; a dispatcher that is cut off may do %g", l.Floor)
		} else {
			fmt.Fprint(w, "; a dispatcher that is cut off may do none")
		}
		fmt.Fprintf(w, "; one over it is %s\n", over)
	}
	return nil
}

// relimit reads the own settings again and has a driver take the amounts, bursts and floors of its limits from them; the
// rest of them takes a new start.
func relimit(cfg *platform.Config, own *Settings, d *driver.Driver, log *slog.Logger) {
	now, err := ReadSettings(own.path)
	var limits []limit.Limit
	if err == nil && now.Fleet != nil && now.Fleet.Limits != nil {
		limits, err = now.Fleet.decode(cfg)
	}
	if err != nil {
		log.Error("reload of limits refused; the old ones hold", "cause", err)
		return
	}
	for _, l := range limits {
		log.Info("limit of the fleet", "limit", l.Name, "amount", l.Amount, "floor", l.Floor)
	}
	d.Relimit(limits)
}
