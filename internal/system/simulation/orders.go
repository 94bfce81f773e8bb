package simulation

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/configuration"
)

// Timing and bounds of the operator's calls.
const (
	operatorRetryDelay = 300 * time.Millisecond
	operatorTimeout    = time.Second
	maxRedirects       = 2
)

// operatorCall is one call of the operator to a keeper. It follows redirects to the leader.
type operatorCall struct {
	simulation *simulation
	send       func(host *keeperHost, answer func(err error))
	done       func(err error) // called with nil, a definite refusal, or an *indeterminateError if the call must be sent again
	redirects  int
	finished   bool
}

// indeterminateError reports that a call got no definite answer: it may or may not have taken effect.
type indeterminateError struct{ cause error }

func (e *indeterminateError) Error() string { return fmt.Sprintf("no definite answer: %v", e.cause) }

// callKeeper sends a call to a random keeper. The keeper may be isolated from the others, since operators reach both
// sides of a partition.
func (sim *simulation) callKeeper(send func(host *keeperHost, answer func(err error)), done func(err error)) {
	c := &operatorCall{simulation: sim, send: send, done: done}
	sim.world.after(operatorTimeout, func() { c.finish(&indeterminateError{}) })
	c.sendTo(sim.randomKeeper())
}

func (c *operatorCall) finish(err error) {
	if !c.finished {
		c.finished = true
		c.done(err)
	}
}

func (c *operatorCall) sendTo(host *keeperHost) {
	w := c.simulation.world
	if host == nil {
		w.after(clientLatency, func() { c.finish(&indeterminateError{}) })
		return
	}
	w.after(clientLatency, func() {
		host.run(func() {
			c.send(host, func(err error) { c.handleAnswer(host, err) })
			host.advance()
		})
	})
}

func (c *operatorCall) handleAnswer(host *keeperHost, err error) {
	if host.machine.poweredOff || c.simulation.dropsAck() {
		return
	}
	w := c.simulation.world
	w.after(clientLatency, func() {
		var notLeader *agreement.NotLeaderError
		switch {
		case err == nil || isDefinite(err):
			c.finish(err)
		case errors.As(err, &notLeader) && notLeader.Leader != "" && notLeader.Leader != host.address && c.redirects < maxRedirects:
			c.redirects++
			c.sendTo(c.simulation.keeperByAddress(notLeader.Leader))
		default:
			c.finish(&indeterminateError{cause: err})
		}
	})
}

// randomKeeper returns a random keeper among those whose processes run, or nil if there is none.
func (sim *simulation) randomKeeper() *keeperHost {
	var live []*keeperHost
	for _, name := range sim.world.names {
		if host := sim.keeperOn(name); host != nil {
			live = append(live, host)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[sim.world.random.IntN(len(live))]
}

func (sim *simulation) keeperByAddress(address string) *keeperHost {
	for _, name := range sim.world.names {
		if host := sim.keeperOn(name); host != nil && host.address == address {
			return host
		}
	}
	return nil
}

// dropsAck reports whether an answer to the operator is lost.
func (sim *simulation) dropsAck() bool {
	const lost, of = 2, 3
	return sim.loseAcks && sim.world.random.IntN(of) < lost
}

// configurationChange is a configuration that the operator sends until it gets a definite answer.
type configurationChange struct {
	configuration.Order
	version uint64
	done    func(accepted bool)
}

// sendChange sends a change to one keeper after the other until the answer is definite.
func (sim *simulation) sendChange(change *configurationChange) {
	w := sim.world
	sim.checker.sentDocuments[string(change.Raw)] = true
	answered := sim.history.recordCall(w.now, configurationCall{base: change.Base, version: change.version, content: sim.history.documentName(change.Raw)})
	send := func(host *keeperHost, answer func(err error)) {
		host.core.ReplaceConfiguration(host.Now(), change.Order, answer)
	}
	sim.callKeeper(send, func(err error) {
		answered(w.now, changeVerdict(err))
		sim.changeAnswered(change, err)
	})
}

// isDefinite reports whether an error is a definite refusal.
func isDefinite(err error) bool {
	var invalid *configuration.InvalidError
	var conflict *configuration.ConflictError
	return errors.As(err, &invalid) || errors.As(err, &conflict) || retirementRefused(err)
}

func changeVerdict(err error) configurationAnswer {
	switch {
	case err == nil:
		return configurationAnswer{verdict: verdictAccepted}
	case isDefinite(err):
		return configurationAnswer{verdict: verdictRefused}
	}
	return configurationAnswer{verdict: verdictUnanswered}
}

// changeAnswered checks the answer to a change, and sends the change again if the answer is not definite.
func (sim *simulation) changeAnswered(change *configurationChange, err error) {
	now := sim.world.now
	switch {
	case err == nil:
		if acknowledged, known := sim.checker.versions[change.version]; known && acknowledged != string(change.Raw) {
			sim.checker.reportViolation(now, "CONFIG", fmt.Sprintf("two configurations of version %d were acknowledged", change.version))
		}
		sim.checker.versions[change.version] = string(change.Raw)
		sim.checker.versionAcknowledged(now, change.version)
		change.done(true)
	case isDefinite(err):
		if sim.checker.versions[change.version] == string(change.Raw) {
			sim.checker.reportViolation(now, "CONFIG", fmt.Sprintf("version %d was acknowledged and then refused", change.version))
		}
		change.done(false)
	default:
		sim.world.after(operatorRetryDelay, func() { sim.sendChange(change) })
	}
}

// readPeriodically reads the configuration from random keepers throughout the run, and checks that no read returns a
// version older than one acknowledged before it.
func (sim *simulation) readPeriodically() {
	w := sim.world
	w.after(configurationReadInterval, sim.readPeriodically)
	startedAt := w.now
	known := sim.checker.ackedBefore(startedAt)
	sim.readOnce(func(raw []byte) {
		sim.history.recordRead(startedAt, w.now, raw)
		if document, err := configuration.Parse(raw); raw != nil && (err != nil || document.Version < known) {
			sim.checker.reportViolation(w.now, "CONFIG", fmt.Sprintf("a configuration older than version %d is read", known))
		}
	})
}

// readOnce reads the configuration from a random keeper. It calls done only if the keeper answers.
func (sim *simulation) readOnce(done func(raw []byte)) {
	var read []byte
	send := func(host *keeperHost, answer func(err error)) {
		host.core.ReadConfiguration(host.Now(), func(raw []byte, err error) {
			read = bytes.Clone(raw)
			answer(err)
		})
	}
	sim.callKeeper(send, func(err error) {
		if err == nil {
			done(read)
		}
	})
}

// checkRead checks the configuration that the operator reads at the end.
func (sim *simulation) checkRead(raw []byte) {
	document, err := configuration.Parse(raw)
	if err != nil {
		sim.checker.reportViolation(sim.world.now, "LOST", "the configuration that is read back can't be parsed: "+err.Error())
		return
	}
	if document.Version < sim.checker.maxAcked {
		sim.checker.reportViolation(sim.world.now, "LOST", fmt.Sprintf("version %d was acknowledged but version %d is read back", sim.checker.maxAcked, document.Version))
	}
	if sent, known := sim.checker.versions[document.Version]; known && !bytes.Equal(raw, []byte(sent)) {
		sim.checker.reportViolation(sim.world.now, "CONFIG", fmt.Sprintf("version %d is read back with other bytes", document.Version))
	}
}
