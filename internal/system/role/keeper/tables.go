package keeper

import (
	"sort"
	"time"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// Keys of the feed. What follows a prefix is the name of the thing.
const (
	KeyConfiguration = "configuration"
	KeyCatalog       = "catalog" // there once the list of workers was read
	KeyRoster        = "roster"  // epoch of the roster of disks
	PrefixMember     = "member/"
	PrefixDisk       = "disk/"
	PrefixDeparted   = "departed/"
	PrefixOwner      = "owner/"
	PrefixInstance   = "instance/"
	PrefixKeeper     = "keeper/"
)

// refreshFeed brings the feed's table to what the shards hold.
func (c *Core) refreshFeed() {
	if document := c.configuration.Current(); document != nil {
		c.feed.Set(KeyConfiguration, document.Raw)
	}
	members := map[string][]byte{}
	for _, role := range []session.Role{session.Carrier, session.Store} {
		for _, member := range c.sessions.Members(role) {
			members[PrefixMember+member.Incarnation] = wire.Encode(&member)
		}
	}
	c.replace(PrefixMember, members)
	disks := map[string][]byte{}
	for id, disk := range c.sessions.Disks() {
		disks[PrefixDisk+id] = wire.Encode(&disk)
	}
	c.replace(PrefixDisk, disks)
	c.feed.Set(KeyRoster, wire.Encode(c.sessions.Epoch()))
	departed := map[string][]byte{}
	for _, gone := range c.sessions.Departed() {
		departed[PrefixDeparted+gone.Incarnation] = wire.Encode(&gone)
	}
	c.replace(PrefixDeparted, departed)
	owners := map[string][]byte{}
	for _, shard := range c.owners {
		for unit, owner := range shard.Owners() {
			owners[PrefixOwner+unit] = wire.Encode(&owner)
		}
	}
	c.replace(PrefixOwner, owners)
}

func (c *Core) replace(prefix string, values map[string][]byte) {
	for _, key := range c.feed.Keys(prefix) {
		if _, kept := values[key]; !kept {
			c.feed.Delete(key)
		}
	}
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		c.feed.Set(key, values[key])
	}
}

// WantsCatalog tells whether the platform's list should be read now, and marks the reading as begun. Only the leader of
// the sessions reads: it is the one that members follow.
func (c *Core) WantsCatalog(now time.Duration) bool {
	c.now = now
	if !c.groups[SessionGroup].node.Leading() || now < c.catalogDue {
		return false
	}
	c.catalogDue = now + catalogInterval
	if c.lacksWorkers() {
		c.catalogDue = now + catalogHurry
	}
	return true
}

// lacksWorkers tells whether some service that is not static has no worker that is ready.
func (c *Core) lacksWorkers() bool {
	document := c.configuration.Current()
	if document == nil {
		return false
	}
	ready := map[string]bool{}
	for _, instance := range c.instances {
		ready[instance.Service] = ready[instance.Service] || !instance.Draining
	}
	for name, service := range document.Services {
		if service.Static == "" && !ready[name] {
			return true
		}
	}
	return false
}

// CatalogRead takes a whole reading of the platform's list, begun at a time.
func (c *Core) CatalogRead(now, begun time.Duration, reading map[string]catalog.Instance) {
	c.now = now
	c.instances = catalog.Merge(c.instances, reading)
	c.catalogKnown = true
	c.catalogRead = begun
	values := make(map[string][]byte, len(c.instances))
	for id, instance := range c.instances {
		values[PrefixInstance+id] = wire.Encode(&instance)
	}
	c.replace(PrefixInstance, values)
	c.feed.Set(KeyCatalog, []byte{1})
}

// CatalogAge is the age of the list of workers; a long one where there is none.
func (c *Core) CatalogAge() time.Duration {
	if !c.catalogKnown {
		return time.Hour
	}
	return c.now - c.catalogRead
}
