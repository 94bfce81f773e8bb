package experiment

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"granitewing/internal/lab/emulate"
	"granitewing/internal/lab/link"
	"granitewing/internal/lab/mesh"
	"granitewing/internal/lab/portreserve"
	"granitewing/internal/lab/world"
)

// hasOp reports whether the day has operations of a kind.
func (c *cluster) hasOp(kind world.OpKind) bool {
	return slices.ContainsFunc(c.day.Ops, func(o world.Op) bool { return o.Kind == kind })
}

func (c *cluster) hasClientFaults() bool { return c.hasOp(world.OpClients) }

// openMesh opens the mesh between the dispatchers if their settings advertise the mesh's addresses instead of their
// own. It returns an error if the day has faults on the links between dispatchers but the settings bypass the mesh.
func (c *cluster) openMesh() (err error) {
	settings := cmp.Or(c.variant.DispatcherSettings, c.day.DispatcherSettings)
	switch usesGossip := strings.Contains(settings, "{gossip}"); {
	case strings.Contains(settings, "{told}"):
		c.mesh, err = mesh.Open(c.gossipAddrs, c.seed)
	case usesGossip && c.hasOp(world.OpPeers):
		err = fmt.Errorf("variant %s: the day has faults on the links between dispatchers, but the settings bypass these links; they must contain (advertise \"{told}\")", c.variant.Name)
	}
	return err
}

// openClientGate opens a gate between the clients and dispatcher i, and returns its address.
func (c *cluster) openClientGate(i int) (string, error) {
	path := &link.Link{}
	g, err := mesh.OpenGate("127.0.0.1:0", c.addrs[i], path)
	if err != nil {
		return "", fmt.Errorf("clients of dispatcher %d: %w", i, err)
	}
	c.clientGates, c.clientLinks = append(c.clientGates, g), append(c.clientLinks, path)
	return g.Addr(), nil
}

// applyLinkFaults applies the faults of an operation to links between dispatchers, or between dispatchers and
// clients. For client links the "to" direction is from the clients to the named dispatchers; between dispatchers it
// is from the other dispatchers to the named ones.
func (c *cluster) applyLinkFaults(op world.Op) {
	f := emulate.FaultsOf(op)
	if op.Kind == world.OpClients {
		now := time.Since(c.fleet.StartTime()).Microseconds()
		for _, d := range op.Dispatchers {
			c.mu.Lock()
			if from, cut := c.partitionedSince[d]; cut {
				c.log.Killed(d, from, now) // a request that is lost on the client's link is not the dispatcher's fault
				delete(c.partitionedSince, d)
			}
			if op.On {
				c.partitionedSince[d] = now
			}
			c.mu.Unlock()
			c.clientLinks[d].SetAndReset(f)
		}
		return
	}
	if c.mesh == nil {
		return // the dispatchers do not talk to each other
	}
	for _, d := range op.Dispatchers {
		for _, o := range op.Others {
			if o == d || o < d && slices.Contains(op.Dispatchers, o) {
				continue // two named dispatchers share one link; apply the fault to it once
			}
			c.mesh.Set(o, d, f)
		}
	}
}

// takeSnapshot queries the metrics of all running dispatchers concurrently.
func (c *cluster) takeSnapshot(op world.Op) {
	c.pendingSnapshots.Add(1)
	defer c.pendingSnapshots.Done()
	l := Snapshot{At: op.At.Seconds(), Metrics: make([]map[string]float64, c.day.Dispatchers)}
	c.mu.Lock()
	var wait sync.WaitGroup
	for i, d := range c.running {
		wait.Go(func() {
			f, err := d.Counters()
			if err != nil {
				return // it is paused or shutting down
			}
			for name := range f {
				if strings.Contains(name, "{member=") {
					delete(f, name) // one value per pair of dispatchers: too many to keep
				}
			}
			l.Metrics[i] = f
		})
	}
	c.mu.Unlock()
	wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshots = append(c.snapshots, l)
}

// sortedSnapshots waits for the pending snapshots and returns all of them ordered by time.
func (c *cluster) sortedSnapshots() []Snapshot {
	c.pendingSnapshots.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortFunc(c.snapshots, func(a, b Snapshot) int { return cmp.Compare(a.At, b.At) })
	return c.snapshots
}

// meshTraffic returns the traffic over the mesh per second and dispatcher, or nil without a mesh. since is the time
// since the dispatchers were started.
func (c *cluster) meshTraffic(since time.Duration) *Traffic {
	if c.mesh == nil {
		return nil
	}
	out := &Traffic{}
	per := 1 / (since.Seconds() * float64(c.day.Dispatchers))
	for i := range c.day.Dispatchers {
		datagrams, bytes, lost := c.mesh.Sent(i)
		out.Datagrams += float64(datagrams) * per
		out.Bytes += float64(bytes) * per
		out.Lost += float64(lost) * per
	}
	return out
}

// maxGossipSeeds is the number of fleet members that each dispatcher is configured to join.
const maxGossipSeeds = 3

// reserveAddresses reserves, for each of n dispatchers, an address for its client listener and an address for its
// membership in a fleet. The latter is on a loopback IP address of its own, with a port that is free there for both
// datagrams and connections. The addresses stay reserved until the end of the run, because a dispatcher that is
// restarted needs them again. The loopback network of the fleet addresses depends on the process ID, so that two
// laboratories do not collide: datagram ports cannot be held.
func (c *cluster) reserveAddresses(n int) error {
	net8 := 2 + 2*(os.Getpid()%120) // the following network is that of the mesh's addresses
	for i := range n {
		client, err := portreserve.Take(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			return fmt.Errorf("dispatcher %d: %w", i, err)
		}
		c.heldPorts, c.clientAddrs = append(c.heldPorts, client), append(c.clientAddrs, client.Addr().String())
		member, err := portreserve.Both(netip.AddrFrom4([4]byte{127, byte(net8), byte((i + 1) >> 8), byte(i + 1)}))
		if err != nil {
			return fmt.Errorf("gossip of dispatcher %d: %w", i, err)
		}
		c.heldPorts, c.gossipAddrs = append(c.heldPorts, member), append(c.gossipAddrs, member.Addr().String())
	}
	return nil
}

// settingsFor returns the settings of dispatcher i, with placeholders replaced: its file names, which contain the
// run and the dispatcher's number, the URL of the store and its fleet addresses.
func (c *cluster) settingsFor(i int) string {
	text := cmp.Or(c.variant.DispatcherSettings, c.day.DispatcherSettings)
	url := ""
	if c.store != nil {
		url = c.store.URL()
	}
	if strings.Contains(text, "{gossip}") {
		seeds := make([]string, min(len(c.gossipAddrs), maxGossipSeeds))
		for k := range seeds {
			seeds[k] = strconv.Quote(c.gossipAddrs[k])
			if c.mesh != nil {
				seeds[k] = strconv.Quote(c.mesh.Addr(k))
			}
		}
		advertised := c.gossipAddrs[i]
		if c.mesh != nil {
			advertised = c.mesh.Addr(i)
		}
		text = strings.NewReplacer("{gossip}", c.gossipAddrs[i], "{told}", advertised, "{seeds}", strings.Join(seeds, " ")).Replace(text)
	}
	return strings.NewReplacer("{dir}", c.setup.Dir, "{postgres}", url, "{name}", fmt.Sprintf("%s-%d-n%d", c.variant.Name, c.seed, i)).Replace(text)
}
