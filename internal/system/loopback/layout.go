// Package loopback prepares runs of the real program as a system of several machines on one host, where each Machine has
// its own loopback address. FreePorts finds a port range, a Layout derives addresses and settings files from it, and
// EncodeWorkerList encodes the platform's list of workers.
package loopback

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"
)

// InternalPorts is the number of ports in the range for connections between roles.
const InternalPorts = 16

// PortsPerMachine is the number of consecutive ports that a machine needs: InternalPorts and the three ports for
// clients, readiness checks and operators.
const PortsPerMachine = InternalPorts + 3

// Machine is a simulated machine with its own loopback address.
type Machine struct {
	Name string
	IP   string
	Zone string
}

// Layout holds what the settings files of all machines of a system share.
type Layout struct {
	Folder    string // holds settings files, data and logs, in one folder per machine
	FirstPort int    // first port of each machine
	Cloud     string // host and port of the platform's discovery API
	Seeds     []string
	MemoryMB  int
	DiskMB    int
	Files     int // limit on file descriptors per process
	GraceS    int // grace period of a graceful shutdown, in seconds
}

// Front returns the address where a machine's carrier serves clients.
func (l *Layout) Front(m *Machine) string { return l.at(m, InternalPorts) }

// Ready returns the address of a carrier's readiness check.
func (l *Layout) Ready(m *Machine) string { return l.at(m, InternalPorts+1) }

// Control returns the address where a machine's keeper serves operators.
func (l *Layout) Control(m *Machine) string { return l.at(m, InternalPorts+2) }

func (l *Layout) at(m *Machine, offset int) string {
	return fmt.Sprintf("%s:%d", m.IP, l.FirstPort+offset)
}

var settingsTemplate = template.Must(template.New("settings").Parse(`node-name = "{{.Machine.Name}}"
role = "{{.Role}}"
ip = "{{.Machine.IP}}"
zone = "{{.Machine.Zone}}"
port-range = [{{.Layout.FirstPort}}, {{.LastPort}}]
seeds = [{{.Seeds}}]
bootstrap = {{.Bootstrap}}
data-dir = "{{.Data}}"

[listen]
{{if eq .Role "carrier"}}front = "{{.Layout.Front .Machine}}"
readiness = "{{.Layout.Ready .Machine}}"
{{end}}{{if eq .Role "keeper"}}control = "{{.Layout.Control .Machine}}"
{{end}}
[limits]
memory-mb = {{.Layout.MemoryMB}}
max-fds = {{.Layout.Files}}
disk-mb = {{.Layout.DiskMB}}

[bounds]
grace-s = {{.Layout.GraceS}}

[fault-tolerance]
machines = 1

[cloud]
address = "{{.Layout.Cloud}}"
rate-per-s = 50
`))

// settingsData is the input of settingsTemplate.
type settingsData struct {
	Layout      *Layout
	Machine     *Machine
	Role        string
	LastPort    int
	Seeds, Data string
	Bootstrap   bool
}

// WriteSettings writes the settings file of a role on a machine, creates the role's data folder and returns the file's path.
// bootstrap is the setting that allows a role on an empty disk to start a new system.
func (l *Layout) WriteSettings(m *Machine, role string, bootstrap bool) (string, error) {
	quoted := make([]string, 0, len(l.Seeds))
	for _, seed := range l.Seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	data := filepath.Join(l.Folder, m.Name, role)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return "", err
	}
	form := settingsData{Layout: l, Machine: m, Role: role, LastPort: l.FirstPort + InternalPorts - 1, Seeds: strings.Join(quoted, ", "),
		Data: data, Bootstrap: bootstrap}
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, &form); err != nil {
		return "", err
	}
	path := filepath.Join(l.Folder, m.Name, role+".toml")
	return path, os.WriteFile(path, text.Bytes(), 0o600)
}

// LogPath returns the path of the file for a role's output. The folder exists after WriteSettings.
func (l *Layout) LogPath(m *Machine, role string) string {
	return filepath.Join(l.Folder, m.Name, role+".log")
}

// Worker is an entry of the platform's list of workers.
type Worker struct {
	ID       string `json:"id"`
	Backend  string `json:"backend"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"resource-version"`
	Capacity int    `json:"capacity"`
	Phase    string `json:"phase"`
}

// EncodeWorkerList encodes the response of the platform's discovery API with all workers on one page.
func EncodeWorkerList(workers []Worker) ([]byte, error) {
	return json.Marshal(struct {
		Instances []Worker `json:"instances"`
		Next      *string  `json:"next-page-token"`
	}{Instances: workers})
}
