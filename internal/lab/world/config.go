package world

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"granitewing/internal/lab/model"
)

// repeatNames are the platform's words for repeat safety.
var repeatNames = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}

// ZoneOf is the zone of a dispatcher.
func (d *Day) ZoneOf(dispatcher int) int { return dispatcher % len(d.Zones) }

// ListEntry is an entry of discovery's list in the platform's form, for a dispatcher that reaches it at addr.
// epoch is the Unix time in microseconds at which the day's clock showed 0.
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

// List is discovery's answer in the platform's form.
func (d *Day) List(revision int64, complete bool, members []model.Member, addr func(id string) string, epoch int64) map[string]any {
	list := make([]map[string]any, 0, len(members))
	for _, m := range members {
		list = append(list, d.ListEntry(m, addr(m.ID), epoch))
	}
	return map[string]any{"revision": revision, "complete": complete, "members": list}
}

// Place is where a dispatcher finds others and is found.
type Place struct {
	Listen    string
	Discovery string
	Addr      func(host string) string // of a host, for this dispatcher
	Epoch     int64
}

// Config writes a dispatcher's configuration as the platform would. changes are settings by path that differ.
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
	retryAfter := d.Clients.Longest.Microseconds()
	if d.Clients.Follow == 0 {
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
		if err := change(settings, c); err != nil {
			return nil, err
		}
	}
	var members []model.Member
	for i := range d.Fleet.Hosts {
		members = append(members, d.Member(i, model.Ready, 0))
	}
	return json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", dispatcher), "listen": p.Listen, "discovery": p.Discovery,
		"management": "127.0.0.1:0", // the operators' door, where the laboratory reads the figures
		"seed":       strconv.FormatUint(seed, 16),
		"limits":     map[string]any{"cores": d.Cores, "memory_mb": max(int(d.Memory>>20), 1), "sockets": d.Descriptors},
		"known":      d.List(1, true, members, p.Addr, p.Epoch), "settings": settings,
	}, "", " ")
}

// change sets a value by its path, through lists by their numbers.
func change(settings map[string]any, c Change) error {
	var value any
	if err := json.Unmarshal([]byte(c.Value), &value); err != nil {
		return fmt.Errorf("set %s: %q is not JSON", c.Path, c.Value)
	}
	keys := strings.Split(c.Path, ".")
	at := settings
	for i, k := range keys[:len(keys)-1] {
		switch next := at[k].(type) {
		case map[string]any:
			at = next
		case []map[string]any:
			if i+1 >= len(keys)-1 {
				return fmt.Errorf("set %s: %s is a list", c.Path, k)
			}
			n, err := strconv.Atoi(keys[i+1])
			if err != nil || n < 0 || n >= len(next) {
				return fmt.Errorf("set %s: %s has no entry %s", c.Path, k, keys[i+1])
			}
			// The number is taken as a key of its own.
			at = map[string]any{keys[i+1]: next[n]}
		default:
			return fmt.Errorf("set %s: no settings at %s", c.Path, k)
		}
	}
	at[keys[len(keys)-1]] = value
	return nil
}
