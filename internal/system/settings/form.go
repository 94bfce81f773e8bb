package settings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"granitewing/internal/system/tolerance"
)

// fileTOML is the TOML form of the settings file. Missing keys are zero.
type fileTOML struct {
	NodeName        string   `toml:"node-name"`
	Role            string   `toml:"role"`
	MachineClass    string   `toml:"machine-class"`
	Serves          []string `toml:"serves"`
	IP              string   `toml:"ip"`
	Zone            string   `toml:"zone"`
	PortRange       []int    `toml:"port-range"`
	Seeds           []string `toml:"seeds"`
	Bootstrap       bool     `toml:"bootstrap"`
	CountsForQuorum bool     `toml:"counts-for-quorum"`
	DataDir         string   `toml:"data-dir"`
	Listen          struct {
		Front     string `toml:"front"`
		Readiness string `toml:"readiness"`
		Control   string `toml:"control"`
	} `toml:"listen"`
	Limits struct {
		CPUShare float64 `toml:"cpu-share"`
		MemoryMB float64 `toml:"memory-mb"`
		MaxFiles int     `toml:"max-fds"`
		DiskMB   float64 `toml:"disk-mb"`
		LinkMbps float64 `toml:"bandwidth-mbps"`
	} `toml:"limits"`
	FaultTolerance struct {
		Machines int `toml:"machines"`
		Zones    int `toml:"zones"`
		Regions  int `toml:"regions"`
	} `toml:"fault-tolerance"`
	Zones  map[string]string `toml:"zones"` // region by zone
	Bounds struct {
		Contact     float64 `toml:"contact-ms"`
		Ack         float64 `toml:"ack-ms"`
		Drain       float64 `toml:"drain-ms"`
		Grace       float64 `toml:"grace-s"`
		ConfigApply float64 `toml:"config-apply-ms"`
		Status      float64 `toml:"status-s"`
		Callback    float64 `toml:"callback-s"`
		Early       float64 `toml:"early-ms"`
		Window      float64 `toml:"ceiling-window-s"`
		Overage     float64 `toml:"ceiling-overage"`
	} `toml:"bounds"`
	Cloud struct {
		Address string  `toml:"address"`
		Rate    float64 `toml:"rate-per-s"`
		MaxLag  float64 `toml:"max-lag-ms"`
	} `toml:"cloud"`
	Repair struct {
		LinkShare *float64 `toml:"link-share"`
	} `toml:"repair"`
}

// validate returns an *Error for the first value that cannot be used.
func (f *fileTOML) validate(path string) error {
	invalid := func(key, reason string) error { return &Error{File: path, Key: key, Reason: reason} }
	switch {
	case f.NodeName == "":
		return invalid("node-name", "is missing")
	case net.ParseIP(f.IP) == nil:
		return invalid("ip", strconv.Quote(f.IP)+" is not an IP address")
	case len(f.PortRange) != 2 || f.PortRange[0] <= 0 || f.PortRange[1] < f.PortRange[0]+requiredPorts-1 || f.PortRange[1] > 65535:
		return invalid("port-range", fmt.Sprintf("%v is not a range of at least %d ports", f.PortRange, requiredPorts))
	case len(f.Seeds) == 0:
		return invalid("seeds", "are missing")
	case f.FaultTolerance.Machines < 0:
		return invalid("fault-tolerance.machines", "is negative")
	case f.FaultTolerance.Zones < 0:
		return invalid("fault-tolerance.zones", "is negative")
	case f.FaultTolerance.Regions < 0:
		return invalid("fault-tolerance.regions", "is negative")
	case f.Repair.LinkShare != nil && (*f.Repair.LinkShare <= 0 || *f.Repair.LinkShare > 1):
		return invalid("repair.link-share", fmt.Sprintf("%g is not greater than 0 and at most 1", *f.Repair.LinkShare))
	}
	for i, seed := range f.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return invalid(fmt.Sprintf("seeds[%d]", i), err.Error())
		}
	}
	for key, address := range map[string]string{"listen.front": f.Listen.Front, "listen.readiness": f.Listen.Readiness,
		"listen.control": f.Listen.Control} {
		if address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return invalid(key, err.Error())
		}
	}
	return nil
}

// milliseconds converts a value in milliseconds, or fallback if the value is missing, zero or negative.
func milliseconds(value, fallback float64) time.Duration {
	if value <= 0 {
		value = fallback
	}
	return time.Duration(value * float64(time.Millisecond))
}

// toSettings returns the settings, with defaults for missing bounds.
func (f *fileTOML) toSettings() *Settings {
	overage := f.Bounds.Overage
	if overage < 1 {
		overage = 1
	}
	linkShare := defaultLinkShare
	if f.Repair.LinkShare != nil {
		linkShare = *f.Repair.LinkShare
	}
	const bytesPerMegabit = 1e6 / 8
	return &Settings{
		NodeName: f.NodeName, Role: f.Role, MachineClass: f.MachineClass, Serves: f.Serves, IP: f.IP, Zone: f.Zone,
		FirstPort: f.PortRange[0], LastPort: f.PortRange[1], Seeds: f.Seeds, Bootstrap: f.Bootstrap,
		CountsForQuorum: f.CountsForQuorum, DataDir: f.DataDir,
		Listen: Listen{Front: f.Listen.Front, Readiness: f.Listen.Readiness, Control: f.Listen.Control},
		Limits: Limits{CPUShare: f.Limits.CPUShare, MemoryMB: int(f.Limits.MemoryMB), MaxFiles: f.Limits.MaxFiles,
			DiskBytes: int64(f.Limits.DiskMB * (1 << 20)), LinkBytes: f.Limits.LinkMbps * bytesPerMegabit},
		Tolerance: tolerance.Tolerance{Machines: f.FaultTolerance.Machines, Zones: f.FaultTolerance.Zones,
			Regions: f.FaultTolerance.Regions, RegionOf: f.Zones},
		Bounds: Bounds{
			Contact: milliseconds(f.Bounds.Contact, 4000), Ack: milliseconds(f.Bounds.Ack, 5000),
			Drain: milliseconds(f.Bounds.Drain, 3000), Grace: milliseconds(1000*f.Bounds.Grace, 6000),
			ConfigApply: milliseconds(f.Bounds.ConfigApply, 3000), Status: milliseconds(1000*f.Bounds.Status, 120000),
			Callback: milliseconds(1000*f.Bounds.Callback, 5000), Early: milliseconds(f.Bounds.Early, 100),
			Window: milliseconds(1000*f.Bounds.Window, 5000), Overage: overage,
		},
		Cloud:  Cloud{Address: f.Cloud.Address, Rate: f.Cloud.Rate, MaxLag: milliseconds(f.Cloud.MaxLag, 800)},
		Repair: Repair{LinkShare: linkShare},
	}
}
