package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"granitewing/internal/system/settings"
)

// Shape of the machines.
const (
	portsOfRange = 16
	graceSeconds = 5
	restartPause = 200 * time.Millisecond
	stopWithin   = 8 * time.Second
	firstPort    = 21000
	lastPort     = 31000
)

// machine is one of the system's machines: an address of its own on loopback, and its roles' processes.
type machine struct {
	rig   *rig
	name  string
	ip    string
	zone  string
	roles []string

	mutex     sync.Mutex
	processes map[string]*process // by role, those that run
	ended     bool                // none is started any more
}

// process is one running process of the program.
type process struct {
	command *exec.Cmd
	gone    chan struct{}
}

var settingsTemplate = template.Must(template.New("settings").Parse(`node-name = "{{.Name}}"
role = "{{.Role}}"
ip = "{{.IP}}"
zone = "{{.Zone}}"
port-range = [{{.First}}, {{.Last}}]
seeds = [{{.Seeds}}]
bootstrap = {{.Bootstrap}}
data-dir = "{{.Data}}"
[listen]
{{if eq .Role "carrier"}}front = "{{.IP}}:{{.Front}}"
readiness = "{{.IP}}:{{.Ready}}"
{{end}}{{if eq .Role "keeper"}}control = "{{.IP}}:{{.Control}}"
{{end}}[limits]
memory-mb = 284
max-fds = 8000
disk-mb = 200
[bounds]
grace-s = {{.Grace}}
[fault-tolerance]
machines = 1
[cloud]
address = "{{.Cloud}}"
rate-per-s = 50
`))

type settingsForm struct {
	Name, Role, IP, Zone, Seeds, Data, Cloud  string
	First, Last, Front, Ready, Control, Grace int
	Bootstrap                                 bool
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, m.rig.ports+portsOfRange) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.ip, m.rig.ports+portsOfRange+1) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, m.rig.ports+portsOfRange+2) }

func (m *machine) writeSettings(role string, bootstrap bool) (string, error) {
	var seeds []string
	for _, seed := range m.rig.storage[:min(3, len(m.rig.storage))] {
		seeds = append(seeds, fmt.Sprintf("%q", seed.control()))
	}
	folder := filepath.Join(m.rig.folder, m.name, role)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	ports := m.rig.ports
	form := settingsForm{Name: m.name, Role: role, IP: m.ip, Zone: m.zone, Seeds: strings.Join(seeds, ", "), Data: folder, Cloud: m.rig.cloud,
		First: ports, Last: ports + portsOfRange - 1, Front: ports + portsOfRange, Ready: ports + portsOfRange + 1,
		Control: ports + portsOfRange + 2, Grace: graceSeconds, Bootstrap: bootstrap}
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, &form); err != nil {
		return "", err
	}
	path := filepath.Join(m.rig.folder, m.name, role+".toml")
	return path, os.WriteFile(path, text.Bytes(), 0o600)
}

// start starts a role's process. One that ends is started again after a pause, as the platform does.
func (m *machine) start(role string, bootstrap bool) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.ended || m.processes[role] != nil {
		return nil
	}
	path, err := m.writeSettings(role, bootstrap)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.rig.folder, m.name, role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(m.rig.binary, role)
	command.Env = append(os.Environ(), settings.PathVariable+"="+path)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		output.Close()
		return err
	}
	p := &process{command: command, gone: make(chan struct{})}
	m.processes[role] = p
	m.rig.running.Add(1)
	go m.watch(role, p, output)
	return nil
}

func (m *machine) watch(role string, p *process, output *os.File) {
	defer m.rig.running.Done()
	_ = p.command.Wait() // how it ended is in its log
	output.Close()
	m.mutex.Lock()
	delete(m.processes, role)
	m.mutex.Unlock()
	close(p.gone)
	time.Sleep(restartPause)
	if err := m.start(role, false); err != nil {
		m.rig.failure(err)
	}
}

// signal sends a signal to a role's process, where it runs.
func (m *machine) signal(role string, signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if p := m.processes[role]; p != nil {
		_ = p.command.Process.Signal(signal) // it may have ended
	}
}

// isReady asks a carrier whether it is ready.
func (m *machine) isReady() bool {
	call := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := call.Get("http://" + m.ready() + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends the machine's processes for good.
func (m *machine) stop() {
	m.mutex.Lock()
	m.ended = true
	var left []*process
	for _, p := range m.processes {
		left = append(left, p)
	}
	m.mutex.Unlock()
	for _, p := range left {
		_ = p.command.Process.Kill() // it may have ended
		<-p.gone
	}
}

// rig is the whole system, with stand-ins for all that is around it.
type rig struct {
	folder  string
	binary  string
	ports   int
	cloud   string
	edges   []*machine
	storage []*machine
	running sync.WaitGroup

	mutex    sync.Mutex
	failures []string
}

func (r *rig) failure(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = append(r.failures, err.Error())
}

// lay gives the machines their names and addresses, and finds ports that are free at all of them. net is the second number of their
// addresses, which sets runs beside each other apart.
func (r *rig) lay(net, edges, storage int) error {
	add := func(kind string, number int, roles ...string) *machine {
		return &machine{rig: r, name: fmt.Sprintf("%s-%d", kind, number+1), zone: fmt.Sprintf("zone-%c", 'a'+number%3),
			ip: fmt.Sprintf("127.%d.%d.%d", net, map[string]int{"edge": 1, "storage": 2}[kind]+number/200*2, 1+number%200), roles: roles,
			processes: map[string]*process{}}
	}
	for i := range edges {
		r.edges = append(r.edges, add("edge", i, "carrier"))
	}
	for i := range storage {
		r.storage = append(r.storage, add("storage", i, "keeper", "store"))
	}
	for from := firstPort; from < lastPort; from += portsOfRange + 4 {
		if r.free(from) {
			r.ports = from
			return nil
		}
	}
	return fmt.Errorf("no range of ports is free at %d machines", edges+storage)
}

func (r *rig) machines() []*machine { return append(append([]*machine(nil), r.storage...), r.edges...) }

func (r *rig) free(from int) bool {
	for _, m := range r.machines() {
		for port := from; port < from+portsOfRange+3; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func (r *rig) start() error {
	for _, m := range r.machines() {
		for _, role := range m.roles {
			if err := m.start(role, true); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *rig) stop() {
	var stopping sync.WaitGroup
	for _, m := range r.machines() {
		stopping.Go(m.stop)
	}
	stopping.Wait()
	r.running.Wait()
}
