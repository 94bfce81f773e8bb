package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"granitewing/internal/lab/client"
	"granitewing/internal/memory"
)

// What clients do.

// arrive begins a job and makes the next one's arrival.
func (p *play) arrive(i int) {
	w := &p.day.Jobs[i]
	p.on(w.At.Microseconds(), func() {
		p.sent++
		p.open++
		rng := rand.New(rand.NewPCG(p.o.Seed^uint64(i)*0x9e3779b97f4a7c15, 12))
		c := &p.day.Classes[w.Class]
		j := &job{Job: w, j: p.day.Clients.New(c.Repeat == "unsafe", c.Repeat == "keyed", c.GiveUp, rng), rng: rng}
		if j.j.Keyed {
			j.key = fmt.Sprintf("%016x", rng.Uint64())
		}
		p.try(j)
		if i+1 < len(p.day.Jobs) {
			p.arrive(i + 1)
		}
	})
}

// pick chooses a dispatcher as the front does.
func (p *play) pick(j *job) *dispatcher {
	for _, any := range []bool{false, true} {
		var can []*dispatcher
		for _, d := range p.disp {
			if (any || d.zone == j.Zone) && p.now >= d.shunned && !(d.quiesced && p.now >= d.quiescedAt+frontDrain) {
				can = append(can, d)
			}
		}
		if len(can) > 0 {
			d := can[j.rng.IntN(len(can))]
			if d.dead {
				d.shunned = p.now + frontNotice // refused; the front notices
				return p.pick(j)
			}
			return d
		}
	}
	return nil
}

// try begins a try of a job.
func (p *play) try(j *job) {
	c := &p.day.Classes[j.Class]
	wait, leaves, marked := j.j.Begin()
	d := p.pick(j)
	if d == nil {
		p.end(j, client.Unsent, 0)
		return
	}
	p.next++
	t := &try{job: j, name: fmt.Sprintf("v%012x", p.next), d: d, wait: wait, leaves: leaves, relays: map[int]*attempt{}}
	if p.o.Log != nil {
		p.o.Log.Sent(p.now, t.name, j.Class, d.number)
	}
	told := wait
	if leaves {
		told = c.GiveUp
	}
	sent := p.now
	p.after(clientDelay, func() {
		if d.dead {
			p.finish(t, client.Broken, 0, "")
			return
		}
		if t.over {
			return
		}
		p.msgs++
		second := int(p.now / 1_000_000)
		for len(p.reached[d.number]) <= second {
			p.reached[d.number] = append(p.reached[d.number], 0)
		}
		p.reached[d.number][second]++
		deadline := p.now + told.Microseconds()
		gen := d.gen
		var cmds []memory.Command
		cmds = d.call(func(now int64) []memory.Command {
			id, out := d.core.Arrive(now, memory.Message{Name: t.name, Class: j.Class, Subject: uint64(j.Set), Hint: j.Hint.Microseconds(),
				Slots: j.Slots, Memory: j.Memory, Repeated: marked}, deadline)
			t.id = id
			return out
		})
		if p.o.Judged != nil && !marked {
			p.o.Judged(p.now, d.number, j.Job, slices.ContainsFunc(cmds, func(c memory.Command) bool { return c.Kind == memory.Answer && c.Verdict == memory.Refused }))
		}
		d.messages[t.id] = t
		d.do(cmds)
		p.on(deadline+expireAfter, func() {
			if d.gen == gen && !d.dead && d.messages[t.id] == t {
				d.do(d.call(func(now int64) []memory.Command { return d.core.Expire(now, t.id) }))
			}
		})
	})
	limit := sent + wait.Microseconds()
	if !leaves {
		limit += answerSlack
	}
	p.on(limit, func() {
		if t.over {
			return
		}
		r := client.Silent
		if leaves {
			r = client.HungUp
		}
		p.finish(t, r, 0, "")
		// The dispatcher sees the client's connection end.
		p.after(clientDelay, func() {
			if !d.dead && d.messages[t.id] == t {
				delete(d.messages, t.id)
				d.do(d.call(func(now int64) []memory.Command { return d.core.HangUp(now, t.id) }))
			}
		})
	})
}

// finish ends a try for its client.
func (p *play) finish(t *try, r client.Result, after time.Duration, content string) {
	if t.over {
		return
	}
	t.over = true
	if p.o.Log != nil {
		p.o.Log.Ended(p.now, t.name, r, content)
	}
	p.end(t.job, r, after)
}

// end ends a try or the whole job.
func (p *play) end(j *job, r client.Result, after time.Duration) {
	wait, again := j.j.Again(r, after)
	if again {
		p.after(max(wait.Microseconds(), 1), func() { p.try(j) })
		return
	}
	j.last = r
	p.outcome(j, p.now)
}
