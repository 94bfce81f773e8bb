package world

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"granitewing/internal/lab/model"
)

// repeatNames maps the classes' repeat safety to the platform's values.
var repeatNames = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}

// ZoneOf returns the zone of a dispatcher, as an index into Zones.
func (d *Day) ZoneOf(dispatcher int) int { return dispatcher % len(d.Zones) }

// ListEntry returns an entry of discovery's list in the platform's JSON format, for a dispatcher that reaches the host
// at addr. epoch is the Unix time in microseconds of the start of the day.
func (d *Day) ListEntry(m model.Member, addr string, epoch int64) map[string]any {
	up := int64(0)
	if m.UpSince > 0 {
		up = (epoch + m.UpSince) / 1000
	}
	return map[string]any{
		"id": m.ID, "host_port": addr, "locality": d.Zones[m.Zone], "flavor": d.Fleet.Kinds[m.Kind].Name,
		"cell": m.Cell, "phase": string(m.Phase), "size": m.Size, "up_since_ms": up,
	}
}

// List returns discovery's answer in the platform's JSON format. complete reports whether members is the whole list
// rather than the changes since an earlier revision.
func (d *Day) List(revision int64, complete bool, members []model.Member, addr func(id string) string, epoch int64) map[string]any {
	list := make([]map[string]any, 0, len(members))
	for _, m := range members {
		list = append(list, d.ListEntry(m, addr(m.ID), epoch))
	}
	return map[string]any{"revision": revision, "complete": complete, "members": list}
}

// Place holds the addresses in a dispatcher's configuration.
type Place struct {
	Listen    string                   // the dispatcher's own address
	Discovery string                   // address of discovery
	Addr      func(host string) string // address at which this dispatcher reaches a host
	Epoch     int64                    // Unix time of the start of the day, in microseconds
}

// Config returns a dispatcher's configuration in the platform's JSON format. changes overrides settings by their paths;
// an invalid path or value is an error.
func (d *Day) Config(dispatcher int, seed uint64, p Place, changes []Change) ([]byte, error) {
	var classes []map[string]any
	stretch := []float64{}
	for _, c := range d.Classes {
		classes = append(classes, map[string]any{
			"Name": c.Name, "Aim": c.Aim.Microseconds(), "Deadline": c.GiveUp.Microseconds(), "Gain": c.Worth,
			"Semantics": repeatNames[c.Repeat], "Group": "cell", "RepeatWindow": c.Window.Microseconds(),
		})
		stretch = append(stretch, c.Stretch)
	}
	var kinds []string
	for _, k := range d.Fleet.Kinds {
		kinds = append(kinds, k.Name)
	}
	retryAfter := d.Clients.LongestRetryAfter.Microseconds()
	if d.Clients.FollowRetryAfter == 0 {
		retryAfter = 0
	}
	settings := map[string]any{
		"Balancers": d.Dispatchers, "SelfIndex": dispatcher, "Zone": d.ZoneOf(dispatcher), "Zones": d.Zones, "Skus": kinds,
		"Resolution": 2000, "WorthBy": "work", "Charges": map[string]any{"CrossZone": 0.03}, "Classes": classes,
		"FamilyInfo": map[string]any{"ClassStretch": stretch, "TellsStart": true, "Progress": d.Fleet.Progress.Microseconds()},
		"Limits": map[string]any{"MaxAttempts": 3, "MaxOpen": 20000, "MaxRetryAfter": retryAfter, "Cancelling": true,
			"ConnectTimeout": 150000, "ConnIdle": 30000000},
		"Rules": map[string]any{"AnswerSlack": 8000, "DrainGrace": 750000, "StartCapacity": d.Fleet.Start.Lo,
			"Cold": d.Fleet.WarmUp.Microseconds(), "Fall": d.Fleet.Window.Microseconds(), "FallMultiple": d.Fleet.Multiple},
	}
	for _, c := range changes {
		if err := setPath(settings, c); err != nil {
			return nil, err
		}
	}
	var members []model.Member
	for i := range d.Fleet.Hosts {
		members = append(members, d.Member(i, model.Ready, 0))
	}
	return json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", dispatcher), "listen": p.Listen, "discovery": p.Discovery,
		"management": "127.0.0.1:0", // the admin endpoint, where the laboratory reads the counters
		"seed":       strconv.FormatUint(seed, 16),
		"limits":     map[string]any{"cores": d.Cores, "memory_mb": max(int(d.Memory>>20), 1), "sockets": d.Descriptors},
		"known":      d.List(1, true, members, p.Addr, p.Epoch), "settings": settings,
	}, "", " ")
}

// setPath sets a value by its path. Entries of lists are addressed by their index.
func setPath(settings map[string]any, c Change) error {
	var value any
	if err := json.Unmarshal([]byte(c.Value), &value); err != nil {
		return fmt.Errorf("set %s: %q is not JSON", c.Path, c.Value)
	}
	keys := strings.Split(c.Path, ".")
	node := settings
	for i, k := range keys[:len(keys)-1] {
		switch next := node[k].(type) {
		case map[string]any:
			node = next
		case []map[string]any:
			if i+1 >= len(keys)-1 {
				return fmt.Errorf("set %s: %s is a list", c.Path, k)
			}
			n, err := strconv.Atoi(keys[i+1])
			if err != nil || n < 0 || n >= len(next) {
				return fmt.Errorf("set %s: %s has no entry %s", c.Path, k, keys[i+1])
			}
			// Make the index a key, so that the next round descends into the entry.
			node = map[string]any{keys[i+1]: next[n]}
		default:
			return fmt.Errorf("set %s: no settings at %s", c.Path, k)
		}
	}
	node[keys[len(keys)-1]] = value
	return nil
}
