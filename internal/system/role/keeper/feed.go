package keeper

import (
	"sort"
	"time"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// Keys of the feed. A prefix is followed by the name or identity of the item.
const (
	KeyConfiguration = "configuration" // the configuration as it was sent
	KeyCatalog       = "catalog"       // set once the list of workers was read
	KeyRoster        = "roster"        // epoch of the roster of disks
	PrefixMember     = "member/"       // by incarnation: session.Member
	PrefixDisk       = "disk/"         // by disk identity: session.Disk
	PrefixDeparted   = "departed/"     // by incarnation: session.Departed
	PrefixOwner      = "owner/"        // by unit: ownership.Owner
	PrefixInstance   = "instance/"     // by instance: catalog.Instance
	PrefixKeeper     = "keeper/"       // by address of a keeper
)

// refreshFeed updates the feed to the state of all groups.
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
	c.replaceFeedKeys(PrefixMember, members)
	disks := map[string][]byte{}
	for id, disk := range c.sessions.Disks() {
		disks[PrefixDisk+id] = wire.Encode(&disk)
	}
	c.replaceFeedKeys(PrefixDisk, disks)
	c.feed.Set(KeyRoster, wire.Encode(c.sessions.Epoch()))
	departed := map[string][]byte{}
	for _, gone := range c.sessions.Departed() {
		departed[PrefixDeparted+gone.Incarnation] = wire.Encode(&gone)
	}
	c.replaceFeedKeys(PrefixDeparted, departed)
	owners := map[string][]byte{}
	for _, shard := range c.owners {
		for unit, owner := range shard.Owners() {
			owners[PrefixOwner+unit] = wire.Encode(&owner)
		}
	}
	c.replaceFeedKeys(PrefixOwner, owners)
}

// replaceFeedKeys replaces all feed entries with a prefix by values.
func (c *Core) replaceFeedKeys(prefix string, values map[string][]byte) {
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

// CatalogReadDue reports whether the driver should read the platform's list of workers now, and schedules the next
// reading. Only the leader of the session group reads the list, as it is the one that members follow.
func (c *Core) CatalogReadDue(now time.Duration) bool {
	c.now = now
	if !c.groups[SessionGroup].node.LeaderReady() || now < c.nextCatalogRead {
		return false
	}
	c.nextCatalogRead = now + catalogInterval
	if c.lacksWorkers() {
		c.nextCatalogRead = now + catalogUrgentInterval
	}
	return true
}

// lacksWorkers reports whether some service without a static address has no ready worker.
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

// UpdateCatalog takes a complete reading of the platform's list of workers that started at begun.
func (c *Core) UpdateCatalog(now, begun time.Duration, reading map[string]catalog.Instance) {
	c.now = now
	c.instances = catalog.Merge(c.instances, reading)
	c.catalogKnown = true
	c.catalogReadAt = begun
	values := make(map[string][]byte, len(c.instances))
	for id, instance := range c.instances {
		values[PrefixInstance+id] = wire.Encode(&instance)
	}
	c.replaceFeedKeys(PrefixInstance, values)
	c.feed.Set(KeyCatalog, []byte{1})
}

// CatalogAge returns the age of the list of workers, or one hour if there is none.
func (c *Core) CatalogAge() time.Duration {
	if !c.catalogKnown {
		return time.Hour
	}
	return c.now - c.catalogReadAt
}
