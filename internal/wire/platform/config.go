package platform

import (
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"granitewing/internal/wire"
	"granitewing/logic"
)

// Config is the configuration of a dispatcher.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Management string // address of the admin endpoint; empty = none
	Seed       uint64
	Cores      float64
	MemoryMB   int
	Sockets    int
	Known      List
	Settings   logic.Config
}

// Names returns the names of zones and kinds, for decoding lists of hosts.
func (c *Config) Names() Names {
	return Names{Zones: c.Settings.ZoneNames, Kinds: c.Settings.KindNames}
}

// Lanes returns the message classes by name.
func (c *Config) Lanes() map[string]Lane {
	lanes := map[string]Lane{}
	for i, k := range c.Settings.Classes {
		lanes[k.Name] = Lane{Class: i, Keyed: k.Repeat == logic.RepeatKeyed}
	}
	return lanes
}

// Tenants returns the indices of the tenants by name, as the header X-Org has it.
func (c *Config) Tenants() map[string]int {
	tenants := map[string]int{}
	for i, t := range c.Settings.Tenants {
		tenants[t.Name] = i
	}
	return tenants
}

// ReadConfig decodes the configuration; an error names the key at fault.
func ReadConfig(text []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("configuration is not JSON: %w", err)
	}
	c := &Config{
		Name:       string(v.GetStringBytes("name")),
		Listen:     string(v.GetStringBytes("listen")),
		Discovery:  string(v.GetStringBytes("discovery")),
		Management: string(v.GetStringBytes("management")),
		Cores:      v.GetFloat64("limits", "cores"),
		MemoryMB:   v.GetInt("limits", "memory_mb"),
		Sockets:    v.GetInt("limits", "sockets"),
	}
	for key, value := range map[string]float64{
		"limits.cores": c.Cores, "limits.memory_mb": float64(c.MemoryMB), "limits.sockets": float64(c.Sockets),
	} {
		if value <= 0 {
			return nil, fmt.Errorf("%s: want a number above 0", key)
		}
	}
	seed := string(v.GetStringBytes("seed"))
	if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		h := fnv.New64a()
		h.Write([]byte(seed))
		c.Seed = h.Sum64()
	}
	settings := v.Get("settings")
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("settings: want an object")
	}
	var flat strings.Builder
	flatten(&flat, "", settings)
	if c.Settings, err = wire.ParseSettings([]byte(flat.String())); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := checkSchedulerIndex(settings, &c.Settings); err != nil {
		return nil, err
	}
	// Here discovery sends a list only on request, whatever the simulator does.
	c.Settings.NeedsSubscription = true
	// An attempt counts here once its last byte has arrived at the host, so one whose connect failed does not count.
	c.Settings.UncountedConnects = true
	for i, t := range c.Settings.Tenants {
		if t.Name == "" {
			return nil, fmt.Errorf("settings: Tenants.%d.Name: want a name", i)
		}
	}
	for i, k := range c.Settings.Classes {
		if k.Name == "" {
			return nil, fmt.Errorf("settings: Classes.%d.Name: want a name", i)
		}
	}
	if known := v.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if c.Known, err = c.Names().ReadList(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// checkSchedulerIndex validates a dispatcher's number among the dispatchers; without Balancers it is the only one.
// An invalid number is an error and gets no default: dispatchers that share no state keep within the load budget
// of a host in slow start only because each uses its own time slots.
func checkSchedulerIndex(settings *fastjson.Value, c *logic.Config) error {
	for key, minimum := range map[string]int{"Balancers": 1, "SelfIndex": 0} {
		v := settings.Get(key)
		if v == nil {
			continue
		}
		if n, err := v.Int(); err != nil || n < minimum || n > math.MaxInt32 {
			return fmt.Errorf("settings.%s: want a whole number of at least %d, have %s", key, minimum, v)
		}
	}
	if c.Self >= c.Schedulers {
		return fmt.Errorf("settings.SelfIndex: want a number below Balancers (%d), have %d", c.Schedulers, c.Self)
	}
	return nil
}

// flatten writes nested settings as the path=value lines of the simulator's protocol, so that both front ends
// parse them with the same code.
func flatten(out *strings.Builder, path string, v *fastjson.Value) {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, item *fastjson.Value) {
			flatten(out, join(path, string(key)), item)
		})
	case fastjson.TypeArray:
		items := v.GetArray()
		if len(items) > 0 && items[0].Type() == fastjson.TypeObject {
			fmt.Fprintf(out, "%s.count=%d\n", path, len(items))
			for i, item := range items {
				flatten(out, join(path, strconv.Itoa(i)), item)
			}
			return
		}
		values := make([]string, len(items))
		for i, item := range items {
			values[i] = scalarText(item)
		}
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(values, ","))
	default:
		fmt.Fprintf(out, "%s=%s\n", path, scalarText(v))
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// scalarText returns a plain value as text. Spaces and commas within it are replaced, since they separate values
// in that form.
func scalarText(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	text := string(v.MarshalTo(nil))
	if v.Type() == fastjson.TypeString {
		text = string(v.GetStringBytes())
	}
	return settingsName(text)
}

var settingsNameReplacer = strings.NewReplacer(" ", "_", ",", "_", "\n", "_")

// settingsName returns a name in the form that the settings use.
func settingsName(name string) string { return settingsNameReplacer.Replace(name) }
