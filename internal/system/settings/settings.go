// Package settings reads and checks the settings file that the platform writes for each process of the system.
package settings

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"

	"granitewing/internal/system/tolerance"
)

// PathVariable names the environment variable with the file's path.
const PathVariable = "GRANITEWING_CONFIG"

// DefaultPath is where the file lies when the variable is not set.
const DefaultPath = "/etc/granitewing/local.toml"

// Settings of one process.
type Settings struct {
	NodeName        string
	Role            string
	MachineClass    string
	Serves          []string
	IP              string
	Zone            string
	FirstPort       int
	LastPort        int
	Seeds           []string
	Bootstrap       bool
	CountsForQuorum bool
	DataDir         string
	Listen          Listen
	Limits          Limits
	Tolerance       tolerance.Tolerance // what may be lost at one time
	Bounds          Bounds
	Cloud           Cloud
	Repair          Repair
}

// Repair bounds what the filling and emptying of disks take from the rest.
type Repair struct {
	// LinkShare is the part of the machine's link that copies of messages take at the most.
	LinkShare float64
}

// defaultLinkShare leaves most of the link to the carriers' messages; docs/system.md has what was measured with it.
const defaultLinkShare = 0.25

// Listen holds the addresses that the role serves.
type Listen struct{ Front, Readiness, Control string }

// Limits of the machine.
type Limits struct {
	CPUShare  float64
	MemoryMB  int
	MaxFiles  int
	DiskBytes int64
	LinkBytes float64 // a second; 0 where the file does not tell
}

// Bounds are the times that the rules in force give.
type Bounds struct {
	Contact     time.Duration
	Ack         time.Duration
	Drain       time.Duration
	Grace       time.Duration
	ConfigApply time.Duration
	Status      time.Duration
	Callback    time.Duration
	Early       time.Duration
	Window      time.Duration // over which the rate of a service is counted
	Overage     float64
}

// Cloud is the platform's list of workers.
type Cloud struct {
	Address string
	Rate    float64 // calls a second over all processes
	MaxLag  time.Duration
}

// Error tells what is wrong with a settings file.
type Error struct {
	File   string
	Key    string
	Reason string
}

func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("settings %s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("settings %s: %s: %s", e.File, e.Key, e.Reason)
}

type form struct {
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
	Zones  map[string]string `toml:"zones"` // the region of each
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

// Path is where the settings file of this process lies.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and checks a settings file. Keys that it doesn't know are passed over: the platform may add some.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Reason: err.Error()}
	}
	return Parse(path, data)
}

// Parse checks the bytes of a settings file.
func Parse(path string, data []byte) (*Settings, error) {
	var f form
	if err := toml.Unmarshal(data, &f); err != nil {
		return nil, &Error{File: path, Reason: err.Error()}
	}
	if err := f.check(path); err != nil {
		return nil, err
	}
	return f.settings(), nil
}

func (f *form) check(path string) error {
	fault := func(key, reason string) error { return &Error{File: path, Key: key, Reason: reason} }
	switch {
	case f.NodeName == "":
		return fault("node-name", "is missing")
	case net.ParseIP(f.IP) == nil:
		return fault("ip", strconv.Quote(f.IP)+" is no address")
	case len(f.PortRange) != 2 || f.PortRange[0] <= 0 || f.PortRange[1] < f.PortRange[0]+portsNeeded-1 || f.PortRange[1] > 65535:
		return fault("port-range", fmt.Sprintf("%v is no range of %d ports or more", f.PortRange, portsNeeded))
	case len(f.Seeds) == 0:
		return fault("seeds", "are missing")
	case f.FaultTolerance.Machines < 0:
		return fault("fault-tolerance.machines", "is negative")
	case f.FaultTolerance.Zones < 0:
		return fault("fault-tolerance.zones", "is negative")
	case f.FaultTolerance.Regions < 0:
		return fault("fault-tolerance.regions", "is negative")
	case f.Repair.LinkShare != nil && (*f.Repair.LinkShare <= 0 || *f.Repair.LinkShare > 1):
		return fault("repair.link-share", fmt.Sprintf("%g is not over 0 and at most 1", *f.Repair.LinkShare))
	}
	for i, seed := range f.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return fault(fmt.Sprintf("seeds[%d]", i), err.Error())
		}
	}
	for key, address := range map[string]string{"listen.front": f.Listen.Front, "listen.readiness": f.Listen.Readiness,
		"listen.control": f.Listen.Control} {
		if address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fault(key, err.Error())
		}
	}
	return nil
}

func milliseconds(value, otherwise float64) time.Duration {
	if value <= 0 {
		value = otherwise
	}
	return time.Duration(value * float64(time.Millisecond))
}

func (f *form) settings() *Settings {
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

// Ports of the range that the roles use between themselves. They are the same on all machines.
const (
	keeperPort = iota
	storePort
	carrierPort
	portsNeeded
)

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// KeeperAddress is where a keeper on a machine serves its peers.
func (s *Settings) KeeperAddress(ip string) string { return address(ip, s.FirstPort+keeperPort) }

// StoreAddress is where this machine's store serves.
func (s *Settings) StoreAddress() string { return address(s.IP, s.FirstPort+storePort) }

// CarrierAddress is where this machine's carrier serves other carriers.
func (s *Settings) CarrierAddress() string { return address(s.IP, s.FirstPort+carrierPort) }

// SeedKeepers gives the peer addresses of the keepers that the seeds name.
func (s *Settings) SeedKeepers() []string {
	keepers := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // checked when it was read
		}
		keepers = append(keepers, s.KeeperAddress(host))
	}
	return keepers
}

// RepairRate is how many bytes a second the filling and emptying of disks may move; 0 is without a bound.
func (s *Settings) RepairRate() float64 { return s.Limits.LinkBytes * s.Repair.LinkShare }

// ControlAddress turns a keeper's peer address into the one that operators call; the port is the same on all machines.
func (s *Settings) ControlAddress(keeper string) string {
	host, _, err := net.SplitHostPort(keeper)
	if err != nil {
		return ""
	}
	for _, known := range append([]string{s.Listen.Control}, s.Seeds...) {
		if _, port, err := net.SplitHostPort(known); err == nil {
			return net.JoinHostPort(host, port)
		}
	}
	return ""
}
