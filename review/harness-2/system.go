//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A machine has a loopback address of its own. It runs a carrier, or a keeper and a store.
type machine struct {
	name, class, zone, ip string
	processes             []*process
}

// process is one role of a machine, as the platform sees it: started again a short time after each end.
type process struct {
	system  *system
	machine *machine
	role    string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	wanted  bool // start it again when it ends
	// ownEnds counts the ends that no signal of the test asked for; ends over the memory limit are among them.
	ownEnds, memoryEnds int
	peak                int64 // largest resident size, in bytes
}

// Limits of the machines, from the pages' site files and settings example.
const (
	edgeMemoryMB    = 284
	storageMemoryMB = 304
	diskMB          = 400
	restartDelay    = 500 * time.Millisecond
)

type system struct {
	record    *record
	folder    string
	binary    string
	firstPort int
	cloud     string
	machines  []*machine
	stopping  chan struct{}
	stopOnce  sync.Once
	watchers  sync.WaitGroup
}

const internalPorts = 16

func (s *system) front(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, s.firstPort+internalPorts)
}
func (s *system) readiness(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, s.firstPort+internalPorts+1)
}
func (s *system) control(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, s.firstPort+internalPorts+2)
}

func (s *system) class(name string) []*machine {
	var found []*machine
	for _, m := range s.machines {
		if m.class == name {
			found = append(found, m)
		}
	}
	return found
}

