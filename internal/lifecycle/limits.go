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

// Limits configures the limits that apply to the whole fleet.
type Limits struct {
	Keepers []string      `sexp:"keepers,required"`         // dispatchers of which one deals the rights; the list must be the same everywhere
	Lease   time.Duration `sexp:"lease" min:"0.2" max:"60"` // duration of a right and of the dealer's role
	Limits  []FleetLimit  `sexp:"limit"`
	Where   settings.Pos  `sexp:",pos"`
}

// FleetLimit configures one limit.
type FleetLimit struct {
	Name         string        `sexp:",arg,required"`
	Tenant       string        `sexp:"tenant"`                    // tenant whose jobs are counted
	Class        string        `sexp:"class"`                     // or the class that is counted
	Rate         float64       `sexp:"rate"`                      // jobs per second; NaN: not set
	Open         float64       `sexp:"open"`                      // or jobs open at once; NaN: not set
	Burst        time.Duration `sexp:"burst" min:"0.1" max:"600"` // how long an unused rate may be saved up
	Floor        float64       `sexp:"floor" min:"0"`             // what a dispatcher that is cut off may still do, in the unit of the limit; 0: nothing
	ExcessPolicy string        `sexp:"over" one-of:"refuse|discount"`
	Where        settings.Pos  `sexp:",pos"`
}

// SetDefaults implements settings.Defaulter.
func (l *Limits) SetDefaults() { l.Lease = 2 * time.Second }

// SetDefaults implements settings.Defaulter. A limit is strict unless it has a floor, since most limits protect somebody
// else: excess is refused, and a dispatcher that is cut off admits nothing.
func (l *FleetLimit) SetDefaults() {
	l.Rate, l.Open, l.Burst, l.ExcessPolicy = math.NaN(), math.NaN(), 4*time.Second, "refuse"
}

// kind returns what the limit counts: a rate or open jobs.
func (l *FleetLimit) kind() rights.Kind {
	if math.IsNaN(l.Open) {
		return rights.Rate
	}
	return rights.Open
}

const (
	maxKeepers = 7
	maxLimits  = 64
	maxAmount  = 1e6
)

// Check implements settings.Checker. An invalid value is a *settings.Error with its position and path.
func (l *Limits) Check() error {
	invalid := func(key, why string, args ...any) error {
		return &settings.Error{Pos: l.Where, Path: "fleet.limits." + key, Reason: fmt.Sprintf(why, args...)}
	}
	seen := map[string]bool{}
	for _, k := range l.Keepers {
		if seen[k] {
			return invalid("keepers", "%q is listed twice", k)
		}
		seen[k] = true
	}
	switch {
	case len(l.Keepers) > maxKeepers:
		return invalid("keepers", "%d keepers; at most %d are allowed, and an odd number is best", len(l.Keepers), maxKeepers)
	case len(l.Limits) > maxLimits:
		return invalid("limit", "%d limits; at most %d are allowed", len(l.Limits), maxLimits)
	}
	names, covered := map[string]bool{}, map[string]bool{}
	for _, f := range l.Limits {
		what := fmt.Sprint(f.Tenant, "\x00", f.Class, f.kind())
		switch {
		case names[f.Name]:
			return f.invalid("", "the name %q is given to two limits", f.Name)
		case covered[what]:
			return f.invalid("", "a second limit of the same kind on %s", strings.TrimSpace(f.Tenant+" "+f.Class))
		}
		names[f.Name], covered[what] = true, true
	}
	return nil
}

func (l *FleetLimit) invalid(key, why string, args ...any) error {
	return &settings.Error{Pos: l.Where, Path: strings.TrimSuffix("fleet.limits.limit."+key, "."), Reason: fmt.Sprintf(why, args...)}
}

// amount returns the key and the value of the limit.
func (l *FleetLimit) amount() (string, float64) {
	if l.kind() == rights.Rate {
		return "rate", l.Rate
	}
	return "open", l.Open
}

