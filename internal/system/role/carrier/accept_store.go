package carrier

// store sends the message to as many stores as it has to lie on.
func (a *acceptance) store() {
	c := a.core
	for _, disk := range c.stores.choose() {
		a.put(disk)
	}
	if !c.enough(a.tried) {
		a.giveUp()
		return
	}
	c.env.After(hedgeAfter, a.hedge)
	c.env.After(a.until-c.env.Now(), a.expire)
}

func (a *acceptance) put(disk string) {
	c := a.core
	a.tried = append(a.tried, disk)
	a.open++
	c.stores.put(disk, a.message, func(err error) {
		a.open--
		if err != nil {
			a.failedPut()
			return
		}
		a.holders = append(a.holders, disk)
		if !a.stored && !a.done && c.enough(a.holders) {
			a.stored = true
			a.confirm()
		}
	})
}

// failedPut goes to another store at once.
func (a *acceptance) failedPut() {
	if a.done || a.stored {
		return
	}
	c := a.core
	if another := c.stores.another(a.tried, a.holders); another != "" {
		a.put(another)
		return
	}
	if a.open == 0 {
		a.giveUp()
	}
}

func (a *acceptance) hedge() {
	if a.done || a.stored {
		return
	}
	if another := a.core.stores.another(a.tried, a.holders); another != "" {
		a.put(another)
	}
}

func (a *acceptance) expire() {
	if !a.done {
		a.giveUp()
	}
}

// giveUp answers a submission that could not be stored in time. Where every store that may have it has made it void, it
// never runs, and the client is told so; else nothing is promised.
func (a *acceptance) giveUp() {
	c := a.core
	a.done = true
	if len(a.tried) == 0 {
		c.refuse(a.answer, "too few stores are reachable")
		return
	}
	if a.stored {
		// It lies on enough disks, and runs; only its owner has not taken it yet.
		a.unclear()
		return
	}
	left, failed, answered := len(a.tried), false, false
	settle := func(err error) {
		left--
		failed = failed || err != nil
		if left > 0 || answered {
			return
		}
		answered = true
		if failed {
			a.unclear()
			return
		}
		c.refuse(a.answer, "it could not be stored in time")
	}
	timeout := a.voidTime()
	for _, disk := range a.tried {
		c.stores.void(disk, a.message.ID, timeout, settle)
	}
}

func (a *acceptance) unclear() {
	a.core.figures.Unclear++
	a.answer(Answer{Verdict: Unclear, Reason: "it could not be stored in time"})
}
