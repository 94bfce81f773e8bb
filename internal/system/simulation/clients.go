package simulation

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
)

// Times of the clients.
const (
	clientWay      = 3 * time.Millisecond
	clientPatience = 1200 * time.Millisecond
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
