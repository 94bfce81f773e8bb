// Package soak plays the program as it is built, many real processes of it on loopback, with stand-ins for the platform, the workers and
// the operator, through series of signals, ends and changes that overlap, and judges by what clients, workers and the operator saw.
//
// In CI one short run of each kind with a seed: of all that may happen, and of planned work alone. By hand SOAK_SEEDS runs follow from SOAK_FIRST, SOAK_BESIDE of them at a time, with SOAK_EDGES carriers,
// SOAK_STORAGE machines with a disk, SOAK_CLIENTS clients and SOAK_SECONDS of traffic each.
package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"granitewing/internal/system/loopback"
)

// Shape of the run in CI.
const (
	usualEdges   = 6
	usualStorage = 3
	usualClients = 12
	usualSeconds = 30
	readyWithin  = 20 * time.Second
	endedWithin  = 30 * time.Second
	statesAsked  = 300
	firstNet     = 40
)

func number(name string, otherwise int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return otherwise
}

// TestSoak plays runs of all kinds of happenings.
func TestSoak(t *testing.T) { soakSeeds(t, false) }

// TestSoakPlanned plays runs of planned work alone, where nothing excuses a second run of a message.
func TestSoakPlanned(t *testing.T) { soakSeeds(t, true) }

func soakSeeds(t *testing.T, planned bool) {
	binary := builtProgram(t)
	first, seeds, beside := number("SOAK_FIRST", 1), number("SOAK_SEEDS", 1), number("SOAK_BESIDE", 1)
	var running sync.WaitGroup
	turns := make(chan int, beside)
	for place := range beside {
		turns <- place
	}
	for seed := first; seed < first+seeds; seed++ {
		place := <-turns
		running.Go(func() {
			defer func() { turns <- place }()
			soak(t, binary, uint64(seed), firstNet+place, planned)
		})
	}
	running.Wait()
}

// builtProgram gives the program: SOAK_BINARY, an earlier build to compare with, or the one of this tree.
func builtProgram(t *testing.T) string {
	t.Helper()
	if earlier := os.Getenv("SOAK_BINARY"); earlier != "" {
		return earlier
	}
	binary := filepath.Join(t.TempDir(), "granitewing")
	if built, err := exec.Command("go", "build", "-o", binary, "granitewing/cmd/granitewing-system").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, built)
	}
	return binary
}

// soak plays one run.
func soak(t *testing.T, binary string, seed uint64, net int, planned bool) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Error(err)
		return
	}
	began := time.Now()
	broken, summary := play(t, binary, folder, seed, net, planned)
	t.Logf("seed %d: %s, %s", seed, summary, time.Since(began).Round(time.Second))
	if len(broken) == 0 {
		os.RemoveAll(folder)
		return
	}
	t.Errorf("seed %d breaks %d rules (logs in %s):\n%s", seed, len(broken), folder, strings.Join(broken[:min(len(broken), 20)], "\n"))
}

func play(t *testing.T, binary, folder string, seed uint64, net int, planned bool) (broken []string, summary string) {
	j := newJudge()
	ws, err := startWorkers(workersEach, j)
	if err != nil {
		return []string{err.Error()}, "not started"
	}
	defer ws.stop()
	receiver, err := startReceiver(j, seed)
	if err != nil {
		return []string{err.Error()}, "not started"
	}
	defer receiver.stop()
	r := &rig{binary: binary, layout: loopback.Layout{Folder: folder, Cloud: ws.address, MemoryMB: memoryMB, DiskMB: diskMB, Files: files, GraceS: graceS}}
	if err := r.lay(net, number("SOAK_EDGES", usualEdges), number("SOAK_STORAGE", usualStorage)); err != nil {
		return []string{err.Error()}, "not started"
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return []string{err.Error()}, "not started"
	}
	o := newOperator(r, j, seed, ws.endpoint.listener.Addr().String())
	if !o.change() || !r.ready(readyWithin) {
		return []string{"the system was not ready in time"}, "not ready"
	}
	traffic(r, j, o, receiver, seed, planned)
	judgeEnd(r, j, o)
	j.mutex.Lock()
	broken = append(broken, j.broken...)
	j.mutex.Unlock()
	r.mutex.Lock()
	broken = append(broken, r.failures...)
	r.mutex.Unlock()
	return broken, fmt.Sprintf("%s, %d changes, %d processes", j.summary(), o.changes, len(r.edges)+2*len(r.storage))
}

// traffic has clients send while the chaos goes on; every third seed ends with the end of all processes at once.
func traffic(r *rig, j *judge, o *operator, receiver *receiver, seed uint64, planned bool) {
	cs := startClients(r, j, receiver.url(), number("SOAK_CLIENTS", usualClients), seed)
	c := startChaos(r, j, o, seed, planned)
	time.Sleep(time.Duration(number("SOAK_SECONDS", usualSeconds)) * time.Second)
	c.stop()
	if seed%3 == 0 {
		c.everything()
		time.Sleep(contact)
	}
	cs.stop()
	receiver.hear()
}

// ready waits until most carriers are ready.
func (r *rig) ready(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		count := 0
		for _, m := range r.edges {
			if m.isReady() {
				count++
			}
		}
		if 4*count >= 3*len(r.edges) {
			return true
		}
	}
	return false
}

// judgeEnd waits until all that was accepted has ended and every call-back was made, and reads states and the configuration back.
func judgeEnd(r *rig, j *judge, o *operator) {
	for end := time.Now().Add(endedWithin); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if _, open := j.accepted(); len(open) == 0 && len(j.untold()) == 0 {
			break
		}
	}
	for _, id := range j.untold() {
		j.breaks("LOST", id+" has ended, and its call-back never came")
	}
	all, open := j.accepted()
	for _, id := range open {
		j.breaks("LOST", id+" was accepted and has not ended")
	}
	asked := append(open, all...)
	for turn, id := range asked[:min(len(asked), statesAsked)] {
		known := false
		for try := 0; try < 20 && !known; try++ {
			var state stateForm
			if state, known = r.askState(id, turn+try); known {
				j.told(id, state.Phase, state.Stamp)
				continue
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !known {
			j.breaks("LOST", id+" was accepted and is not known")
		}
	}
	if version, read := o.read(); !read || version < o.acked {
		j.breaks("CONFIG", fmt.Sprintf("version %d was acknowledged, %d is read back", o.acked, version))
	}
}
