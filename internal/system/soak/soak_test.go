// Package soak runs many real processes of the built program on loopback addresses, with stand-ins for the platform, the
// workers, the clients, the receiver of callbacks and the operator. A seeded schedule of overlapping signals, restarts and
// configuration changes disturbs them. The verdict depends only on what the stand-ins observe.
//
// CI runs one short run of each kind with a fixed seed: TestSoak with all kinds of faults, TestSoakPlanned with planned
// work only. For longer runs set environment variables: SOAK_FIRST is the first seed, SOAK_SEEDS the number of seeds,
// SOAK_BESIDE the number of parallel runs, SOAK_EDGES the number of carriers, SOAK_STORAGE that of storage machines,
// SOAK_CLIENTS that of clients, and SOAK_SECONDS the duration of each run's traffic. SOAK_BINARY is a prebuilt program to
// test instead of this tree.
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

// Parameters of the run in CI, and limits of every run.
const (
	defaultEdges      = 6
	defaultStorage    = 3
	defaultClients    = 12
	defaultSeconds    = 30
	readyTimeout      = 20 * time.Second
	completionTimeout = 30 * time.Second
	maxStateQueries   = 300
	firstSubnet       = 40
)

// intFromEnv returns the integer in an environment variable, or the fallback.
func intFromEnv(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

// TestSoak guards against violations of the rules that the type checker lists, under all kinds of faults.
func TestSoak(t *testing.T) { runSeeds(t, false) }

// TestSoakPlanned guards against violations during planned work alone, where nothing excuses that a message runs again
// after a success.
func TestSoakPlanned(t *testing.T) { runSeeds(t, true) }

// runSeeds runs all seeds; each parallel run has its own network of addresses.
func runSeeds(t *testing.T, planned bool) {
	binary := buildProgram(t)
	first, seeds, parallel := intFromEnv("SOAK_FIRST", 1), intFromEnv("SOAK_SEEDS", 1), intFromEnv("SOAK_BESIDE", 1)
	var running sync.WaitGroup
	freeSlots := make(chan int, parallel)
	for slot := range parallel {
		freeSlots <- slot
	}
	for seed := first; seed < first+seeds; seed++ {
		slot := <-freeSlots
		running.Go(func() {
			defer func() { freeSlots <- slot }()
			runSeed(t, binary, uint64(seed), firstSubnet+slot, planned)
		})
	}
	running.Wait()
}

// buildProgram returns the path of the program: SOAK_BINARY, such as an earlier build to compare with, or a new build of
// this tree.
func buildProgram(t *testing.T) string {
	t.Helper()
	if prebuilt := os.Getenv("SOAK_BINARY"); prebuilt != "" {
		return prebuilt
	}
	binary := filepath.Join(t.TempDir(), "granitewing")
	if built, err := exec.Command("go", "build", "-o", binary, "granitewing/cmd/granitewing-system").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, built)
	}
	return binary
}

// runSeed runs one seed. It keeps the folder with the logs if a rule was violated.
func runSeed(t *testing.T, binary string, seed uint64, net int, planned bool) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Error(err)
		return
	}
	started := time.Now()
	violations, summary := runScenario(t, binary, folder, seed, net, planned)
	t.Logf("seed %d: %s, %s", seed, summary, time.Since(started).Round(time.Second))
	if len(violations) == 0 {
		os.RemoveAll(folder)
		return
	}
	t.Errorf("seed %d: %d violations (logs in %s):\n%s", seed, len(violations), folder, strings.Join(violations[:min(len(violations), 20)], "\n"))
}

// runScenario starts the cluster, runs the traffic and checks the result.
func runScenario(t *testing.T, binary, folder string, seed uint64, net int, planned bool) (violations []string, summary string) {
	checker := newChecker()
	ws, err := startWorkers(workersPerService, checker)
	if err != nil {
		return []string{err.Error()}, "not started"
	}
	defer ws.stop()
	receiver, err := startReceiver(checker, seed)
	if err != nil {
		return []string{err.Error()}, "not started"
	}
	defer receiver.stop()
	cluster := &cluster{binary: binary, layout: loopback.Layout{Folder: folder, Cloud: ws.address, MemoryMB: memoryMB, DiskMB: diskMB, Files: maxFiles, GraceS: graceS}}
	if err := cluster.layOut(net, intFromEnv("SOAK_EDGES", defaultEdges), intFromEnv("SOAK_STORAGE", defaultStorage)); err != nil {
		return []string{err.Error()}, "not started"
	}
	defer cluster.stop()
	if err := cluster.start(); err != nil {
		return []string{err.Error()}, "not started"
	}
	o := newOperator(cluster, checker, seed, ws.endpoint.listener.Addr().String())
	if !o.change() || !cluster.waitReady(readyTimeout) {
		return []string{"the system was not ready in time"}, "not ready"
	}
	runTraffic(cluster, checker, o, receiver, seed, planned)
	checkOutcome(cluster, checker, o)
	checker.mutex.Lock()
	violations = append(violations, checker.violations...)
	checker.mutex.Unlock()
	cluster.mutex.Lock()
	violations = append(violations, cluster.failures...)
	cluster.mutex.Unlock()
	return violations, fmt.Sprintf("%s, %d changes, %d processes", checker.summary(), o.changes, len(cluster.edges)+2*len(cluster.storage))
}

// runTraffic lets clients send while the chaos goes on. Every third seed ends by killing all processes at once.
func runTraffic(cluster *cluster, checker *checker, o *operator, receiver *receiver, seed uint64, planned bool) {
	cs := startClients(cluster, checker, receiver.url(), intFromEnv("SOAK_CLIENTS", defaultClients), seed)
	c := startChaos(cluster, checker, o, seed, planned)
	time.Sleep(time.Duration(intFromEnv("SOAK_SECONDS", defaultSeconds)) * time.Second)
	c.stop()
	if seed%3 == 0 {
		c.killAll()
		time.Sleep(excuseWindow)
	}
	cs.stop()
	receiver.endOutages()
}

// waitReady waits until three quarters of the carriers are ready. It returns false after a timeout.
func (c *cluster) waitReady(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		count := 0
		for _, m := range c.edges {
			if m.isReady() {
				count++
			}
		}
		if 4*count >= 3*len(c.edges) {
			return true
		}
	}
	return false
}

// checkOutcome waits until all accepted messages have completed and all callbacks have arrived, then reads back message
// states and the configuration.
func checkOutcome(cluster *cluster, checker *checker, o *operator) {
	for deadline := time.Now().Add(completionTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if _, open := checker.accepted(); len(open) == 0 && len(checker.missingCallbacks()) == 0 {
			break
		}
	}
	for _, id := range checker.missingCallbacks() {
		checker.violation("LOST", id+" has completed and its callback never arrived")
	}
	all, open := checker.accepted()
	for _, id := range open {
		checker.violation("LOST", id+" was accepted and has not completed")
	}
	ids := append(open, all...)
	for first, id := range ids[:min(len(ids), maxStateQueries)] {
		known := false
		for try := 0; try < 20 && !known; try++ {
			var state messageState
			if state, known = cluster.queryState(id, first+try); known {
				checker.stateReported(id, state.Phase, state.Stamp)
				continue
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !known {
			checker.violation("LOST", id+" was accepted and no carrier knows it")
		}
	}
	if version, read := o.read(); !read || version < o.acknowledged {
		checker.violation("CONFIG", fmt.Sprintf("version %d was acknowledged, %d is read back", o.acknowledged, version))
	}
}
