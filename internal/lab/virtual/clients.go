package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/lab/client"
)

// This file models the clients and the front-end load balancer that spreads their requests over the dispatchers.

// scheduleArrival schedules the arrival of job i, which starts the job and schedules the next arrival.
func (sim *simulation) scheduleArrival(i int) {
	w := &sim.day.Jobs[i]
	sim.schedule(w.At.Microseconds(), func() {
		sim.arrived++
		sim.openJobs++
		rng := rand.New(rand.NewPCG(sim.options.Seed^uint64(i)*0x9e3779b97f4a7c15, 12))
		c := &sim.day.Classes[w.Class]
		j := &job{Job: w, client: sim.day.Clients.New(c.Repeat == "unsafe", c.Repeat == "keyed", c.GiveUp, rng), rng: rng}
		if j.client.Keyed {
			j.key = fmt.Sprintf("%016x", rng.Uint64())
		}
		sim.sendRequest(j)
		if i+1 < len(sim.day.Jobs) {
			sim.scheduleArrival(i + 1)
		}
	})
}

// pickDispatcher chooses a dispatcher as the front-end load balancer does: at random among those of the client's zone,
// or among all if that zone has none. It returns nil if no dispatcher is in rotation.
func (sim *simulation) pickDispatcher(j *job) *dispatcher {
	for _, anyZone := range []bool{false, true} {
		var candidates []*dispatcher
		for _, d := range sim.dispatchers {
			if (anyZone || d.zone == j.Zone) && sim.now >= d.avoidedUntil && !(d.draining && sim.now >= d.drainingSince+frontEndDrainDelay) {
				candidates = append(candidates, d)
			}
		}
		if len(candidates) > 0 {
			d := candidates[j.rng.IntN(len(candidates))]
			if d.down {
				// The connection is refused, and the front end ejects the dispatcher.
				d.avoidedUntil = sim.now + frontEndRetryDelay
				return sim.pickDispatcher(j)
			}
			return d
		}
	}
	return nil
}

// sendRequest sends one request of a job to a dispatcher.
func (sim *simulation) sendRequest(j *job) {
	c := &sim.day.Classes[j.Class]
	timeout, hangsUp, repeated := j.client.Begin()
	d := sim.pickDispatcher(j)
	if d == nil {
		sim.retryOrComplete(j, client.Unsent, 0)
		return
	}
	sim.lastRequest++
	req := &clientRequest{job: j, name: fmt.Sprintf("v%012x", sim.lastRequest), dispatcher: d, timeout: timeout, hangsUp: hangsUp, attempts: map[int]*attempt{}}
	if sim.options.Log != nil {
		sim.options.Log.Sent(sim.now, req.name, j.Class, d.number)
	}
	timeLeft := timeout // that the dispatcher gets to answer
	if hangsUp {
		timeLeft = c.GiveUp
	}
	sent := sim.now
	sim.after(clientDelay, func() {
		if d.down {
			sim.finishRequest(req, client.Broken, 0, "")
			return
		}
		if req.ended {
			return
		}
		sim.requestsReceived++
		second := int(sim.now / 1_000_000)
		for len(sim.receivedPerSecond[d.number]) <= second {
			sim.receivedPerSecond[d.number] = append(sim.receivedPerSecond[d.number], 0)
		}
		sim.receivedPerSecond[d.number][second]++
		deadline := sim.now + timeLeft.Microseconds()
		gen := d.generation
		var cmds []dispatch.Command
		cmds = d.callCore(func(now int64) []dispatch.Command {
			id, out := d.core.Arrive(now, dispatch.Message{Name: req.name, Class: j.Class, Subject: uint64(j.Set), Hint: j.Hint.Microseconds(),
				Slots: j.Slots, Memory: j.Memory, Repeated: repeated}, deadline)
			req.id = id
			return out
		})
		if sim.options.OnVerdict != nil && !repeated {
			sim.options.OnVerdict(sim.now, d.number, j.Job, slices.ContainsFunc(cmds, func(c dispatch.Command) bool { return c.Kind == dispatch.Answer && c.Verdict == dispatch.Refused }))
		}
		d.requests[req.id] = req
		d.execute(cmds)
		sim.schedule(deadline+expireAfter, func() {
			if d.generation == gen && !d.down && d.requests[req.id] == req {
				d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.Expire(now, req.id) }))
			}
		})
	})
	limit := sent + timeout.Microseconds()
	if !hangsUp {
		limit += answerTolerance
	}
	sim.schedule(limit, func() {
		if req.ended {
			return
		}
		r := client.Silent
		if hangsUp {
			r = client.HungUp
		}
		sim.finishRequest(req, r, 0, "")
		// The dispatcher sees the client's connection end.
		sim.after(clientDelay, func() {
			if !d.down && d.requests[req.id] == req {
				delete(d.requests, req.id)
				d.execute(d.callCore(func(now int64) []dispatch.Command { return d.core.ClientGone(now, req.id) }))
			}
		})
	})
}

// finishRequest ends a request as its client sees it. A request that has already ended is left alone.
func (sim *simulation) finishRequest(req *clientRequest, r client.Result, after time.Duration, content string) {
	if req.ended {
		return
	}
	req.ended = true
	if sim.options.Log != nil {
		sim.options.Log.Ended(sim.now, req.name, r, content)
	}
	sim.retryOrComplete(req.job, r, after)
}

// retryOrComplete retries the job if the client's retry policy allows it, or else completes the job.
func (sim *simulation) retryOrComplete(j *job, r client.Result, after time.Duration) {
	wait, again := j.client.Again(r, after)
	if again {
		sim.after(max(wait.Microseconds(), 1), func() { sim.sendRequest(j) })
		return
	}
	j.lastResult = r
	sim.recordOutcome(j, sim.now)
}
