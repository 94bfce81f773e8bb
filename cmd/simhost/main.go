// Command simhost runs scheduler instances for the simulator, the operators' program that runs the decisions of package
// logic over batches of events. It reads batches of events in the simulator's binary
// protocol (internal/wire) from standard input and writes one reply per batch to standard output. It only translates
// between the protocol and package logic.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"granitewing/internal/wire"
	"granitewing/logic"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host holds the scheduler instances by number, and the worker lists that the simulator has sent.
type host struct {
	schedulers  map[uint16]*logic.Scheduler
	workerLists [16][]logic.WorkerInfo
	actions     []logic.Action
	reply       wire.Reply
	event       wire.Event
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := host{schedulers: map[uint16]*logic.Scheduler{}}
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	var frame []byte
	var err error
	for {
		if frame, err = wire.ReadFrame(r, frame); err != nil {
			if errors.Is(err, io.EOF) && len(frame) <= 20 && err == io.EOF {
				return nil
			}
			return err
		}
		if err := h.handleBatch(frame); err != nil {
			return err
		}
		if _, err := w.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handleBatch processes one batch. All of its events are checked before the first is handled.
func (h *host) handleBatch(frame []byte) error {
	var b wire.Batch
	if err := b.Open(frame); err != nil {
		return err
	}
	if err := b.Check(&h.event); err != nil {
		return err
	}
	h.reply.Begin(b.Seq)
	for {
		more, err := b.Next(&h.event)
		if err != nil || !more {
			return err
		}
		h.handle(b.Now, &h.event)
	}
}

// handle passes one event to its instance and adds the resulting actions to the reply.
func (h *host) handle(now int64, e *wire.Event) {
	switch e.Code {
	case wire.EvLedger:
		h.storeWorkerList(e)
		return
	case wire.EvKill:
		delete(h.schedulers, e.Inst)
		return
	case wire.EvStart:
		h.startInstance(e)
		return
	}
	s := h.schedulers[e.Inst]
	if s == nil {
		return
	}
	h.actions = h.translate(s, now, e, h.actions[:0])
	for i := range h.actions {
		h.reply.Add(e.Inst, &h.actions[i])
	}
}

// startInstance creates the instance of a start event, or adds a fault to the reply if its settings are invalid.
func (h *host) startInstance(e *wire.Event) {
	delete(h.schedulers, e.Inst)
	cfg, err := wire.ParseSettings(e.Text)
	if err == nil {
		var s *logic.Scheduler
		if s, err = logic.New(cfg, e.Seed); err == nil {
			h.schedulers[e.Inst] = s
			return
		}
	}
	h.reply.Fault(e.Inst, err.Error())
}

// storeWorkerList replaces a numbered worker list, to which later list events refer.
func (h *host) storeWorkerList(e *wire.Event) {
	if int(e.Set) >= len(h.workerLists) {
		return
	}
	list := h.workerLists[e.Set][:0]
	wire.EachEntry(e.Entries, func(x wire.Entry) {
		list = append(list, logic.WorkerInfo{
			ID: logic.WorkerID(x.Worker), Zone: int(x.Zone), Kind: int(x.Kind), Cell: int(x.Cell),
			Weight: float64(x.Weight), UpSince: int64(min(x.UpSince, 1<<62)), Phase: phaseOf(x.Phase),
		})
	})
	h.workerLists[e.Set] = list
}

// phaseOf maps the protocol's worker states; a worker in an unknown state gets no jobs.
func phaseOf(v uint8) logic.Phase {
	switch v {
	case 1:
		return logic.Ready
	case 0:
		return logic.Gone
	}
	return logic.Draining
}

// listKinds and results map the protocol's codes, by position.
var (
	listKinds = [...]logic.ListKind{logic.ListCached, logic.ListFailed, logic.ListFull, logic.ListDelta}
	results   = [...]logic.Result{logic.Served, logic.Failed, logic.Refused, logic.TimedOut,
		logic.ConnectFailed, logic.Broken, logic.Cancelled, logic.NotSent}
)

// translate calls the scheduler's method for an event and returns acts with the resulting actions appended.
func (h *host) translate(s *logic.Scheduler, now int64, e *wire.Event, acts []logic.Action) []logic.Action {
	switch e.Code {
	case wire.EvUpdate:
		if int(e.How) >= len(listKinds) {
			return acts
		}
		var list []logic.WorkerInfo
		if int(e.Set) < len(h.workerLists) && listKinds[e.How] != logic.ListFailed {
			list = h.workerLists[e.Set]
		}
		return s.Workers(now, listKinds[e.How], list, acts)
	case wire.EvArrival:
		j := logic.Job{
			ID: logic.JobID(e.Job), Key: e.Key, Class: int(e.Class), Tenant: int(e.Tenant),
			Slots: float64(e.Slots), Memory: float64(e.Memory), Deadline: int64(min(e.At, 1<<62)),
			Repeated: e.Flags&2 != 0,
		}
		if e.Flags&1 != 0 {
			j.Hint = int64(e.Hint)
		}
		return s.Arrive(now, j, acts)
	case wire.EvFlowing:
		return s.Streaming(now, logic.JobID(e.Job), int(e.Attempt), acts)
	case wire.EvProgress:
		if e.Topic == 1 {
			return s.Started(now, logic.JobID(e.Job), int(e.Attempt), acts)
		}
		if e.Topic == 2 {
			return s.Progress(now, logic.JobID(e.Job), int(e.Attempt), float64(e.Share), acts)
		}
	case wire.EvAnswer:
		r := logic.Failed // an unknown result may have run
		if int(e.Result) < len(results) {
			r = results[e.Result]
		}
		return s.Outcome(now, logic.Outcome{
			Job: logic.JobID(e.Job), Attempt: int(e.Attempt), Worker: logic.WorkerID(e.Worker), Result: r,
			Elapsed: int64(e.Elapsed), Settled: e.Settled, Report: e.Stats,
		}, acts)
	case wire.EvHangup:
		return s.ClientGone(now, logic.JobID(e.Job), acts)
	case wire.EvWake:
		return s.Wake(now, e.Token, acts)
	case wire.EvInbox:
		// Peers exchange no messages in the simulator; the event only triggers due timers.
		return s.Wake(now, 0, acts)
	}
	return acts
}
