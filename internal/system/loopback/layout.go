// Package loopback lays out the system's machines on this machine's loopback addresses: ports, settings files and a list of workers for
// runs of the real program.
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

// PortsOfRange is the number of ports of the range that roles use among each other.
const PortsOfRange = 16

// PortsOfMachine is the number of ports that a machine needs, those that are called from outside among them.
const PortsOfMachine = PortsOfRange + 3

// Machine is one machine: an address of its own.
type Machine struct {
	Name string
	IP   string
	Zone string
}

// Layout is what all settings files of a system share.
type Layout struct {
	Folder    string // of settings files, data and logs, one folder a machine
	FirstPort int    // the same on all machines
	Cloud     string // address of the platform's list of workers
	Seeds     []string
	MemoryMB  int
	DiskMB    int
	Files     int // descriptors of a process
	GraceS    int // of a stop, in seconds
}

// Front is where a carrier of a machine takes clients.
func (l *Layout) Front(m *Machine) string { return l.at(m, PortsOfRange) }

// Ready is where a carrier tells whether it is ready.
func (l *Layout) Ready(m *Machine) string { return l.at(m, PortsOfRange+1) }

// Control is where a keeper takes operators.
func (l *Layout) Control(m *Machine) string { return l.at(m, PortsOfRange+2) }

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

type settingsForm struct {
	Layout      *Layout
	Machine     *Machine
	Role        string
	LastPort    int
	Seeds, Data string
	Bootstrap   bool
}

// WriteSettings writes the settings file of a role on a machine, with its data folder, and gives the file's path.
func (l *Layout) WriteSettings(m *Machine, role string, bootstrap bool) (string, error) {
	quoted := make([]string, 0, len(l.Seeds))
	for _, seed := range l.Seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	data := filepath.Join(l.Folder, m.Name, role)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return "", err
	}
	form := settingsForm{Layout: l, Machine: m, Role: role, LastPort: l.FirstPort + PortsOfRange - 1, Seeds: strings.Join(quoted, ", "),
		Data: data, Bootstrap: bootstrap}
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, &form); err != nil {
		return "", err
	}
	path := filepath.Join(l.Folder, m.Name, role+".toml")
	return path, os.WriteFile(path, text.Bytes(), 0o600)
}

// LogPath is where a role's output goes.
func (l *Layout) LogPath(m *Machine, role string) string {
	return filepath.Join(l.Folder, m.Name, role+".log")
}

// Worker is one worker of the platform's list.
type Worker struct {
	ID       string `json:"id"`
	Backend  string `json:"backend"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"resource-version"`
	Capacity int    `json:"capacity"`
	Phase    string `json:"phase"`
}

// ListOfWorkers is the platform's answer that lists workers, all on one page.
func ListOfWorkers(workers []Worker) ([]byte, error) {
	return json.Marshal(struct {
		Instances []Worker `json:"instances"`
		Next      *string  `json:"next-page-token"`
	}{Instances: workers})
}
