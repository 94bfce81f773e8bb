package simulation

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/role/keeper"
)

// Times of the clients and the operator.
const (
	clientWay      = 3 * time.Millisecond
	clientPatience = 1200 * time.Millisecond
	operatorPause  = 300 * time.Millisecond
	operatorWait   = time.Second
	readyInterval  = time.Second
	missesToLeave  = 2
	maxDelay       = 14 * time.Second
)

// traffic is the clients' messages of one route.
type traffic struct {
	host    string
	service string
	every   time.Duration
	keys    int // ordering keys; 0 on routes without order
	delayed int // one in so many is delayed; 0 is none
	called  bool
}

// startTraffic sends until a time.
func (d *day) startTraffic(t traffic, until time.Duration) {
	w := d.world
	number := 0
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		number++
		d.sendMessage(t, number)
		every := t.every / time.Duration(max(1, d.burst[t.service]))
		w.after(every/2+time.Duration(w.random.Int64N(int64(every))), next)
	}
	w.after(t.every, next)
}

func (d *day) sendMessage(t traffic, number int) {
	w := d.world
	target := d.chooseCarrier()
	r := &record{id: fmt.Sprintf("%s-%05d", t.service, number), service: t.service}
	m := message.Message{ID: r.id, Host: t.host, Method: "POST", Target: "/in/1", Body: []byte("body of " + r.id)}
	if t.keys > 0 {
		r.key = fmt.Sprintf("k%d", w.random.IntN(t.keys))
		m.Key = r.key
	}
	if t.delayed > 0 && w.random.IntN(t.delayed) == 0 {
		r.delay = time.Duration(w.random.Int64N(int64(maxDelay)))
		m.Delay = r.delay
	}
	if t.called {
		m.Callback, r.callback = "http://10.8.0.1:80/done", true
	}
	d.checker.sent(w.now, r)
	if target == nil {
		return
	}
	w.after(clientWay, func() {
		if !target.alive || target.closed || target.machine.dark || target.machine.frozen {
			return
		}
		m.Accepted = target.Wall()
		submission := &carrier.Submission{Message: m, Path: "/in/1", Left: clientPatience}
		target.core.Submit(submission, func(answer carrier.Answer) { d.answerClient(target, r, answer) })
	})
}

// answerClient takes an answer to the client, where the carrier's machine still sends.
func (d *day) answerClient(from *carrierHost, r *record, answer carrier.Answer) {
	status := map[carrier.Verdict]int{carrier.Accepted: statusAccepted, carrier.Refused: statusRefused,
		carrier.NoRoute: 404, carrier.Unclear: 504}[answer.Verdict]
	d.world.after(clientWay, func() {
		if from.machine.dark {
			return
		}
		d.checker.answered(d.world.now, r.id, status)
	})
}

// chooseCarrier gives one of the carriers that are in, or of all where fewer than half are.
func (d *day) chooseCarrier() *carrierHost {
	var in, all []*carrierHost
	for _, name := range d.world.names {
		host := d.carriers[name]
		if host == nil || !host.alive {
			continue
		}
		all = append(all, host)
		if d.misses[name] < missesToLeave {
			in = append(in, host)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	if len(in) == 0 {
		return nil
	}
	return in[d.world.random.IntN(len(in))]
}

// probe asks every carrier whether it is ready.
func (d *day) probe() {
	for name, host := range d.carriers {
		if host.alive && !host.machine.dark && !host.machine.frozen && host.core.Ready() {
			d.misses[name] = 0
			continue
		}
		d.misses[name]++
	}
	d.world.after(readyInterval, d.probe)
}

// order is one configuration that the operator sends until it is answered clearly.
type order struct {
	configuration.Order
	version uint64
	turn    int
	done    func(taken bool)
}

// sendOrder sends an order to one keeper after the other.
func (d *day) sendOrder(o *order, toward string) {
	w := d.world
	host := d.keeperAt(toward)
	if host == nil {
		host = d.someKeeper(o.turn)
	}
	o.turn++
	again := func() { w.after(operatorPause, func() { d.sendOrder(o, "") }) }
	if host == nil {
		again()
		return
	}
	answered := false
	heard := d.history.begin(w.now, configurationCall{base: o.Base, version: o.version, content: d.history.content(o.Raw)})
	answer := func(err error) {
		if answered || host.machine.dark || d.losesAck() {
			return
		}
		answered = true
		w.after(clientWay, func() {
			heard(w.now, orderVerdict(err))
			d.orderAnswered(o, err, again)
		})
	}
	w.after(clientWay, func() {
		host.run(func() {
			host.core.Replace(host.Now(), o.Order, answer)
			host.goOn()
		})
	})
	w.after(operatorWait, func() {
		if !answered {
			answered = true
			again()
		}
	})
}

// losesAck tells whether an answer to the operator is lost on its way.
func (d *day) losesAck() bool {
	const lost, of = 2, 3
	return d.acksLost && d.world.random.IntN(of) < lost
}

func orderVerdict(err error) configurationAnswer {
	var invalid *configuration.InvalidError
	var conflict *configuration.ConflictError
	switch {
	case err == nil:
		return configurationAnswer{verdict: taken}
	case errors.As(err, &invalid), errors.As(err, &conflict):
		return configurationAnswer{verdict: refused}
	}
	return configurationAnswer{verdict: unanswered}
}

func (d *day) orderAnswered(o *order, err error, again func()) {
	var invalid *configuration.InvalidError
	var conflict *configuration.ConflictError
	switch {
	case err == nil:
		if taken, known := d.checker.versions[o.version]; known && taken != string(o.Raw) {
			d.checker.breakRule(d.world.now, "CONFIG", fmt.Sprintf("two configurations of version %d were acknowledged", o.version))
		}
		d.checker.versions[o.version] = string(o.Raw)
		d.checker.acked = max(d.checker.acked, o.version)
		o.done(true)
	case errors.As(err, &invalid), errors.As(err, &conflict):
		if d.checker.versions[o.version] == string(o.Raw) {
			d.checker.breakRule(d.world.now, "CONFIG", fmt.Sprintf("version %d was acknowledged and then refused", o.version))
		}
		o.done(false)
	default:
		again()
	}
}

func (d *day) keeperAt(address string) *keeperHost {
	for _, name := range d.world.names {
		if host := d.keepers[name]; host != nil && host.alive && host.address == address {
			return host
		}
	}
	return nil
}

// someKeeper gives the keeper that leads the configuration as the next one knows, as a redirect would.
func (d *day) someKeeper(turn int) *keeperHost {
	var live []*keeperHost
	for _, name := range d.world.names {
		if host := d.keepers[name]; host != nil && host.alive && !host.machine.frozen && !host.machine.dark {
			live = append(live, host)
		}
	}
	if len(live) == 0 {
		return nil
	}
	host := live[turn%len(live)]
	leader, self := host.core.Leader(keeper.ConfigurationGroup)
	if led := d.keeperAt(leader); !self && led != nil {
		return led
	}
	return host
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
