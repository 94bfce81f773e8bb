// Package stage starts real dispatchers as processes, watches them and ends them.
package stage

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
	readyLimit = 15 * time.Second // from the start until a dispatcher is ready
	stopLimit  = 10 * time.Second // from SIGTERM until it is killed
	logMost    = 64 << 10         // of each dispatcher's log kept for its report
)

// Dispatcher is a running process.
type Dispatcher struct {
	Addr string
	door string // the operators' door, where the build has one; set before Addr
	cmd  *exec.Cmd
	over chan struct{} // closed once it has ended
	err  error
	mu   sync.Mutex
	log  bytes.Buffer // its first bytes
	kill bool         // it was ended on purpose
	at   time.Time    // when, before the signal
}

// Start starts program with a configuration, which is kept in dir, and waits until it listens. A dispatcher never
// outlives the laboratory, however that ends.
func Start(program, dir, name string, config []byte, args ...string) (*Dispatcher, error) {
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	d := &Dispatcher{over: make(chan struct{}), cmd: exec.Command(program, args...)}
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "ROUTER_") && !strings.HasPrefix(v, "TMPDIR=") {
			d.cmd.Env = append(d.cmd.Env, v)
		}
	}
	// What it keeps there goes by its name, which dispatchers of other plays have too.
	d.cmd.Env = append(d.cmd.Env, "ROUTER_CONFIG="+path, "TMPDIR="+dir)
	// A group of its own: Ctrl-C is for the laboratory, which then ends it in order.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := d.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := d.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	listening := make(chan string, 1)
	go d.watch(out, listening)
	limit := time.NewTimer(readyLimit)
	defer limit.Stop()
	select {
	case d.Addr = <-listening:
		return d, nil
	case <-d.over:
		return nil, fmt.Errorf("%s ended at its start: %v\n%s", name, d.err, d.Log())
	case <-limit.C:
		d.Kill()
		return nil, fmt.Errorf("%s does not listen after %v\n%s", name, readyLimit, d.Log())
	}
}

// watch reads the log and waits for the end.
func (d *Dispatcher) watch(out io.Reader, listening chan<- string) {
	s := bufio.NewScanner(out)
	for s.Scan() {
		line := s.Text()
		d.mu.Lock()
		if d.log.Len() < logMost {
			d.log.WriteString(line + "\n")
		}
		d.mu.Unlock()
		if strings.Contains(line, "msg=door") {
			_, addr, _ := strings.Cut(line, "addr=")
			d.mu.Lock()
			d.door = strings.TrimSpace(addr)
			d.mu.Unlock()
		}
		if addr, ok := address(line); ok {
			select {
			case listening <- addr:
			default:
			}
		}
	}
	io.Copy(io.Discard, out)
	d.err = d.cmd.Wait()
	close(d.over)
}

// address finds where a dispatcher listens in a line of its log, of this build's form or of an earlier one's.
func address(line string) (string, bool) {
	if strings.Contains(line, "msg=listening") {
		_, addr, ok := strings.Cut(line, "addr=")
		return strings.TrimSpace(addr), ok
	}
	_, addr, ok := strings.Cut(line, "listening on ")
	return strings.TrimSpace(addr), ok
}

// Log gives what the process wrote to its log, up to a bound.
func (d *Dispatcher) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// Pid is the process's number.
func (d *Dispatcher) Pid() int { return d.cmd.Process.Pid }

// CPU is the time that the process took, known once it has ended.
func (d *Dispatcher) CPU() time.Duration {
	select {
	case <-d.over:
		return d.cmd.ProcessState.UserTime() + d.cmd.ProcessState.SystemTime()
	default:
		return 0
	}
}

// Ready waits until /healthz answers 200.
func (d *Dispatcher) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
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
		case <-d.over:
			t.Stop()
			return fmt.Errorf("dispatcher at %s ended before it was ready: %v", d.Addr, d.err)
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("dispatcher at %s is not ready: %w", d.Addr, ctx.Err())
		}
	}
}

// Kill ends it at once.
func (d *Dispatcher) Kill() {
	d.mu.Lock()
	d.kill, d.at = true, time.Now()
	d.mu.Unlock()
	d.cmd.Process.Kill()
	<-d.over
}

// Killed is when it was killed, before its clients could see it.
func (d *Dispatcher) Killed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// Pause stops the process where it stands, or lets it go on.
func (d *Dispatcher) Pause(on bool) error {
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	return d.cmd.Process.Signal(sig)
}

// ErrKilled tells that a dispatcher still had work when its time after SIGTERM was over.
var ErrKilled = errors.New("did not end after SIGTERM and was killed")

// Stop ends it in order, or by force if that takes too long: then the error is ErrKilled.
func (d *Dispatcher) Stop() error {
	d.mu.Lock()
	dead := d.kill
	d.mu.Unlock()
	select {
	case <-d.over:
		if dead {
			return nil
		}
		return fmt.Errorf("dispatcher at %s ended by itself: %v\n%s", d.Addr, d.err, d.Log())
	default:
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(stopLimit)
	defer t.Stop()
	select {
	case <-d.over:
		if d.err != nil {
			return fmt.Errorf("dispatcher at %s: %w\n%s", d.Addr, d.err, d.Log())
		}
		return nil
	case <-t.C:
		d.Kill()
		return fmt.Errorf("dispatcher at %s: %w", d.Addr, ErrKilled)
	}
}

// doorLimit bounds a call of the door; the dispatcher answers within 1 s.
const doorLimit = 2 * time.Second

// Figures asks the dispatcher's door for its counters and gives them by name with labels, as
// `router_success_total{type="alert"}`. A build without a door gives none and no error.
func (d *Dispatcher) Figures() (map[string]float64, error) {
	text, err := d.Call("counters")
	if err != nil || text == "" {
		return nil, err
	}
	return parseFigures(text)
}

// Call makes one call of the operators' door and gives the whole answer; a build without a door gives "".
func (d *Dispatcher) Call(line string) (string, error) {
	d.mu.Lock()
	door := d.door
	d.mu.Unlock()
	if door == "" {
		return "", nil
	}
	c, err := net.DialTimeout("tcp", door, doorLimit)
	if err != nil {
		return "", fmt.Errorf("door: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(doorLimit))
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		return "", fmt.Errorf("door: %w", err)
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return "", fmt.Errorf("door: %s: %w", line, err)
	}
	return string(text), nil
}

// parseFigures reads an answer of `counters`: YES, lines of a name and a value, END.
func parseFigures(text string) (map[string]float64, error) {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) < 2 || lines[0] != "YES" || lines[len(lines)-1] != "END" {
		return nil, fmt.Errorf("door: counters answered %q", text)
	}
	figures := map[string]float64{}
	for i, line := range lines[1 : len(lines)-1] {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		cut := strings.LastIndexByte(line, ' ')
		v, err := strconv.ParseFloat(line[cut+1:], 64)
		if cut <= 0 || err != nil {
			return nil, fmt.Errorf("door: counters line %d: %q", i+2, line)
		}
		figures[line[:cut]] += v
	}
	return figures, nil
}
