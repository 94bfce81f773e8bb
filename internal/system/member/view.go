// Package member is the client side of fleet membership, for carriers and stores.
//
// A Client keeps one session with the leader of the keepers. It opens the session, renews its lease by heartbeats,
// follows the leader when it changes, and starts a session under a new incarnation after the keepers have ended the old
// one. A process may act on what it owns only while Client.LeaseValid returns true.
//
// The keeper pushes a feed of changes to each open session. The client applies them to a View, an immutable snapshot of
// the fleet: members, disks, owners of units, workers and the configuration. Events report changes of both.
package member

import (
	"strings"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/configuration"
	"granitewing/internal/system/feed"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// View is what a process knows of the fleet. A view is immutable: each update yields a new one.
type View struct {
	Table        *configuration.Table        // routes requests; nil before the first configuration
	Members      map[string]session.Member   // live carriers and stores, by incarnation
	Disks        map[string]session.Disk     // by disk identity
	Epoch        uint64                      // of the roster of disks
	Departed     map[string]session.Departed // carriers that left messages behind, by incarnation
	Owners       map[string]ownership.Owner  // by unit
	Instances    map[string]catalog.Instance // workers, by instance ID
	Keepers      map[string]bool             // set of addresses
	CatalogKnown bool                        // the list of workers was read at least once
	Snapshots    uint64                      // how many updates replaced everything; what happened before them was not seen
}

func emptyView() *View {
	return &View{Members: map[string]session.Member{}, Disks: map[string]session.Disk{},
		Departed: map[string]session.Departed{}, Owners: map[string]ownership.Owner{},
		Instances: map[string]catalog.Instance{}, Keepers: map[string]bool{}}
}

// copyMap returns a copy with room for another entry.
func copyMap[V any](from map[string]V) map[string]V {
	to := make(map[string]V, len(from)+1)
	for key, value := range from {
		to[key] = value
	}
	return to
}

// copiedTables records which maps of a new view are already copies, so that an update copies only those that it
// changes.
type copiedTables struct{ members, disks, departed, owners, instances, keepers bool }

// maxRetainedOwners is the number of ownership records in a view up to which it retains records that the feed drops. In a
// view with more, a record that the feed drops is not retained.
const maxRetainedOwners = 8192

// withUpdate returns the view after an update. It never replaces a configuration by an older one, nor an ownership
// record by an older one or by none. A keeper that has just become the leader may lack an ownership shard for a while,
// or lag behind in it. A process that accepted its stale records could start again under a fencing token that it, or a
// later owner, has already used.
func (v *View) withUpdate(update feed.Update) (*View, error) {
	updated := *v
	var copied copiedTables
	if update.Snapshot {
		updated.Snapshots++
		empty := emptyView()
		updated.Members, updated.Disks, updated.Departed = empty.Members, empty.Disks, empty.Departed
		updated.Keepers = empty.Keepers
		copied = copiedTables{members: true, disks: true, departed: true, keepers: true}
		if len(v.Owners) > maxRetainedOwners {
			updated.Owners, copied.owners = empty.Owners, true
		}
		if setsKey(update.Changes, keeper.KeyCatalog) {
			updated.Instances = empty.Instances
			copied.instances = true
		}
	}
	for _, change := range update.Changes {
		if err := updated.applyChange(v, change, &copied); err != nil {
			return nil, err
		}
	}
	return &updated, nil
}

// setsKey reports whether changes contain a value for key.
func setsKey(changes []feed.Change, key string) bool {
	for _, change := range changes {
		if change.Key == key && change.Value != nil {
			return true
		}
	}
	return false
}

// applyChange applies one change to v, a copy of before whose maps are shared with it unless copied says otherwise.
// Keys of unknown kinds are ignored.
func (v *View) applyChange(before *View, change feed.Change, copied *copiedTables) error {
	prefix, name := splitKey(change.Key)
	switch prefix {
	case keeper.KeyConfiguration:
		return v.applyConfiguration(change.Value)
	case keeper.KeyCatalog:
		v.CatalogKnown = true
	case keeper.PrefixMember:
		return setEntry(&v.Members, &copied.members, name, change.Value)
	case keeper.PrefixDisk:
		return setEntry(&v.Disks, &copied.disks, name, change.Value)
	case keeper.KeyRoster:
		var epoch uint64
		if err := wire.Decode(wire.FeedUpdate, change.Value, &epoch); err != nil {
			return err
		}
		v.Epoch = max(v.Epoch, epoch)
	case keeper.PrefixDeparted:
		return setEntry(&v.Departed, &copied.departed, name, change.Value)
	case keeper.PrefixOwner:
		if change.Value == nil && len(v.Owners) <= maxRetainedOwners {
			return nil
		}
		if err := setEntry(&v.Owners, &copied.owners, name, change.Value); err != nil {
			return err
		}
		if old := before.Owners[name]; v.Owners[name].OlderThan(old) {
			v.Owners[name] = old
		}
	case keeper.PrefixKeeper:
		if !copied.keepers {
			v.Keepers, copied.keepers = copyMap(v.Keepers), true
		}
		if change.Value == nil {
			delete(v.Keepers, name)
			return nil
		}
		v.Keepers[name] = true
	case keeper.PrefixInstance:
		return setEntry(&v.Instances, &copied.instances, name, change.Value)
	}
	return nil
}

// splitKey splits a feed key behind its first slash; a key without a slash is all prefix.
func splitKey(key string) (prefix, name string) {
	slash := strings.IndexByte(key, '/')
	if slash < 0 {
		return key, ""
	}
	return key[:slash+1], key[slash+1:]
}

// applyConfiguration replaces the table of routes if raw has a higher version than the current one.
func (v *View) applyConfiguration(raw []byte) error {
	document, err := configuration.Parse(raw)
	if err != nil {
		return err
	}
	if v.Table == nil || document.Version > v.Table.Document.Version {
		v.Table = configuration.NewTable(document)
	}
	return nil
}

// setEntry decodes a value into an entry of a table, or deletes the entry if encoded is nil. It copies the table first
// unless that was done before.
func setEntry[V any](table *map[string]V, copied *bool, name string, encoded []byte) error {
	if !*copied {
		*table = copyMap(*table)
		*copied = true
	}
	if encoded == nil {
		delete(*table, name)
		return nil
	}
	var value V
	if err := wire.Decode(wire.FeedUpdate, encoded, &value); err != nil {
		return err
	}
	(*table)[name] = value
	return nil
}

// Carriers returns the number of live carriers.
func (v *View) Carriers() int {
	count := 0
	for _, member := range v.Members {
		if member.Role == session.Carrier {
			count++
		}
	}
	return count
}

// QuorumDisks returns the disks that count toward the write quorum, by identity.
func (v *View) QuorumDisks() map[string]session.Disk {
	counted := make(map[string]session.Disk, len(v.Disks))
	for id, disk := range v.Disks {
		if disk.Counted {
			counted[id] = disk
		}
	}
	return counted
}

// MissingDisks returns the disks that count toward the write quorum but have no live store, in ascending order of
// identity.
func (v *View) MissingDisks() []string {
	live := map[string]bool{}
	for _, member := range v.Members {
		live[member.Disk] = true
	}
	var missing []string
	for id := range ordered.Map(v.QuorumDisks()) {
		if !live[id] {
			missing = append(missing, id)
		}
	}
	return missing
}
