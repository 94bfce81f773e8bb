package demo

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"

	"granitewing/internal/system/settings"
)

// Shape of the system that is run.
const (
	machinesWithDisk = 3
	edgeMachines     = 2
	portsOfRange     = 16
)

// machine is one of the system's machines: an address of its own on loopback, and the processes on it.
type machine struct {
	name      string
	ip        string
	zone      string
	processes []*process
}

// process is one running role.
type process struct {
	role    string
	command *exec.Cmd
	ended   chan struct{}
}

var settingsTemplate = template.Must(template.New("settings").Parse(`node-name = "{{.Name}}"
role = "{{.Role}}"
ip = "{{.IP}}"
zone = "{{.Zone}}"
port-range = [{{.First}}, {{.Last}}]
seeds = [{{.Seeds}}]
bootstrap = true
data-dir = "{{.Data}}"

[listen]
{{if eq .Role "carrier"}}front = "{{.IP}}:{{.Front}}"
readiness = "{{.IP}}:{{.Ready}}"
{{end}}{{if eq .Role "keeper"}}control = "{{.IP}}:{{.Control}}"
{{end}}
[limits]
memory-mb = 256
max-fds = 1024
disk-mb = 64

[fault-tolerance]
machines = 1

[cloud]
address = "{{.Cloud}}"
rate-per-s = 20
`))

// layout is what all settings files share.
type layout struct {
	folder string
	ports  int // first port of the range; the same on all machines
	cloud  string
	seeds  []string
}

type settingsForm struct {
	Name, Role, IP, Zone, Seeds, Data, Cloud string
	First, Last, Front, Ready, Control       int
}

// Ports behind the range.
func (l *layout) front() int   { return l.ports + portsOfRange }
func (l *layout) ready() int   { return l.ports + portsOfRange + 1 }
func (l *layout) control() int { return l.ports + portsOfRange + 2 }

func (l *layout) settings(m *machine, role string) ([]byte, error) {
	quoted := make([]string, 0, len(l.seeds))
	for _, seed := range l.seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	form := settingsForm{Name: m.name, Role: role, IP: m.ip, Zone: m.zone, Seeds: strings.Join(quoted, ", "),
		Data: filepath.Join(l.folder, m.name, role), Cloud: l.cloud, First: l.ports, Last: l.ports + portsOfRange - 1,
		Front: l.front(), Ready: l.ready(), Control: l.control()}
	var text bytes.Buffer
	err := settingsTemplate.Execute(&text, &form)
	return text.Bytes(), err
}

// start runs a role on a machine, with its log in the folder.
func (l *layout) start(binary string, m *machine, role string) error {
	text, err := l.settings(m, role)
	if err != nil {
		return err
	}
	folder := filepath.Join(l.folder, m.name, role)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	path := filepath.Join(l.folder, m.name, role+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(l.folder, m.name, role+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(binary, role)
	command.Env = append(os.Environ(), settings.PathVariable+"="+path)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		output.Close()
		return err
	}
	p := &process{role: role, command: command, ended: make(chan struct{})}
	go func() {
		command.Wait() //nolint:errcheck // how it ended is in its log
		output.Close()
		close(p.ended)
	}()
	m.processes = append(m.processes, p)
	return nil
}

const stopWithin = 5 * time.Second

// stop ends a machine's processes in order, or by force after a while.
func (m *machine) stop() {
	for _, p := range m.processes {
		p.command.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	}
	for _, p := range m.processes {
		select {
		case <-p.ended:
		case <-time.After(stopWithin):
			p.command.Process.Kill() //nolint:errcheck // it may have ended
			<-p.ended
		}
	}
	m.processes = nil
}

// freePorts finds a range of ports that is free at all of some addresses now. The search begins anywhere, since others may
// look for ports at the same time.
func freePorts(addresses []string, count int) (int, error) {
	const first, ranges, step = 21000, 156, 64
	begin := rand.IntN(ranges)
	for turn := range ranges {
		from := first + (begin+turn)%ranges*step
		if portsFree(addresses, from, count) {
			return from, nil
		}
	}
	return 0, &NoPortsError{Addresses: addresses}
}

func portsFree(addresses []string, from, count int) bool {
	for _, ip := range addresses {
		for port := from; port < from+count; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// NoPortsError tells that no range of ports is free.
type NoPortsError struct{ Addresses []string }

func (e *NoPortsError) Error() string {
	return "no range of ports is free at " + strings.Join(e.Addresses, ", ")
}
