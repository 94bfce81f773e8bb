// Package member is a process's place in the fleet: its session with the keepers, and what it learns from their feed.
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

// View is what a process knows of the fleet. A view is never changed; updates make a new one.
type View struct {
	Table        *configuration.Table // nil before the first configuration
	Members      map[string]session.Member
	Disks        map[string]session.Disk // by identity
	Epoch        uint64                  // of the roster of disks
	Departed     map[string]session.Departed
	Owners       map[string]ownership.Owner
	Instances    map[string]catalog.Instance
	Keepers      map[string]bool // addresses
	CatalogKnown bool
}

func emptyView() *View {
	return &View{Members: map[string]session.Member{}, Disks: map[string]session.Disk{},
		Departed: map[string]session.Departed{}, Owners: map[string]ownership.Owner{},
		Instances: map[string]catalog.Instance{}, Keepers: map[string]bool{}}
}

func copyMap[V any](from map[string]V) map[string]V {
	to := make(map[string]V, len(from)+1)
	for key, value := range from {
		to[key] = value
	}
	return to
}

// touched tells which tables an update changes, so that only these are copied.
type touched struct{ members, disks, departed, owners, instances, keepers bool }

// maxOwnersKept bounds the records of units that a view keeps although the feed has them no more.
const maxOwnersKept = 8192

// next gives the view that follows from an update. A configuration is never left for an older one, nor an owner for an
// older record of it, or for none: a keeper that leads anew may lack a shard for a while, or lag in it, and whoever took such a
// record for news would begin anew under a token that it, or another since, has used.
func (v *View) next(update feed.Update) (*View, error) {
	fresh := *v
	var copied touched
	if update.Whole {
		empty := emptyView()
		fresh.Members, fresh.Disks, fresh.Departed = empty.Members, empty.Disks, empty.Departed
		fresh.Keepers = empty.Keepers
		copied = touched{members: true, disks: true, departed: true, keepers: true}
		if len(v.Owners) > maxOwnersKept {
			fresh.Owners, copied.owners = empty.Owners, true
		}
		if hasKey(update.Changes, keeper.KeyCatalog) {
			fresh.Instances = empty.Instances
			copied.instances = true
		}
	}
	for _, change := range update.Changes {
		if err := fresh.apply(v, change, &copied); err != nil {
			return nil, err
		}
	}
	return &fresh, nil
}

func hasKey(changes []feed.Change, key string) bool {
	for _, change := range changes {
		if change.Key == key && change.Value != nil {
			return true
		}
	}
	return false
}

func (v *View) apply(before *View, change feed.Change, copied *touched) error {
	prefix, name := splitKey(change.Key)
	switch prefix {
	case keeper.KeyConfiguration:
		return v.applyConfiguration(change.Value)
	case keeper.KeyCatalog:
		v.CatalogKnown = true
	case keeper.PrefixMember:
		return set(&v.Members, &copied.members, name, change.Value)
	case keeper.PrefixDisk:
		return set(&v.Disks, &copied.disks, name, change.Value)
	case keeper.KeyRoster:
		var epoch uint64
		if err := wire.Decode(wire.FeedUpdate, change.Value, &epoch); err != nil {
			return err
		}
		v.Epoch = max(v.Epoch, epoch)
	case keeper.PrefixDeparted:
		return set(&v.Departed, &copied.departed, name, change.Value)
	case keeper.PrefixOwner:
		if change.Value == nil && len(v.Owners) <= maxOwnersKept {
			return nil
		}
		if err := set(&v.Owners, &copied.owners, name, change.Value); err != nil {
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
		return set(&v.Instances, &copied.instances, name, change.Value)
	}
	return nil
}

func splitKey(key string) (prefix, name string) {
	slash := strings.IndexByte(key, '/')
	if slash < 0 {
		return key, ""
	}
	return key[:slash+1], key[slash+1:]
}

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

func set[V any](table *map[string]V, copied *bool, name string, encoded []byte) error {
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

// Carriers gives the live carriers' number.
func (v *View) Carriers() int {
	count := 0
	for _, member := range v.Members {
		if member.Role == session.Carrier {
			count++
		}
	}
	return count
}

// Counted gives the disks that messages lie on.
func (v *View) Counted() map[string]session.Disk {
	counted := make(map[string]session.Disk, len(v.Disks))
	for id, disk := range v.Disks {
		if disk.Counted {
			counted[id] = disk
		}
	}
	return counted
}

// Missing gives the counted disks without a live store.
func (v *View) Missing() []string {
	live := map[string]bool{}
	for _, member := range v.Members {
		live[member.Disk] = true
	}
	var missing []string
	for id := range ordered.Map(v.Counted()) {
		if !live[id] {
			missing = append(missing, id)
		}
	}
	return missing
}
