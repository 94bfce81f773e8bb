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
	"granitewing/internal/lab/hold"
	"granitewing/internal/lab/link"
	"granitewing/internal/lab/mesh"
	"granitewing/internal/lab/world"
)

// disturbs says whether a day has operations of a kind.
func (t *cluster) hasOp(kind world.OpKind) bool {
	return slices.ContainsFunc(t.day.Ops, func(o world.Op) bool { return o.Kind == kind })
}

func (t *cluster) hasClientFaults() bool { return t.hasOp(world.OpClients) }

// connect stands the mesh between the dispatchers, where their settings tell others the mesh's address of them.
func (t *cluster) openMesh() (err error) {
	own := cmp.Or(t.variant.Own, t.day.Own)
	switch shares := strings.Contains(own, "{gossip}"); {
	case strings.Contains(own, "{told}"):
		t.mesh, err = mesh.Open(t.gossipAddrs, t.seed)
	case shares && t.hasOp(world.OpPeers):
		err = fmt.Errorf("variant %s: the links between dispatchers fail in this day, but its settings do not have them go over the rig's: they want (advertise \"{told}\")", t.variant.Name)
	}
	return err
}

// gate stands between the clients and a dispatcher, and says where it is.
func (t *cluster) openClientGate(i int) (string, error) {
	path := &link.Link{}
	g, err := mesh.OpenGate("127.0.0.1:0", t.addrs[i], path)
	if err != nil {
		return "", fmt.Errorf("clients of dispatcher %d: %w", i, err)
	}
	t.clientGates, t.clientLinks = append(t.clientGates, g), append(t.clientLinks, path)
	return g.Addr(), nil
}

// part has links of dispatchers with each other, or with clients, suffer what an operation says. Towards the dispatchers
// named is what clients send to them; between dispatchers, to is what the others say to those named.
func (t *cluster) applyLinkFaults(op world.Op) {
	f := emulate.FaultsOf(op)
	if op.Kind == world.OpClients {
		now := time.Since(t.fleet.Start()).Microseconds()
		for _, d := range op.Dispatchers {
			t.mu.Lock()
			if from, suffers := t.partitionedSince[d]; suffers {
				t.log.Killed(d, from, now) // what a client lost on its way is not held against the dispatcher
				delete(t.partitionedSince, d)
			}
			if op.On {
				t.partitionedSince[d] = now
			}
			t.mu.Unlock()
			t.clientLinks[d].Suffer(f)
		}
		return
	}
	if t.mesh == nil {
		return // they share nothing, and so nothing is between them
	}
	for _, d := range op.Dispatchers {
		for _, o := range op.Others {
			if o == d || o < d && slices.Contains(op.Dispatchers, o) {
				continue // those both named have one link, and it suffers once
			}
			t.mesh.Set(o, d, f)
		}
	}
}

// look asks all doors at once.
func (t *cluster) takeSnapshot(op world.Op) {
	t.pendingSnapshots.Add(1)
	defer t.pendingSnapshots.Done()
	l := Look{At: op.At.Seconds(), Figures: make([]map[string]float64, t.day.Dispatchers)}
	t.mu.Lock()
	var wait sync.WaitGroup
	for i, d := range t.running {
		wait.Go(func() {
			f, err := d.Figures()
			if err != nil {
				return // it stands still, or ends just now
			}
			for name := range f {
				if strings.Contains(name, "{member=") {
					delete(f, name) // as many as there are pairs
				}
			}
			l.Figures[i] = f
		})
	}
	t.mu.Unlock()
	wait.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots = append(t.snapshots, l)
}

// looked gives what the doors have told, by time.
func (t *cluster) sortedSnapshots() []Look {
	t.pendingSnapshots.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortFunc(t.snapshots, func(a, b Look) int { return cmp.Compare(a.At, b.At) })
	return t.snapshots
}

// talk tells what went over the mesh since the start.
func (t *cluster) meshTraffic(since time.Duration) *Talk {
	if t.mesh == nil {
		return nil
	}
	out := &Talk{}
	per := 1 / (since.Seconds() * float64(t.day.Dispatchers))
	for i := range t.day.Dispatchers {
		datagrams, bytes, lost := t.mesh.Sent(i)
		out.Datagrams += float64(datagrams) * per
		out.Bytes += float64(bytes) * per
		out.Lost += float64(lost) * per
	}
	return out
}

// seedsMost is how many members of a fleet the others are told to join.
const maxGossipSeeds = 3

// places holds an address for each dispatcher's door, and one for its part in a fleet: a loopback address of its own, with a
// port that is free there for datagrams and connections. They are held to the end of the play, as a dispatcher that is
// started anew wants them again. The addresses of fleets are this process's own as well: datagrams can't be held.
func (t *cluster) reserveAddresses(n int) error {
	net8 := 2 + 2*(os.Getpid()%120) // the next one is that of the mesh's seats
	for i := range n {
		door, err := hold.Take(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			return fmt.Errorf("dispatcher %d: %w", i, err)
		}
		t.heldPorts, t.clientAddrs = append(t.heldPorts, door), append(t.clientAddrs, door.Addr().String())
		part, err := hold.Both(netip.AddrFrom4([4]byte{127, byte(net8), byte((i + 1) >> 8), byte(i + 1)}))
		if err != nil {
			return fmt.Errorf("gossip of dispatcher %d: %w", i, err)
		}
		t.heldPorts, t.gossipAddrs = append(t.heldPorts, part), append(t.gossipAddrs, part.Addr().String())
	}
	return nil
}

// own gives a dispatcher's own settings, which name its files by play and number, and its place in a fleet.
func (t *cluster) settingsFor(i int) string {
	text := cmp.Or(t.variant.Own, t.day.Own)
	url := ""
	if t.store != nil {
		url = t.store.URL()
	}
	if strings.Contains(text, "{gossip}") {
		seeds := make([]string, min(len(t.gossipAddrs), maxGossipSeeds))
		for k := range seeds {
			seeds[k] = strconv.Quote(t.gossipAddrs[k])
			if t.mesh != nil {
				seeds[k] = strconv.Quote(t.mesh.Addr(k))
			}
		}
		told := t.gossipAddrs[i]
		if t.mesh != nil {
			told = t.mesh.Addr(i)
		}
		text = strings.NewReplacer("{gossip}", t.gossipAddrs[i], "{told}", told, "{seeds}", strings.Join(seeds, " ")).Replace(text)
	}
	return strings.NewReplacer("{dir}", t.setup.Dir, "{postgres}", url, "{name}", fmt.Sprintf("%s-%d-n%d", t.variant.Name, t.seed, i)).Replace(text)
}
