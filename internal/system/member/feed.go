package member

import (
	"slices"
	"time"

	"granitewing/internal/system/wire"
)

// CatalogAge returns the time since the list of workers in the view was read from the platform.
func (c *Client) CatalogAge() time.Duration { return c.loop.Now() - c.catalogReadAt }

// Push applies an encoded feed update from the peer at address. Updates from any keeper but the session's are ignored,
// and so are updates that do not connect to the client's position in the feed.
func (c *Client) Push(address string, payload []byte) {
	if address != c.keepers[c.keeperIndex] {
		return
	}
	update, err := wire.DecodeUpdate(payload)
	if err != nil {
		c.events.Fault(err)
		return
	}
	if !update.AppliesAt(c.position) {
		return // an earlier update was lost: the keeper sees the client's position in the heartbeats and resends
	}
	after, err := c.view.withUpdate(update)
	if err != nil {
		c.events.Fault(err)
		return
	}
	before := c.view
	c.view, c.position = after, update.Position
	c.mergeKeepers()
	c.events.Changed(before, after)
}

// mergeKeepers sets the keepers to the union of the seeds, those in the feed and the one that the session uses.
func (c *Client) mergeKeepers() {
	current := c.keepers[c.keeperIndex]
	addresses := append([]string(nil), c.seeds...)
	for address := range c.view.Keepers {
		addresses = append(addresses, address)
	}
	addresses = append(addresses, current)
	slices.Sort(addresses)
	c.keepers = slices.Compact(addresses)
	c.keeperIndex = slices.Index(c.keepers, current)
}

// SetSeeds replaces the keepers from the settings. Those in the feed are kept.
func (c *Client) SetSeeds(keepers []string) {
	c.seeds = slices.Clone(keepers)
	c.mergeKeepers()
}

// Keepers returns the addresses of all known keepers; the process should be connected to each of them.
func (c *Client) Keepers() []string { return c.keepers }

// SetInstances applies change, which replaces the list of workers, to a copy of the view. A process uses it when the
// keepers do not respond and it has read the list from the platform itself, at readAt on the monotonic clock.
func (c *Client) SetInstances(readAt time.Duration, change func(view *View)) {
	updated := *c.view
	change(&updated)
	before := c.view
	c.view = &updated
	c.catalogReadAt = max(c.catalogReadAt, readAt)
	c.events.Changed(before, &updated)
}
