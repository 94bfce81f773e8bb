// Package settings reads and validates the settings file, in TOML, which the platform writes for each process of the
// system. Load returns the Settings of a process; the methods of Settings derive addresses and rates from them.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"granitewing/internal/system/tolerance"
)

// PathVariable is the name of the environment variable that holds the path of the settings file.
const PathVariable = "GRANITEWING_CONFIG"

// DefaultPath is the path of the settings file if the variable is not set.
const DefaultPath = "/etc/granitewing/local.toml"

// Settings are the settings of one process.
type Settings struct {
	NodeName        string   // name of the machine
	Role            string   // carrier, keeper or store
	MachineClass    string   // not used by the roles
	Serves          []string // not used by the roles
	IP              string
	Zone            string
	FirstPort       int // first port of the range for calls between roles
	LastPort        int
	Seeds           []string // control addresses, host and port, of some keepers
	Bootstrap       bool     // this process starts a new system if its disk is empty
	CountsForQuorum bool     // not used by the roles
	DataDir         string   // directory for what the role stores
	Listen          Listen
	Limits          Limits
	Tolerance       tolerance.Tolerance // machines, zones and regions that may be lost at the same time
	Bounds          Bounds
	Cloud           Cloud
	Repair          Repair
}

// Repair bounds the resources that the backfill and the drain of disks take from other traffic.
type Repair struct {
	// LinkShare is the maximum share of the machine's link for copies of messages, greater than 0 and at most 1.
	LinkShare float64
}

// defaultLinkShare leaves most of the link to the carriers' messages. Measurements with it are in docs/system.md.
const defaultLinkShare = 0.25

// Listen holds the HTTP addresses, host and port, on which the role serves clients (Front), the readiness probe
// (Readiness) and operators (Control). An empty address is not served.
type Listen struct{ Front, Readiness, Control string }

// Limits are the resource limits of the process on its machine. Zero means that the file gives no limit.
type Limits struct {
	CPUShare  float64 // not used by the roles
	MemoryMB  int     // in MiB
	MaxFiles  int     // open file descriptors; not used by the roles
	DiskBytes int64
	LinkBytes float64 // bytes per second
}

// Bounds are the time limits that the system must keep. Only Ack, Grace and Status are used by the roles.
type Bounds struct {
	Contact     time.Duration
	Ack         time.Duration // for the answer to an operator's call
	Drain       time.Duration
	Grace       time.Duration // for a graceful shutdown
	ConfigApply time.Duration
	Status      time.Duration // for which the state of a completed message can be queried
	Callback    time.Duration
	Early       time.Duration
	Window      time.Duration // over which the rate of a service is counted
	Overage     float64       // factor of a service's rate that may be reached in a window; at least 1
}

// Cloud says where the platform's list of workers is read.
type Cloud struct {
	Address string        // host and port; empty if there is no list
	Rate    float64       // maximum calls per second by all processes together
	MaxLag  time.Duration // how far the list may lag behind the platform
}

// Error is the error for a settings file that cannot be read or has an invalid value.
type Error struct {
	File   string
	Key    string // such as listen.front; empty if the whole file is at fault
	Reason string
}

func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("settings %s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("settings %s: %s: %s", e.File, e.Key, e.Reason)
}

// Path returns the path of this process's settings file: the value of PathVariable, or else DefaultPath.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and validates a settings file. It ignores unknown keys, since the platform may add some. Its errors are of
// type *Error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Reason: err.Error()}
	}
	return Parse(path, data)
}

// Parse parses and validates the contents of a settings file. The path is used in errors, which are of type *Error.
func Parse(path string, data []byte) (*Settings, error) {
	var document fileTOML
	if err := toml.Unmarshal(data, &document); err != nil {
		return nil, &Error{File: path, Reason: err.Error()}
	}
	if err := document.validate(path); err != nil {
		return nil, err
	}
	return document.toSettings(), nil
}

// RepairRate returns the maximum rate, in bytes per second, at which the backfill and the drain of disks may copy
// messages; 0 means no limit.
func (s *Settings) RepairRate() float64 { return s.Limits.LinkBytes * s.Repair.LinkShare }
