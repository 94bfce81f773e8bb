package keeper

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/configuration"
)

// ReplaceConfiguration replaces the configuration by an operator's order. done gets nil once a majority has synced it.
// A repeated order is acknowledged again. An order that does not fit the current configuration is refused only after a
// majority has confirmed that this keeper still leads.
func (c *Core) ReplaceConfiguration(now time.Duration, order configuration.Order, done func(err error)) {
	c.now = now
	g := c.groups[ConfigurationGroup]
	if !g.node.LeaderReady() {
		done(c.notLeader(ConfigurationGroup))
		return
	}
	known, err := c.configuration.Validate(order)
	if err != nil {
		c.confirm(ConfigurationGroup, func(confirmation error) { done(firstError(confirmation, c.recheckOrder(order))) })
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

// recheckOrder checks an order against the state of a leader that a majority has confirmed. It returns nil for an
// order that was taken before.
func (c *Core) recheckOrder(order configuration.Order) error {
	known, err := c.configuration.Validate(order)
	if known {
		return nil
	}
	return err
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// confirm commits an empty entry to a group's log. Once it is applied, a majority has confirmed that this keeper
// leads, and the state here is up to date.
func (c *Core) confirm(id int, done func(err error)) { c.propose(id, nil, done) }

// ReadConfiguration passes the current configuration to done, in the bytes in which it was sent; nil if there is none.
// A majority has confirmed that it is current.
func (c *Core) ReadConfiguration(now time.Duration, done func(raw []byte, err error)) {
	c.now = now
	g := c.groups[ConfigurationGroup]
	if !g.node.LeaderReady() {
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

// applyOrder applies a committed configuration order.
func (c *Core) applyOrder(_ uint64, data []byte) error {
	var order configuration.Order
	if err := msgpack.Unmarshal(data, &order); err != nil {
		return &configuration.InvalidError{Reason: err.Error()}
	}
	return c.configuration.Apply(order)
}
