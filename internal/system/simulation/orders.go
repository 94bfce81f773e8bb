package simulation

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/configuration"
)

// Times and bounds of the operator's calls.
const (
	operatorPause = 300 * time.Millisecond
	operatorWait  = time.Second
	redirectsMost = 2
)

// operatorCall is one call of the operator at one keeper, which follows what redirects it.
type operatorCall struct {
	day       *day
	send      func(host *keeperHost, answer func(err error))
	done      func(err error) // nil or a clear refusal; an *unansweredError where it has to go elsewhere
	redirects int
	over      bool
}

// unansweredError tells that a call got no clear answer.
type unansweredError struct{ cause error }

func (e *unansweredError) Error() string { return fmt.Sprintf("no clear answer: %v", e.cause) }

// call sends a call to some keeper, by lot: it may be cut off from the others, as operators reach either side.
func (d *day) call(send func(host *keeperHost, answer func(err error)), done func(err error)) {
	c := &operatorCall{day: d, send: send, done: done}
	d.world.after(operatorWait, func() { c.finish(&unansweredError{}) })
	c.at(d.someKeeper())
}

func (c *operatorCall) finish(err error) {
	if !c.over {
		c.over = true
		c.done(err)
	}
}

func (c *operatorCall) at(host *keeperHost) {
	w := c.day.world
	if host == nil {
		w.after(clientWay, func() { c.finish(&unansweredError{}) })
		return
	}
	w.after(clientWay, func() {
		host.run(func() {
			c.send(host, func(err error) { c.answered(host, err) })
			host.goOn()
		})
	})
}

func (c *operatorCall) answered(host *keeperHost, err error) {
	if host.machine.dark || c.day.losesAck() {
		return
	}
	w := c.day.world
	w.after(clientWay, func() {
		var notLeader *agreement.NotLeaderError
		switch {
		case err == nil || isClear(err):
			c.finish(err)
		case errors.As(err, &notLeader) && notLeader.Leader != "" && notLeader.Leader != host.address && c.redirects < redirectsMost:
			c.redirects++
			c.at(c.day.keeperAt(notLeader.Leader))
		default:
			c.finish(&unansweredError{cause: err})
		}
	})
}

// someKeeper gives one of the keepers whose processes are there, by lot.
func (d *day) someKeeper() *keeperHost {
	var live []*keeperHost
	for _, name := range d.world.names {
		if host := d.keeperOn(name); host != nil {
			live = append(live, host)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[d.world.random.IntN(len(live))]
}

func (d *day) keeperAt(address string) *keeperHost {
	for _, name := range d.world.names {
		if host := d.keeperOn(name); host != nil && host.address == address {
			return host
		}
	}
	return nil
}

// losesAck tells whether an answer to the operator is lost on its way.
func (d *day) losesAck() bool {
	const lost, of = 2, 3
	return d.acksLost && d.world.random.IntN(of) < lost
}

// order is one configuration that the operator sends until it is answered clearly.
type order struct {
	configuration.Order
	version uint64
	done    func(taken bool)
}

// sendOrder sends an order to one keeper after the other.
func (d *day) sendOrder(o *order) {
	w := d.world
	d.checker.sentRaw[string(o.Raw)] = true
	heard := d.history.begin(w.now, configurationCall{base: o.Base, version: o.version, content: d.history.content(o.Raw)})
	send := func(host *keeperHost, answer func(err error)) { host.core.Replace(host.Now(), o.Order, answer) }
	d.call(send, func(err error) {
		heard(w.now, orderVerdict(err))
		d.orderAnswered(o, err)
	})
}

func isClear(err error) bool {
	var invalid *configuration.InvalidError
	var conflict *configuration.ConflictError
	return errors.As(err, &invalid) || errors.As(err, &conflict) || retirementRefused(err)
}

func orderVerdict(err error) configurationAnswer {
	switch {
	case err == nil:
		return configurationAnswer{verdict: taken}
	case isClear(err):
		return configurationAnswer{verdict: refused}
	}
	return configurationAnswer{verdict: unanswered}
}

func (d *day) orderAnswered(o *order, err error) {
	now := d.world.now
	switch {
	case err == nil:
		if taken, known := d.checker.versions[o.version]; known && taken != string(o.Raw) {
			d.checker.breakRule(now, "CONFIG", fmt.Sprintf("two configurations of version %d were acknowledged", o.version))
		}
		d.checker.versions[o.version] = string(o.Raw)
		d.checker.acknowledged(now, o.version)
		o.done(true)
	case isClear(err):
		if d.checker.versions[o.version] == string(o.Raw) {
			d.checker.breakRule(now, "CONFIG", fmt.Sprintf("version %d was acknowledged and then refused", o.version))
		}
		o.done(false)
	default:
		d.world.after(operatorPause, func() { d.sendOrder(o) })
	}
}

// readAgain reads the configuration at one keeper after the other, all day, as far as each answers.
func (d *day) readAgain() {
	w := d.world
	w.after(readingInterval, d.readAgain)
	began := w.now
	known := d.checker.ackedBefore(began)
	d.readOnce(func(raw []byte) {
		d.history.reading(began, w.now, raw)
		if document, err := configuration.Parse(raw); raw != nil && (err != nil || document.Version < known) {
			d.checker.breakRule(w.now, "CONFIG", fmt.Sprintf("an older configuration than %d is read", known))
		}
	})
}

// readOnce reads the configuration at some keeper; done is called where it answers.
func (d *day) readOnce(done func(raw []byte)) {
	var read []byte
	send := func(host *keeperHost, answer func(err error)) {
		host.core.Read(host.Now(), func(raw []byte, err error) {
			read = bytes.Clone(raw)
			answer(err)
		})
	}
	d.call(send, func(err error) {
		if err == nil {
			done(read)
		}
	})
}

// readBack judges the configuration that the operator reads at the end.
func (d *day) readBack(raw []byte) {
	document, err := configuration.Parse(raw)
	if err != nil {
		d.checker.breakRule(d.world.now, "LOST", "the configuration that is read back can't be read: "+err.Error())
		return
	}
	if document.Version < d.checker.acked {
		d.checker.breakRule(d.world.now, "LOST", fmt.Sprintf("version %d was acknowledged, %d is read back", d.checker.acked, document.Version))
	}
	if sent, known := d.checker.versions[document.Version]; known && !bytes.Equal(raw, []byte(sent)) {
		d.checker.breakRule(d.world.now, "CONFIG", fmt.Sprintf("version %d is read back with other bytes", document.Version))
	}
}
