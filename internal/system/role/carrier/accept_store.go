package carrier

// store sends the message to as many stores as it must be stored on.
func (a *acceptance) store() {
	c := a.core
	for _, disk := range c.stores.choose() {
		a.put(disk)
	}
	if !c.enough(a.attempted) {
		a.giveUp()
		return
	}
	c.env.After(hedgeDelay, a.hedge)
	c.env.After(a.deadline-c.env.Now(), a.expire)
}

func (a *acceptance) put(disk string) {
	c := a.core
	a.attempted = append(a.attempted, disk)
	a.pendingPuts++
	c.stores.put(disk, a.message, func(err error) {
		a.pendingPuts--
		if err != nil {
			a.putFailed()
			return
		}
		a.holders = append(a.holders, disk)
		if !a.stored && !a.done && c.enough(a.holders) {
			a.stored = true
			a.confirm()
		}
	})
}

// putFailed sends the message to another store at once.
func (a *acceptance) putFailed() {
	if a.done || a.stored {
		return
	}
	c := a.core
	if another := c.stores.another(a.attempted, a.holders); another != "" {
		a.put(another)
		return
	}
	if a.pendingPuts == 0 {
		a.giveUp()
	}
}

func (a *acceptance) hedge() {
	if a.done || a.stored {
		return
	}
	if another := a.core.stores.another(a.attempted, a.holders); another != "" {
		a.put(another)
	}
}

func (a *acceptance) expire() {
	if !a.done {
		a.giveUp()
	}
}

// giveUp answers a submission that could not be stored in time. If every store that may hold the message has
// cancelled it, the message never runs and the submission is refused. Otherwise the answer is Indeterminate.
func (a *acceptance) giveUp() {
	c := a.core
	a.done = true
	if len(a.attempted) == 0 {
		c.refuse(a.answer, "too few stores are reachable")
		return
	}
	if a.stored {
		// The message is on enough disks and will run; only its owner has not confirmed it yet.
		a.answerUnclear()
		return
	}
	remaining, failed, answered := len(a.attempted), false, false
	settle := func(err error) {
		remaining--
		failed = failed || err != nil
		if remaining > 0 || answered {
			return
		}
		answered = true
		if failed {
			a.answerUnclear()
			return
		}
		c.refuse(a.answer, "it could not be stored in time")
	}
	timeout := a.cancelTimeout()
	for _, disk := range a.attempted {
		c.stores.cancel(disk, a.message.ID, timeout, settle)
	}
}

func (a *acceptance) answerUnclear() {
	a.core.figures.Indeterminate++
	a.answer(Answer{Verdict: Indeterminate, Reason: "it could not be stored in time"})
}
