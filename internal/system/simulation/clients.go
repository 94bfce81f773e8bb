package simulation

import (
	"fmt"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
)

// Timing of the clients and of the load balancer in front of the carriers.
const (
	clientLatency = 3 * time.Millisecond
	// clientTimeout is how long a client waits for the answer to a submission.
	clientTimeout = 1200 * time.Millisecond
	probeInterval = time.Second
	// failedProbesToRemove is the number of failed readiness probes in a row after which the load balancer removes a
	// carrier.
	failedProbesToRemove = 2
	// defaultMaxDelay is the longest delay of a delayed message if a scenario gives none.
	defaultMaxDelay = 14 * time.Second
)

// traffic describes the messages that clients send to one route.
type traffic struct {
	host         string
	service      string
	interval     time.Duration
	ordered      bool // its route is ordered; each message has one of orderedKeys keys
	keyed        bool // its messages have the same keys although its route is not ordered
	delayedOneIn int  // one in this many messages is delayed; 0 means none
	callback     bool
}

// startTraffic sends messages until a time.
func (sim *simulation) startTraffic(t traffic, until time.Duration) {
	w := sim.world
	number := 0
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		number++
		sim.sendMessage(t, number)
		every := t.interval / time.Duration(max(1, sim.burstFactors[t.service]))
		w.after(every/2+time.Duration(w.random.Int64N(int64(every))), next)
	}
	w.after(t.interval, next)
}

func (sim *simulation) sendMessage(t traffic, number int) {
	w := sim.world
	target := sim.chooseCarrier()
	r := &messageRecord{id: fmt.Sprintf("%s-%05d", t.service, number), service: t.service, ordered: t.ordered}
	if t.ordered {
		r.key = keyName(w.random.IntN(orderedKeys))
	}
	if t.keyed {
		r.key = keyName(number % orderedKeys)
	}
	m := message.Message{ID: r.id, Host: t.host, Method: "POST", Target: "/in/1", Key: r.key, Body: []byte("body of " + r.id)}
	r.request = request{method: m.Method, target: m.Target, id: m.ID, key: m.Key, body: string(m.Body)}
	if t.delayedOneIn > 0 && w.random.IntN(t.delayedOneIn) == 0 {
		r.delay = time.Duration(w.random.Int64N(int64(sim.maxDelay)))
		m.Delay = r.delay
	}
	if t.callback {
		m.Callback, r.callback = "http://10.8.0.1:80/done", true
	}
	sim.checker.messageSent(w.now, r)
	if target == nil {
		return
	}
	w.after(clientLatency, func() {
		if !target.alive || target.closedToClients || target.machine.poweredOff || target.machine.frozen {
			return
		}
		m.Accepted = target.WallMillis()
		submission := &carrier.Submission{Message: m, Path: "/in/1", ClientTimeout: clientTimeout}
		target.core.Submit(submission, func(answer carrier.Answer) { sim.deliverAnswer(target, r, answer) })
	})
}

func keyName(number int) string { return fmt.Sprintf("k%d", number) }

// deliverAnswer delivers the answer to the client, unless the carrier's machine has no power.
func (sim *simulation) deliverAnswer(from *carrierHost, r *messageRecord, answer carrier.Answer) {
	status := map[carrier.Verdict]int{carrier.Accepted: statusAccepted, carrier.Refused: statusRefused,
		carrier.NoRoute: 404, carrier.Indeterminate: 504}[answer.Verdict]
	sim.world.after(clientLatency, func() {
		if from.machine.poweredOff {
			return
		}
		sim.checker.messageAnswered(sim.world.now, r.id, status)
	})
}

// chooseCarrier returns a random carrier among those in the load balancer, or among all live ones if fewer than half
// are in.
func (sim *simulation) chooseCarrier() *carrierHost {
	var inRotation, all []*carrierHost
	for _, name := range sim.world.names {
		host := sim.carriers[name]
		if host == nil || !host.alive {
			continue
		}
		all = append(all, host)
		if sim.failedProbes[name] < failedProbesToRemove {
			inRotation = append(inRotation, host)
		}
	}
	if 2*len(inRotation) < len(all) {
		inRotation = all
	}
	if len(inRotation) == 0 {
		return nil
	}
	return inRotation[sim.world.random.IntN(len(inRotation))]
}

// probeReadiness probes the readiness of every carrier, as the load balancer does.
func (sim *simulation) probeReadiness() {
	for name, host := range sim.carriers {
		if host.alive && !host.machine.poweredOff && !host.machine.frozen && host.core.Ready() {
			sim.failedProbes[name] = 0
			continue
		}
		sim.failedProbes[name]++
	}
	sim.world.after(probeInterval, sim.probeReadiness)
}
