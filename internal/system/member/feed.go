package member

import (
	"slices"
	"time"

	"granitewing/internal/system/wire"
)

// CatalogAge is the age of the list of workers in the view.
func (c *Client) CatalogAge() time.Duration { return c.loop.Now() - c.catalogAt }

// Push takes a feed update.
func (c *Client) Push(address string, payload []byte) {
	if address != c.keepers[c.current] {
		return
	}
	update, err := wire.DecodeUpdate(payload)
	if err != nil {
		c.events.Fault(err)
		return
	}
	if !update.AppliesAt(c.position) {
		return // one before it was lost: the keeper learns that from the heartbeats
	}
	after, err := c.view.next(update)
	if err != nil {
		c.events.Fault(err)
		return
	}
	before := c.view
	c.view, c.position = after, update.Position
	c.followKeepers()
	c.events.Changed(before, after)
}

// followKeepers takes the keepers that the feed names, besides the one that the session is with and the seeds.
func (c *Client) followKeepers() {
	current := c.keepers[c.current]
	known := append([]string(nil), c.seeds...)
	for address := range c.view.Keepers {
		known = append(known, address)
	}
	known = append(known, current)
	slices.Sort(known)
	c.keepers = slices.Compact(known)
	c.current = slices.Index(c.keepers, current)
}

// SetSeeds takes other seeds, besides what the feed names.
func (c *Client) SetSeeds(keepers []string) {
	c.seeds = slices.Clone(keepers)
	c.followKeepers()
}

// Keepers gives the addresses of all keepers that connections are wanted to.
func (c *Client) Keepers() []string { return c.keepers }

// SetInstances replaces the list of workers by one that the process read itself, when the keepers were silent.
func (c *Client) SetInstances(readAt time.Duration, change func(view *View)) {
	fresh := *c.view
	change(&fresh)
	before := c.view
	c.view = &fresh
	c.catalogAt = max(c.catalogAt, readAt)
	c.events.Changed(before, &fresh)
}
