package demo

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"granitewing/internal/system/loopback"
	"granitewing/internal/system/settings"
)

// Shape of the system that is run.
const (
	machinesWithDisk = 3
	edgeMachines     = 2
	memoryMB         = 256
	diskMB           = 64
	files            = 1024
	graceS           = 6
)

// machine is one of the system's machines, and the processes on it.
type machine struct {
	loopback.Machine
	processes []*process
}

// process is one running role.
type process struct {
	role    string
	command *exec.Cmd
	ended   chan struct{}
}

// start runs a role on a machine, with its log in the folder.
func (m *machine) start(layout *loopback.Layout, binary, role string) error {
	path, err := layout.WriteSettings(&m.Machine, role, true)
	if err != nil {
		return err
	}
	output, err := os.Create(layout.LogPath(&m.Machine, role))
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
