// Package process runs real dispatchers as child processes of the laboratory.
//
// Start starts a dispatcher with its configuration and waits until it listens. The Dispatcher it returns gives its
// address, log and counters; Stop, Kill and Pause signal the process.
package process

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 15 * time.Second // longest time until a new dispatcher listens, or is ready
	stopTimeout  = 10 * time.Second // time from SIGTERM until a dispatcher is killed
	maxLogBytes  = 64 << 10         // bytes that are kept of each dispatcher's log
)

// Dispatcher is a dispatcher process.
type Dispatcher struct {
	Addr      string // where it listens for clients
	adminAddr string // address of the admin endpoint, empty if the build has none; set before Addr
	cmd       *exec.Cmd
	exited    chan struct{} // closed once the process has ended
	err       error         // of the process; valid once exited is closed
	mu        sync.Mutex
	log       bytes.Buffer // the start of its log
	killed    bool         // it was killed on purpose
	killedAt  time.Time    // when it was killed, taken before the signal
}

// Start starts program with a configuration, which it writes to a file in dir, and waits until the dispatcher listens.
// It returns an error if the process ends before that or does not listen within 15 s. The kernel kills the dispatcher
// when the laboratory ends for any reason.
func Start(program, dir, name string, config []byte, args ...string) (*Dispatcher, error) {
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	d := &Dispatcher{exited: make(chan struct{}), cmd: exec.Command(program, args...)}
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "ROUTER_") && !strings.HasPrefix(v, "TMPDIR=") {
			d.cmd.Env = append(d.cmd.Env, v)
		}
	}
	// A dispatcher names its temporary files by its own name, which dispatchers of other runs have too.
	d.cmd.Env = append(d.cmd.Env, "ROUTER_CONFIG="+path, "TMPDIR="+dir)
	// Use a separate process group, so that Ctrl-C reaches only the laboratory, which then shuts the dispatcher down.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := d.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := d.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	listening := make(chan string, 1)
	go d.readLog(out, listening)
	limit := time.NewTimer(readyTimeout)
	defer limit.Stop()
	select {
	case d.Addr = <-listening:
		return d, nil
	case <-d.exited:
		return nil, fmt.Errorf("dispatcher %s exited during its start: %v\n%s", name, d.err, d.Log())
	case <-limit.C:
		d.Kill()
		return nil, fmt.Errorf("dispatcher %s does not listen after %v\n%s", name, readyTimeout, d.Log())
	}
}

// readLog reads the log, extracts the addresses from it, and waits for the end of the process.
func (d *Dispatcher) readLog(out io.Reader, listening chan<- string) {
	s := bufio.NewScanner(out)
	for s.Scan() {
		line := s.Text()
		d.mu.Lock()
		if d.log.Len() < maxLogBytes {
			d.log.WriteString(line + "\n")
		}
		d.mu.Unlock()
		if strings.Contains(line, "msg=door") {
			_, addr, _ := strings.Cut(line, "addr=")
			d.mu.Lock()
			d.adminAddr = strings.TrimSpace(addr)
			d.mu.Unlock()
		}
		if addr, ok := listenAddress(line); ok {
			select {
			case listening <- addr:
			default:
			}
		}
	}
	io.Copy(io.Discard, out)
	d.err = d.cmd.Wait()
	close(d.exited)
}

// listenAddress extracts the address where a dispatcher listens from a line of its log, in the format of this build or
// of an earlier one.
func listenAddress(line string) (string, bool) {
	if strings.Contains(line, "msg=listening") {
		_, addr, ok := strings.Cut(line, "addr=")
		return strings.TrimSpace(addr), ok
	}
	_, addr, ok := strings.Cut(line, "listening on ")
	return strings.TrimSpace(addr), ok
}

// Log returns the start of the dispatcher's log, up to 64 KiB.
func (d *Dispatcher) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// Pid returns the process ID.
func (d *Dispatcher) Pid() int { return d.cmd.Process.Pid }

// CPU returns the CPU time of the process, or 0 while it still runs.
func (d *Dispatcher) CPU() time.Duration {
	select {
	case <-d.exited:
		return d.cmd.ProcessState.UserTime() + d.cmd.ProcessState.SystemTime()
	default:
		return 0
	}
}

