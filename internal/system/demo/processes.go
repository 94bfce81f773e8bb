package demo

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"granitewing/internal/system/loopback"
	"granitewing/internal/system/settings"
)

// Size and limits of the system.
const (
	storageMachines = 3
	edgeMachines    = 2
	memoryMB        = 256
	diskMB          = 64
	maxFiles        = 1024
	graceS          = 6
)

// machine is one of the system's machines with its running processes.
type machine struct {
	loopback.Machine
	processes []*process
}

// process is one running role.
type process struct {
	role    string
	command *exec.Cmd
	exited  chan struct{}
}

// start starts a role's process on a machine; its output goes to the role's log file.
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
	p := &process{role: role, command: command, exited: make(chan struct{})}
	go func() {
		command.Wait() //nolint:errcheck // how it ended is in its log
		output.Close()
		close(p.exited)
	}()
	m.processes = append(m.processes, p)
	return nil
}

const stopTimeout = 5 * time.Second

// stop terminates a machine's processes, and kills those that have not exited after stopTimeout.
func (m *machine) stop() {
	for _, p := range m.processes {
		p.command.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	}
	for _, p := range m.processes {
		select {
		case <-p.exited:
		case <-time.After(stopTimeout):
			p.command.Process.Kill() //nolint:errcheck // it may have ended
			<-p.exited
		}
	}
	m.processes = nil
}
