package keeper

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/configuration"
)

// Replace takes an operator's configuration. The answer is nil once a majority has synced it.
func (c *Core) Replace(now time.Duration, order configuration.Order, done func(err error)) {
	c.now = now
	g := c.groups[ConfigurationGroup]
	if !g.node.Leading() {
		done(c.notLeader(ConfigurationGroup))
		return
	}
	known, err := c.configuration.Check(order)
	if err != nil {
		c.confirm(ConfigurationGroup, func(confirmation error) { done(firstError(confirmation, c.judgeAgain(order))) })
		return
	}
	if known {
		c.confirm(ConfigurationGroup, done)
		return
	}
	data, err := msgpack.Marshal(&order)
	if err != nil {
		done(&configuration.InvalidError{Reason: err.Error()})
		return
	}
	c.propose(ConfigurationGroup, data, done)
}

// judgeAgain judges an order by the state that a confirmed leader has.
func (c *Core) judgeAgain(order configuration.Order) error {
	known, err := c.configuration.Check(order)
	if known {
		return nil
	}
	return err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// confirm passes an empty entry through a group's log: once it is applied, a majority has said that this keeper still leads,
// and the state here is the newest there is.
func (c *Core) confirm(id int, done func(err error)) { c.propose(id, nil, done) }

// Read gives the newest configuration as it was sent.
func (c *Core) Read(now time.Duration, done func(raw []byte, err error)) {
	c.now = now
	g := c.groups[ConfigurationGroup]
	if !g.node.Leading() {
		done(nil, c.notLeader(ConfigurationGroup))
		return
	}
	c.confirm(ConfigurationGroup, func(err error) {
		if err != nil || c.configuration.Current() == nil {
			done(nil, err)
			return
		}
		done(c.configuration.Current().Raw, nil)
	})
}

func (c *Core) applyOrder(_ uint64, data []byte) error {
	var order configuration.Order
	if err := msgpack.Unmarshal(data, &order); err != nil {
		return &configuration.InvalidError{Reason: err.Error()}
	}
	return c.configuration.Apply(order)
}