// Ready waits until /healthz answers 200. It returns an error if the process ends before that or after 15 s.
func (d *Dispatcher) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addr+"/healthz", nil)
		if err != nil {
			return err
		}
		req.Close = true
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		t := time.NewTimer(20 * time.Millisecond)
		select {
		case <-t.C:
		case <-d.exited:
			t.Stop()
			return fmt.Errorf("dispatcher at %s exited before it was ready: %v", d.Addr, d.err)
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("dispatcher at %s is not ready: %w", d.Addr, ctx.Err())
		}
	}
}

// Kill kills the process and waits for its end.
func (d *Dispatcher) Kill() {
	d.mu.Lock()
	d.killed, d.killedAt = true, time.Now()
	d.mu.Unlock()
	d.cmd.Process.Kill()
	<-d.exited
}

// Killed returns the time right before the kill, that is, before its clients could notice it. It is zero if the
// dispatcher was not killed.
func (d *Dispatcher) Killed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killedAt
}

// Pause stops the process by SIGSTOP, or continues it by SIGCONT.
func (d *Dispatcher) Pause(on bool) error {
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	return d.cmd.Process.Signal(sig)
}

// ErrKilled is the error of Stop for a dispatcher that did not end within 10 s of SIGTERM.
var ErrKilled = errors.New("did not exit after SIGTERM and was killed")

// Stop shuts the dispatcher down by SIGTERM. If it does not end in time, Stop kills it and returns ErrKilled. Stop also
// returns an error if the process ended before Stop was called, unless by Kill, or exits with an error.
func (d *Dispatcher) Stop() error {
	d.mu.Lock()
	killed := d.killed
	d.mu.Unlock()
	select {
	case <-d.exited:
		if killed {
			return nil
		}
		return fmt.Errorf("dispatcher at %s exited unexpectedly: %v\n%s", d.Addr, d.err, d.Log())
	default:
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(stopTimeout)
	defer t.Stop()
	select {
	case <-d.exited:
		if d.err != nil {
			return fmt.Errorf("dispatcher at %s: %w\n%s", d.Addr, d.err, d.Log())
		}
		return nil
	case <-t.C:
		d.Kill()
		return fmt.Errorf("dispatcher at %s: %w", d.Addr, ErrKilled)
	}
}

// adminTimeout is the timeout of a call of the admin endpoint; the dispatcher answers within 1 s.
const adminTimeout = 2 * time.Second

// Counters reads the dispatcher's counters from its admin endpoint. They are keyed by name with labels, for example
// `router_success_total{type="alert"}`. A build without an admin endpoint has none, which is no error.
func (d *Dispatcher) Counters() (map[string]float64, error) {
	text, err := d.Call("counters")
	if err != nil || text == "" {
		return nil, err
	}
	return parseCounters(text)
}

// Call sends one line to the admin endpoint and returns the whole answer, or "" if the build has no admin endpoint.
func (d *Dispatcher) Call(line string) (string, error) {
	d.mu.Lock()
	addr := d.adminAddr
	d.mu.Unlock()
	if addr == "" {
		return "", nil
	}
	c, err := net.DialTimeout("tcp", addr, adminTimeout)
	if err != nil {
		return "", fmt.Errorf("admin endpoint: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		return "", fmt.Errorf("admin endpoint: %w", err)
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return "", fmt.Errorf("admin endpoint: %s: %w", line, err)
	}
	return string(text), nil
}

// parseCounters parses the answer to `counters`: the line YES, lines of a name and a value, and the line END.
func parseCounters(text string) (map[string]float64, error) {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) < 2 || lines[0] != "YES" || lines[len(lines)-1] != "END" {
		return nil, fmt.Errorf("admin endpoint: unexpected answer to counters: %q", text)
	}
	figures := map[string]float64{}
	for i, line := range lines[1 : len(lines)-1] {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		cut := strings.LastIndexByte(line, ' ')
		v, err := strconv.ParseFloat(line[cut+1:], 64)
		if cut <= 0 || err != nil {
			return nil, fmt.Errorf("admin endpoint: counters line %d is invalid: %q", i+2, line)
		}
		figures[line[:cut]] += v
	}
	return figures, nil
}
