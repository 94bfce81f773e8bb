package virtual

import (
	"fmt"
	"slices"

	"granitewing/internal/dispatch"
	"granitewing/internal/fleet/admission"
	"granitewing/internal/fleet/ejection"
	"granitewing/internal/fleet/ledger"
	"granitewing/internal/lab/world"
	"granitewing/logic"
)

// This file lets dispatchers share their state: each reports its outstanding work to the others through the ledger that
// the product uses. Only the network between them is modelled: a report is delayed, lost or reordered.

// startSharing starts the periodic reports, each dispatcher at a random phase.
func (sim *simulation) startSharing(s *world.Share) {
	sim.dispatchersByName = map[string]*dispatcher{}
	for _, d := range sim.dispatchers {
		sim.dispatchersByName[d.name] = d
		sim.after(int64(d.rng.Float64()*float64(s.Every.Microseconds())), func() { sim.shareState(d, s) })
	}
}

// shareState makes a dispatcher apply the reports it has received and send its own, and schedules the next round.
func (sim *simulation) shareState(d *dispatcher, s *world.Share) {
	if sim.arrived < len(sim.day.Jobs) || sim.openJobs > 0 {
		sim.after(s.Every.Microseconds(), func() { sim.shareState(d, s) })
	}
	core, ok := d.core.(*dispatch.Core)
	if !ok || d.down {
		return
	}
	d.hostIDs = core.WorkerIDs(d.hostIDs[:0])
	slices.Sort(d.hostIDs)
	d.ledger.Members(len(sim.dispatchers) - 1)
	d.callCore(func(now int64) []dispatch.Command {
		d.ledger.PassSums(now, d.hostIDs, core)
		return nil
	})
	d.reportSeq++
	own := ledger.OwnReport(d.name, uint64(d.generation), d.reportSeq, sim.now, core)
	if s.Verdicts == "on" {
		if d.ejector == nil || d.ejectorCore != core {
			d.ejector, d.ejectorCore = ejection.New(d.name, d.zone, core), core
		}
		d.ejector.Round(sim.now, d.ledger, core, len(sim.dispatchers), s.Every, own)
	}
	if s.Slack == "on" {
		if d.admission == nil || d.admissionCore != core {
			d.admission, d.admissionCore = admission.New(core), core
		}
		d.admission.Round(sim.now, d.ledger, core, len(sim.dispatchers), own)
	}
	if d.gangs != nil {
		sim.exchangeSlotMessages(d, core, s)
	}
	for _, out := range d.ledger.Round(sim.now, own, sim.livePeers(d)) {
		latency := s.Late.Lo + world.Delay(d.rng.Float64()*float64(s.Late.Hi-s.Late.Lo))
		sim.traffic.Datagrams += len(out.To)
		sim.traffic.Bytes += len(out.To) * len(ledger.Append(nil, out.Report))
		sim.after(latency.Microseconds(), func() {
			for _, name := range out.To {
				if o := sim.dispatchersByName[name]; sim.drawDelivery(d, o, s) {
					o.ledger.Accept(sim.now, out.Report)
				}
			}
		})
	}
}

// livePeers returns the names of the live dispatchers except d, as a perfect membership protocol would report them.
func (sim *simulation) livePeers(d *dispatcher) []string {
	out := make([]string, 0, len(sim.dispatchers))
	for _, o := range sim.dispatchers {
		if o != d && !o.down {
			out = append(out, o.name)
		}
	}
	return out
}

// Traffic is the traffic between dispatchers: reports and slot messages.
type Traffic struct{ Datagrams, Bytes int }

// newLedger creates the ledger of a dispatcher's new process.
func (d *dispatcher) newLedger() {
	d.name = fmt.Sprintf("n%d", d.number)
	if s := d.sim.options.Variant.Share; s != nil {
		d.limits = ledger.Limits{Hubs: s.Hubs, HubTimeout: max(1_500_000, 6*s.Every.Microseconds())}
	}
	d.ledger, d.hostIDs, d.reportSeq = ledger.New(d.name, d.limits), []logic.WorkerID{}, 0
}