// newSystem lays out storage and edge machines on free ports, spread over the zones; nothing is started.
func newSystem(r *record, binary, folder, cloud string, zones []string, storage, edges int) (*system, error) {
	s := &system{record: r, folder: folder, binary: binary, cloud: cloud, stopping: make(chan struct{})}
	block := 20 + rand.IntN(200)
	for i := range storage + edges {
		m := &machine{class: "storage", zone: zones[i%len(zones)], ip: fmt.Sprintf("127.0.%d.%d", block, 11+i)}
		number := i + 1
		if i >= storage {
			m.class, number = "edge", i-storage+1
			m.zone = zones[(i-storage)%len(zones)]
		}
		m.name = fmt.Sprintf("%s-%s-%d", m.class, m.zone, number)
		s.machines = append(s.machines, m)
	}
	for range 200 {
		port := 20000 + 32*rand.IntN(900)
		if s.portsFree(port) {
			s.firstPort = port
			return s, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (s *system) portsFree(first int) bool {
	for _, m := range s.machines {
		for port := first; port < first+internalPorts+3; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// settings returns the settings file of a role, with the figures of the site rbcs-bouees.
func (s *system) settings(m *machine, role string, bootstrap bool) string {
	var seeds []string
	for _, other := range s.class("storage")[:3] {
		seeds = append(seeds, strconv.Quote(s.control(other)))
	}
	var text strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&text, format+"\n", values...) }
	serves := map[string]string{"carrier": "edge", "keeper": "control_plane", "store": "storage"}[role]
	line("node-name = %q\nrole = %q\nmachine-class = %q\nserves = [%q]", m.name, role, m.class, serves)
	line("ip = %q\nzone = %q\nregion = \"dakar\"", m.ip, m.zone)
	line("port-range = [%d,%d]\nseeds = [%s]", s.firstPort, s.firstPort+internalPorts-1, strings.Join(seeds, ","))
	line("bootstrap = %t\ncounts-for-quorum = %t", bootstrap, m.class == "storage")
	line("discovery = \"cloud\"\nentry = \"vip\"\nheartbeat-ms = 1200")
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"ingest\",\"recover\"]")
	if m.class == "storage" {
		line("data-dir = %q", s.dataFolder(m, role))
	}
	line("[zones]\nhann = \"dakar\"\nyoff = \"dakar\"\nrufisque = \"dakar\"\n[listen]")
	switch role {
	case "carrier":
		line("front = %q\nreadiness = %q", s.front(m), s.readiness(m))
	case "keeper":
		line("control = %q", s.control(m))
	}
	if m.class == "edge" {
		line("[limits]\ncpu-share = 0.4\ncpus = 1\nmemory-mb = %d\nmax-fds = 4100\nbandwidth-mbps = 1000.0\ndisk-mb = 0", edgeMemoryMB)
	} else {
		line("[limits]\ncpu-share = 0.8\ncpus = 1\nmemory-mb = %d\nmax-fds = 8200\nbandwidth-mbps = 600.0\ndisk-mb = %d", storageMemoryMB, diskMB)
	}
	line("[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0")
	line("[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 4000\nack-ms = 5000\ncatch-up-s = 4.5\ndrain-ms = 3000\ngrace-s = 6")
	line("loss-slack-ms = 200\nconfig-apply-ms = 3000\nrollback-slack-ms = 250\nmax-skew-ms = 12000\nrecovery-s = 12\nfinish-s = 10")
	line("status-s = 120\ncallback-s = 5\nvisibility-ms = 3000\nearly-ms = 100\nceiling-window-s = 5\nceiling-overage = 1.1")
	line("[cloud]\naddress = %q\nrate-per-s = 49.0\nduties = []\nmax-lag-ms = 800", s.cloud)
	return text.String()
}

func (s *system) dataFolder(m *machine, role string) string {
	return filepath.Join(s.folder, m.name, role+"-data")
}

// startAll starts every role of every machine for the first time.
func (s *system) startAll() error {
	for _, m := range s.machines {
		roles := []string{"carrier"}
		if m.class == "storage" {
			roles = []string{"keeper", "store"}
		}
		for _, role := range roles {
			p := &process{system: s, machine: m, role: role}
			m.processes = append(m.processes, p)
			if err := p.start(true); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *process) memoryLimit() int64 {
	if p.machine.class == "edge" {
		return edgeMemoryMB << 20
	}
	return storageMemoryMB << 20
}

// start starts the process with the command of the deploy file. The platform starts it again whenever it ends.
func (p *process) start(bootstrap bool) error {
	s := p.system
	folder := filepath.Join(s.folder, p.machine.name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	if p.machine.class == "storage" {
		if err := os.MkdirAll(s.dataFolder(p.machine, p.role), 0o755); err != nil {
			return err
		}
	}
	path := filepath.Join(folder, p.role+".toml")
	if err := os.WriteFile(path, []byte(s.settings(p.machine, p.role, bootstrap)), 0o644); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(folder, p.role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(s.binary, p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GRANITEWING_CONFIG=" + path}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mutex.Lock()
	p.command, p.exited, p.wanted = command, exited, true
	p.mutex.Unlock()
	select {
	case <-s.stopping: // the test has ended meanwhile
		p.mutex.Lock()
		p.wanted = false
		p.mutex.Unlock()
		_ = command.Process.Signal(syscall.SIGKILL)
	default:
	}
	s.watchers.Add(2)
	go p.watchMemory(command.Process, exited)
	go p.supervise(command, exited)
	return nil
}

// supervise waits for the end of the process and starts it again, unless the test has ended it.
func (p *process) supervise(command *exec.Cmd, exited chan struct{}) {
	defer p.system.watchers.Done()
	err := command.Wait()
	close(exited)
	p.mutex.Lock()
	again := p.wanted
	if again {
		p.ownEnds++
	}
	p.mutex.Unlock()
	if !again {
		return
	}
	p.system.record.event("%s on %s ended by itself: %v", p.role, p.machine.name, err)
	select {
	case <-p.system.stopping:
	case <-time.After(restartDelay):
		if err := p.start(false); err != nil {
			p.system.record.event("cannot start %s on %s again: %v", p.role, p.machine.name, err)
		}
	}
}

// watchMemory is the platform's memory limit: a process over memory-mb is killed.
func (p *process) watchMemory(running *os.Process, exited chan struct{}) {
	defer p.system.watchers.Done()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		resident := residentBytes(running.Pid)
		p.mutex.Lock()
		p.peak = max(p.peak, resident)
		over := resident > p.memoryLimit()
		if over {
			p.memoryEnds++
		}
		p.mutex.Unlock()
		if over {
			p.system.record.event("%s on %s is over its memory limit with %d MB and is killed by the platform", p.role, p.machine.name, resident>>20)
			_ = running.Signal(syscall.SIGKILL)
			return
		}
	}
}

func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := bytes.Fields(data)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize())
}

// end sends the process a signal as planned by the test, and waits until it has ended.
func (p *process) end(signal syscall.Signal) {
	p.mutex.Lock()
	p.wanted = false
	command, exited := p.command, p.exited
	p.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(8 * time.Second):
		_ = command.Process.Signal(syscall.SIGKILL)
		<-exited
	}
}

// signal sends a signal and does not wait.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// kill ends all processes of a machine at once.
func (m *machine) kill() {
	var ending sync.WaitGroup
	for _, p := range m.processes {
		ending.Add(1)
		go func() { defer ending.Done(); p.end(syscall.SIGKILL) }()
	}
	ending.Wait()
}

// restart starts the processes of a machine again; bootstrap is false, as at every start after the first.
func (m *machine) restart() error {
	for _, p := range m.processes {
		if err := p.start(false); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes. A second call waits for the first one.
func (s *system) stop() { s.stopOnce.Do(s.endAll) }

func (s *system) endAll() {
	close(s.stopping)
	var ending sync.WaitGroup
	for _, m := range s.machines {
		for _, p := range m.processes {
			ending.Add(1)
			go func() { defer ending.Done(); p.end(syscall.SIGKILL) }()
		}
	}
	ending.Wait()
	s.watchers.Wait()
}

// report writes the ends and the memory peaks of all processes into the record.
func (s *system) report() {
	for _, m := range s.machines {
		for _, p := range m.processes {
			p.mutex.Lock()
			s.record.event("%s on %s: ended by itself %d times, %d of them over the memory limit; largest resident size %d MB",
				p.role, m.name, p.ownEnds, p.memoryEnds, p.peak>>20)
			p.mutex.Unlock()
		}
	}
}
