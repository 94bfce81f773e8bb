// Package settings reads and checks the settings file that the platform writes for each process of the system.
package settings

import (
	"fmt"
	"os"
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

// RepairRate is how many bytes a second the filling and emptying of disks may move; 0 is without a bound.
func (s *Settings) RepairRate() float64 { return s.Limits.LinkBytes * s.Repair.LinkShare }
