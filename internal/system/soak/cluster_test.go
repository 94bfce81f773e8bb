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

// Size and limits of the machines.
const (
	memoryMB           = 284
	diskMB             = 200
	maxFiles           = 8000
	graceS             = 5
	maxSeeds           = 3
	addressesPerSubnet = 200 // machines of one kind per 127.x.y.0/24 network
	restartDelay       = 200 * time.Millisecond
)

// machine is one of the system's machines with its roles' processes.
type machine struct {
	loopback.Machine
	cluster *cluster
	roles   []string

	mutex     sync.Mutex
	processes map[string]*process // running ones, by role
	stopped   bool                // no process is started any more
}

// process is one running process of the program.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

// start starts a role's process unless it runs. A process that exits is restarted after restartDelay, as the platform
// would do.
func (m *machine) start(role string, bootstrap bool) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stopped || m.processes[role] != nil {
		return nil
	}
	path, err := m.cluster.layout.WriteSettings(&m.Machine, role, bootstrap)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(m.cluster.layout.LogPath(&m.Machine, role), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(m.cluster.binary, role)
	command.Env = append(os.Environ(), settings.PathVariable+"="+path)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		output.Close()
		return err
	}
	p := &process{command: command, exited: make(chan struct{})}
	m.processes[role] = p
	m.cluster.running.Add(1)
	go m.watch(role, p, output)
	return nil
}

// watch waits for a process to exit and restarts its role.
func (m *machine) watch(role string, p *process, output *os.File) {
	defer m.cluster.running.Done()
	_ = p.command.Wait() // the reason of its exit is in its log
	output.Close()
	m.mutex.Lock()
	delete(m.processes, role)
	m.mutex.Unlock()
	close(p.exited)
	time.Sleep(restartDelay)
	if err := m.start(role, false); err != nil {
		m.cluster.addFailure(err)
	}
}

// signal sends a signal to a role's process if it runs.
func (m *machine) signal(role string, signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if p := m.processes[role]; p != nil {
		_ = p.command.Process.Signal(signal) // the process may have exited
	}
}

// isReady reports whether the machine's carrier passes its readiness check.
func (m *machine) isReady() bool {
	httpClient := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := httpClient.Get("http://" + m.cluster.layout.Ready(&m.Machine) + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop kills the machine's processes and waits for them; none is restarted.
func (m *machine) stop() {
	m.mutex.Lock()
	m.stopped = true
	var left []*process
	for _, p := range m.processes {
		left = append(left, p)
	}
	m.mutex.Unlock()
	for _, p := range left {
		_ = p.command.Process.Kill() // the process may have exited
		<-p.exited
	}
}

// cluster is the system under test: all its machines and their common layout.
type cluster struct {
	binary  string
	layout  loopback.Layout
	edges   []*machine
	storage []*machine
	running sync.WaitGroup

	mutex    sync.Mutex
	failures []string
}

// addFailure records an error of the test itself, such as a process that cannot be started.
func (c *cluster) addFailure(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failures = append(c.failures, err.Error())
}

// layOut creates the machines with their names and addresses, and finds ports that are free at all of them. net is the
// second byte of their addresses; parallel runs use different ones.
func (c *cluster) layOut(net, edges, storage int) error {
	for i := range edges {
		c.edges = append(c.edges, c.newMachine("edge", net, 1, i, "carrier"))
	}
	for i := range storage {
		c.storage = append(c.storage, c.newMachine("storage", net, 2, i, "keeper", "store"))
	}
	var addresses []string
	for _, m := range c.machines() {
		addresses = append(addresses, m.IP)
	}
	ports, err := loopback.FreePorts(addresses)
	if err != nil {
		return err
	}
	c.layout.FirstPort = ports
	for _, m := range c.storage[:min(maxSeeds, len(c.storage))] {
		c.layout.Seeds = append(c.layout.Seeds, c.layout.Control(&m.Machine))
	}
	return nil
}

// newMachine returns a machine of a kind, which is "edge" or "storage".
func (c *cluster) newMachine(kind string, net, subnet, number int, roles ...string) *machine {
	ip := fmt.Sprintf("127.%d.%d.%d", net, subnet+2*(number/addressesPerSubnet), 1+number%addressesPerSubnet)
	return &machine{Machine: loopback.Machine{Name: fmt.Sprintf("%s-%d", kind, number+1), IP: ip, Zone: fmt.Sprintf("zone-%c", 'a'+number%3)},
		cluster: c, roles: roles, processes: map[string]*process{}}
}

func (c *cluster) machines() []*machine {
	return append(append([]*machine(nil), c.storage...), c.edges...)
}

func (c *cluster) start() error {
	for _, m := range c.machines() {
		for _, role := range m.roles {
			if err := m.start(role, true); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) stop() {
	var stopping sync.WaitGroup
	for _, m := range c.machines() {
		stopping.Go(m.stop)
	}
	stopping.Wait()
	c.running.Wait()
}
