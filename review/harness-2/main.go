//go:build review

// Command harness starts the project's own programs on loopback addresses, with stand-ins for clients, workers, the
// platform and the operator, and plays one case of the review. It exits with 1 if the rule was broken, with 0 if it held
// and with 2 if the case could not run. With TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is how long a run may take; after it everything that was started is ended.
const timeLimit = 115 * time.Second

// outcome is what a case found: broken rules, one line each.
type outcome []string

type caseFunc func(t *trial) (outcome, error)

var cases = map[string]caseFunc{
	"key":   orderingKey,
	"ages":  ages,
	"stall": stall,
}

// trial is one run of a case.
type trial struct {
	record   *record
	fleet    *fleet
	platform *platform
	system   *system
	trouble  bool
	folder   string
	binary   string
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE BINARY RECORD")
		return 2
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs in", folder)
	}
	t := &trial{record: r, fleet: newFleet(r), trouble: os.Getenv("TROUBLE") != "0", folder: folder, binary: os.Args[2]}
	r.event("case %s, trouble %t", os.Args[1], t.trouble)
	go t.endEarly()
	broken, err := cases[os.Args[1]](t)
	if t.system != nil {
		t.system.report()
		t.system.stop()
	}
	t.fleet.close()
	if t.platform != nil {
		t.platform.server.Close()
	}
	if err != nil {
		r.event("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for _, line := range broken {
		r.event("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return 1
	}
	r.event("the rule held")
	fmt.Println("the rule held")
	return 0
}

// threeZones are the zones of the site rbcs-bouees.
var threeZones = []string{"hann", "yoff", "rufisque"}

// endEarly ends a run that is told to stop or that takes too long: with status 2, since it has shown nothing.
func (t *trial) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	if t.system != nil {
		t.system.stop()
	}
	t.record.event("ended early")
	os.RemoveAll(t.folder)
	os.Exit(2)
}

// begin starts the system with a configuration and waits until it serves. The workers must have been added before.
func (t *trial) begin(zones []string, storage, edges int, document []byte) error {
	p, err := startPlatform(t.fleet)
	if err != nil {
		return err
	}
	t.platform = p
	t.system, err = newSystem(t.record, t.binary, t.folder, p.listener.Addr().String(), zones, storage, edges)
	if err != nil {
		return err
	}
	if err := t.system.startAll(); err != nil {
		return err
	}
	if err := t.system.operate(document, 0, 15*time.Second); err != nil {
		return err
	}
	return t.system.awaitReady(15 * time.Second)
}
