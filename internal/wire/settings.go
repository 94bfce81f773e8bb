package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"granitewing/logic"
)

// maxListLen bounds the lists that settings may announce, so that a claimed count does not allocate memory.
const maxListLen = 4096

// settings holds the path=value pairs of a start record.
type settings map[string]string

// ParseSettings parses the text of a start record. Unknown keys are skipped, and unusable values get the
// documented default. A value for which there is no sensible default is an error that names the key.
func ParseSettings(text []byte) (logic.Config, error) {
	s := settings{}
	for _, line := range strings.Split(string(text), "\n") {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			s[k] = v
		}
	}
	c := logic.Config{
		Schedulers:        s.count("Balancers", 1),
		Self:              s.count("SelfIndex", 0),
		Zone:              s.count("Zone", 0),
		Zones:             max(1, len(s.list("Zones"))),
		NeedsSubscription: s["Discovery"] == "subscribe",
		ValueByWork:       s["WorthBy"] == "work",
		OverQuotaValue:    s.float("OverShareWorth", 1),
		ReportsStart:      s.flag("FamilyInfo.TellsStart"),
		Progress:          s.micros("FamilyInfo.Progress", 0),
		Resolution:        s.micros("Resolution", 0),

		MayCancel: s.flag("Limits.Cancelling"),
		MayCopy:   s.flag("Limits.SecondCopies"),

		MaxAttempts:     s.count("Limits.MaxAttempts", 1),
		RetriesUnmarked: s["Clients.MarksRetry"] == "false", // without the setting, a short deadline is no sign of a retry
		MaxRetryAfter:   s.micros("Limits.MaxRetryAfter", 0),

		AnswerSlack:      s.micros("Rules.AnswerSlack", 0),
		DrainGrace:       s.micros("Rules.DrainGrace", 0),
		StartCapacity:    s.float("Rules.StartCapacity", 0),
		SlowStart:        s.micros("Rules.Cold", 0),
		OverloadWindow:   s.micros("Rules.Fall", 0),
		OverloadMultiple: s.float("Rules.FallMultiple", 0),

		CrossZoneCost: s.float("Charges.CrossZone", 0),

		ZoneNames:      s.list("Zones"),
		KindNames:      s.list("Skus"),
		ConnectTimeout: s.micros("Limits.ConnectTimeout", 0),
		ConnIdle:       s.micros("Limits.ConnIdle", 0),
		MaxOpen:        s.count("Limits.MaxOpen", 0),
		Pushed:         s["Discovery"] == "automatic",
		ListValidity:   s.micros("Rules.AskWithin", 0),
	}
	// Limits.RetryAfter says whether the simulator's clients receive retry advice; if not, the simulator drops it. On
	// sockets the Retry-After header is always allowed, so the advice is always given.
	for _, name := range s.list("Report.Names") {
		c.Reports = append(c.Reports, reportFields[name])
	}
	var err error
	if c.Classes, err = s.classes(); err != nil {
		return c, err
	}
	c.Tenants = s.tenants()
	return c, nil
}

// reportFields maps the names of load report values on the wire to fields; an unknown name gives FieldUnknown.
var reportFields = map[string]logic.Field{
	"busy_reqs": logic.FieldInflight, "pending": logic.FieldQueue, "svc_ms": logic.FieldService,
	"served_ps": logic.FieldRate, "x0": logic.FieldFreeSlots,
}

func (s settings) classes() ([]logic.Class, error) {
	n, err := strconv.Atoi(s["Classes.count"])
	if err != nil || n < 1 || n > maxListLen {
		return nil, fmt.Errorf("setting Classes.count: want a number from 1 to %d, have %q", maxListLen,
			s["Classes.count"])
	}
	kinds, stretch := s.list("FamilyInfo.ClassKind"), s.list("FamilyInfo.ClassStretch")
	out := make([]logic.Class, n)
	for i := range out {
		p := "Classes." + strconv.Itoa(i) + "."
		out[i] = logic.Class{
			Name:          s[p+"Name"],
			TargetLatency: s.micros(p+"Aim", 0), Deadline: s.micros(p+"Deadline", 0),
			TargetPerWork: s.float(p+"AimStretch", 0), Value: s.float(p+"Gain", 1),
			LateValue: s.float(p+"LateValue", 0), Window: s.micros(p+"RepeatWindow", 0),
			Streamed: s.flag(p + "Streamed"), WorkerKind: -1,
		}
		switch s[p+"Semantics"] {
		case "read_like":
			out[i].Repeat = logic.RepeatSafe
		case "idempotency_key":
			out[i].Repeat = logic.RepeatKeyed
		}
		switch s[p+"Group"] {
		case "all":
			out[i].Group = logic.GroupAll
		case "zone":
			out[i].Group = logic.GroupZone
		}
		if i < len(kinds) {
			if k, err := strconv.Atoi(kinds[i]); err == nil && k >= 0 {
				out[i].WorkerKind = k
			}
		}
		if i < len(stretch) {
			if v, err := strconv.ParseFloat(stretch[i], 64); err == nil && validNumber(v) {
				out[i].TargetPerWork = v
			}
		}
	}
	return out, nil
}

func (s settings) tenants() []logic.Tenant {
	n, err := strconv.Atoi(s["Tenants.count"])
	if err != nil || n < 1 || n > maxListLen {
		return nil
	}
	out := make([]logic.Tenant, n)
	for i := range out {
		p := "Tenants." + strconv.Itoa(i) + "."
		out[i] = logic.Tenant{Name: s[p+"Name"], Quota: s.float(p+"QuotaPerS", 0)}
	}
	return out
}

func (s settings) list(key string) []string {
	if s[key] == "" {
		return nil
	}
	return strings.Split(s[key], ",")
}

func (s settings) flag(key string) bool { return s[key] == "true" }

func (s settings) float(key string, fallback float64) float64 {
	if v, err := strconv.ParseFloat(s[key], 64); err == nil && validNumber(v) {
		return v
	}
	return fallback
}

func (s settings) micros(key string, fallback int64) int64 {
	return int64(min(s.float(key, float64(fallback)), 1e15))
}

func (s settings) count(key string, fallback int) int {
	if v, err := strconv.Atoi(s[key]); err == nil && v >= 0 && v <= math.MaxInt32 {
		return v
	}
	return fallback
}

// validNumber reports whether a setting is a finite, non-negative number.
func validNumber(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