// Check implements settings.Checker. An invalid value is a *settings.Error with its position and path.
func (l *FleetLimit) Check() error {
	switch {
	case (l.Tenant == "") == (l.Class == ""):
		return l.invalid("tenant", "want either a tenant or a class")
	case math.IsNaN(l.Rate) == math.IsNaN(l.Open):
		return l.invalid("rate", "want either a rate or a number of jobs open at once")
	}
	key, amount := l.amount()
	switch {
	case !(amount > 0):
		return l.invalid(key, "%g: a limit must be above 0; to stop all jobs, cordon or refuse by other means", amount)
	case amount > maxAmount:
		return l.invalid(key, "%g is over %g", amount, maxAmount)
	case key == "open" && amount < 1:
		return l.invalid(key, "%g is less than one open job", amount)
	case key == "rate" && amount*l.Burst.Seconds() < 1:
		return l.invalid("burst", "%v at %g a second is less than one job, so none could ever start", l.Burst, amount)
	case l.Floor > amount:
		return l.invalid("floor", "%g is over the whole limit, %g", l.Floor, amount)
	}
	return nil
}

// resolveLimits resolves the settings against the platform's tenants and classes.
func (f *FleetSettings) resolveLimits(cfg *platform.Config) ([]limit.Limit, error) {
	if f.Limits.Lease < 2*f.ReportInterval {
		return nil, &settings.Error{Pos: f.Limits.Where, Path: "fleet.limits.lease", Reason: fmt.Sprintf("%v is under two reports, which are %v apart: rights would expire before they are renewed", f.Limits.Lease, f.ReportInterval)}
	}
	longest := int64(0)
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	var out []limit.Limit
	for _, l := range f.Limits.Limits {
		o := limit.Limit{Name: l.Name, Tenant: -1, Class: -1, Refuse: l.ExcessPolicy == "refuse",
			Limit: rights.Limit{Lease: f.Limits.Lease.Microseconds(), MaxOpenTime: longest + answerSlack.Microseconds(), Floor: l.Floor}}
		if l.Tenant != "" {
			i, known := cfg.Tenants()[l.Tenant]
			if !known {
				return nil, l.invalid("tenant", "the configuration has no tenant %q", l.Tenant)
			}
			o.Tenant = i
		} else {
			lane, known := cfg.Lanes()[l.Class]
			if !known {
				return nil, l.invalid("class", "the configuration has no class %q", l.Class)
			}
			o.Class, o.MaxOpenTime = lane.Class, cfg.Settings.Classes[lane.Class].Deadline+answerSlack.Microseconds()
		}
		_, amount := l.amount()
		o.Amount, o.Burst = amount, amount*l.Burst.Seconds()
		o.Kind = l.kind()
		if n := float64(max(cfg.Settings.Schedulers, 1)); l.Floor*n > amount {
			return nil, l.invalid("floor", "%g is over the even share of %g among %g dispatchers, %g", l.Floor, amount, n, amount/n)
		}
		out = append(out, o)
	}
	return out, nil
}

// answerSlack is the latest time after its deadline at which an open message is answered.
const answerSlack = time.Second

// limitOptions returns this process's configuration for the limits, or nil if there are none.
func (f *FleetSettings) limitOptions(cfg *platform.Config, incarnation uint64) (*limit.Options, error) {
	if f.Limits == nil {
		return nil, nil
	}
	limits, err := f.resolveLimits(cfg)
	if err != nil {
		return nil, err
	}
	return &limit.Options{Self: lease.Owner{Name: cfg.Name, Incarnation: incarnation}, Keepers: f.Limits.Keepers, Lease: f.Limits.Lease.Microseconds(), Limits: limits}, nil
}

// describeLimits writes a line per limit.
func (f *FleetSettings) describeLimits(w io.Writer, cfg *platform.Config) error {
	limits, err := f.resolveLimits(cfg)
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
			fmt.Fprintf(w, "limit %s: %s, %g jobs open at once, each for %v at most", l.Name, whose, o.Amount, time.Duration(o.MaxOpenTime)*time.Microsecond)
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

// reloadLimits reads the product settings again and makes a driver take the amounts, bursts and floors of its limits
// from them; other changes need a restart.
func reloadLimits(cfg *platform.Config, product *Settings, d *driver.Driver, log *slog.Logger) {
	now, err := ReadSettings(product.path)
	var limits []limit.Limit
	if err == nil && now.Fleet != nil && now.Fleet.Limits != nil {
		limits, err = now.Fleet.resolveLimits(cfg)
	}
	if err != nil {
		log.Error("reload of limits failed, keeping the old ones", "cause", err)
		return
	}
	for _, l := range limits {
		log.Info("fleet limit set", "limit", l.Name, "amount", l.Amount, "floor", l.Floor)
	}
	d.SetFleetLimits(limits)
}
