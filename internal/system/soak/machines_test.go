package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"granitewing/internal/system/loopback"
	"granitewing/internal/system/settings"
)

// Shape of the machines.
const (
	memoryMB     = 284
	diskMB       = 200
	files        = 8000
	graceS       = 5
	seedsMost    = 3
	addressesOf  = 200 // of one kind in one network of addresses
	restartPause = 200 * time.Millisecond
)

// machine is one of the system's machines, and its roles' processes.
type machine struct {
	loopback.Machine
	rig   *rig
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

// start starts a role's process. One that ends is started again after a pause, as the platform does.
func (m *machine) start(role string, bootstrap bool) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.ended || m.processes[role] != nil {
		return nil
	}
	path, err := m.rig.layout.WriteSettings(&m.Machine, role, bootstrap)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(m.rig.layout.LogPath(&m.Machine, role), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	response, err := call.Get("http://" + m.rig.layout.Ready(&m.Machine) + "/-/ready")
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
	binary  string
	layout  loopback.Layout
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
	for i := range edges {
		r.edges = append(r.edges, r.machine("edge", net, 1, i, "carrier"))
	}
	for i := range storage {
		r.storage = append(r.storage, r.machine("storage", net, 2, i, "keeper", "store"))
	}
	var addresses []string
	for _, m := range r.machines() {
		addresses = append(addresses, m.IP)
	}
	ports, err := loopback.FreePorts(addresses)
	if err != nil {
		return err
	}
	r.layout.FirstPort = ports
	for _, m := range r.storage[:min(seedsMost, len(r.storage))] {
		r.layout.Seeds = append(r.layout.Seeds, r.layout.Control(&m.Machine))
	}
	return nil
}

func (r *rig) machine(kind string, net, subnet, number int, roles ...string) *machine {
	ip := fmt.Sprintf("127.%d.%d.%d", net, subnet+2*(number/addressesOf), 1+number%addressesOf)
	return &machine{Machine: loopback.Machine{Name: fmt.Sprintf("%s-%d", kind, number+1), IP: ip, Zone: fmt.Sprintf("zone-%c", 'a'+number%3)},
		rig: r, roles: roles, processes: map[string]*process{}}
}

func (r *rig) machines() []*machine { return append(append([]*machine(nil), r.storage...), r.edges...) }

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
