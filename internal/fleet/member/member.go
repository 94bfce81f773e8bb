// Package member is who is in a fleet of dispatchers: membership by gossip and failure detection (hashicorp/memberlist),
// whose own messages carry the dispatchers' reports. It decides nothing; what is heard waits here until it is taken.
package member

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/limit"
	"granitewing/internal/latest"
)

// Bounds on what waits to be taken, and times.
const (
	waitingMost = 4096                   // senders whose latest report waits, and messages about limits that do
	sayMost     = 16                     // rounds of messages about limits that wait to be sent
	rejoinSoon  = 300 * time.Millisecond // from the start until the first look whether a member is missing; then twice as long each time
	rejoin      = 3 * time.Second        // at most between two looks
	silent      = 3 * time.Second        // a live member that has said nothing for so long may have given this one up
	streamLimit = 2 * time.Second        // for a connection to a member; a start waits so long for one that is stalled
	speaksFor   = time.Second            // who has spoken within it is there, whatever others say of it
	compare     = 10 * time.Second       // between comparisons of all that is known with a member; more in a large fleet
	reclaim     = 2 * time.Second        // after its failure a name may come back at another address
	leaveLimit  = time.Second            // for telling the others of an orderly end
)

// Options say who joins what.
type Options struct {
	Name        string // of this dispatcher; none of two live members may have the same
	Bind        string // address and port of its own, for datagrams and connections; it calls others from that address as well
	Advertise   string // where others reach it, if that is not Bind
	Join        []string
	Label       string // of the fleet: members with another are not heard
	Incarnation uint64 // of this process: higher than that of any before of its name
	Log         *slog.Logger
}

// Fleet is this process's place in the fleet. Its methods may be called by any goroutine and wait for no peer.
type Fleet struct {
	o    Options
	list *memberlist.Memberlist
	out  latest.Place[[]ledger.Out]
	say  chan []*limit.Message
	done chan struct{}
	wait sync.WaitGroup

	mu       sync.Mutex
	speaking map[string]speaker  // members that were there once, until they leave
	reports  map[key]ledger.News // the latest of each sender and kind
	said     []*limit.Message    // about limits, in the order in which they came
	asked    map[string]talk     // with members that should answer
	gone     []ledger.Process
	bad      int // messages that are no report
	full     int // reports for which there was no room
	old      int // reports of an earlier process than that whose report waits, or overtaken by it
	conflict string
}

// key is who speaks, and for whom.
type key struct {
	name string
	kind ledger.Kind
}

// speaker is a member as the library knew it last, and when it said something itself.
type speaker struct {
	node *memberlist.Node
	last time.Time
}

// talk is since when a member should have answered, when it was told something last, and when it spoke.
type talk struct{ since, told, spoke time.Time }

// Join takes part in a fleet. Members that can't be reached now are asked again later; a name that a live member has
// already is an error.
func Join(o Options) (*Fleet, error) {
	host, number, err := place(o.Bind)
	if err != nil {
		return nil, fmt.Errorf("fleet.bind: %w", err)
	}
	f := &Fleet{o: o, out: latest.New[[]ledger.Out](), say: make(chan []*limit.Message, sayMost), done: make(chan struct{}), speaking: map[string]speaker{}, reports: map[key]ledger.News{}, asked: map[string]talk{}}
	cfg := memberlist.DefaultLANConfig()
	cfg.Name, cfg.BindAddr, cfg.BindPort, cfg.AdvertiseAddr, cfg.AdvertisePort = o.Name, host, number, host, number
	if o.Advertise != "" {
		if cfg.AdvertiseAddr, cfg.AdvertisePort, err = place(o.Advertise); err != nil {
			return nil, fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	cfg.Label, cfg.DeadNodeReclaimTime = o.Label, reclaim
	cfg.TCPTimeout, cfg.PushPullInterval = streamLimit, compare
	cfg.EnableCompression = false // it cost more processor time than all else, and reports hardly shrink
	cfg.Delegate, cfg.Events, cfg.Conflict = f, f, f
	cfg.LogOutput = lines{o.Log}
	t, err := listen(net.ParseIP(host), number, o.Log)
	if err != nil {
		if errors.Is(err, syscall.EADDRINUSE) {
			err = ledger.ErrInUse
		}
		return nil, fmt.Errorf("fleet.bind: %s: %w", o.Bind, err)
	}
	cfg.Transport = t
	if f.list, err = memberlist.Create(cfg); err != nil {
		t.Shutdown()
		return nil, fmt.Errorf("fleet: %s", flat(err))
	}
	f.join(o.Join)
	if with := f.taken(); with != "" {
		f.list.Shutdown()
		return nil, fmt.Errorf("fleet: the name %s is taken by the live member at %s", o.Name, with)
	}
	f.wait.Go(f.sending)
	f.wait.Go(f.rejoining)
	return f, nil
}

// place reads an address and its port.
func place(text string) (host string, port int, err error) {
	host, number, err := net.SplitHostPort(text)
	if err == nil {
		port, err = strconv.Atoi(number)
	}
	if err != nil || net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q: want an IP address and a port", text)
	}
	return host, port, nil
}

// missing gives the members named that are not known to be there.
func (f *Fleet) missing() []string {
	there := map[string]bool{cmp.Or(f.o.Advertise, f.o.Bind): true}
	for _, m := range f.list.Members() {
		there[m.Address()] = true
	}
	return slices.DeleteFunc(slices.Clone(f.o.Join), func(addr string) bool { return there[addr] })
}

// quiet gives a live member that should answer and says nothing, if there is one. It may be cut off or stand still; or it has given this one
// up while links were cut, which nobody tells the one that is given up: its own pings are answered. To compare with it
// what both know makes it find out, and say that it is alive.
func (f *Fleet) quiet() []string {
	var out []string
	now := time.Now()
	members := f.list.Members() // before the lock, which the library's calls take under its own
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		t, asked := f.asked[m.Name]
		switch {
		case !asked:
		case now.Sub(t.told) > 2*silent:
			delete(f.asked, m.Name)
		case now.Sub(t.since) > silent && now.Sub(t.spoke) > silent:
			out = append(out, m.Address())
		}
	}
	if len(out) > 0 {
		out = []string{out[rand.IntN(len(out))]}
	}
	return out
}

// join compares with some members all that is known. Each is asked by itself: one that is stalled keeps the others waiting
// no longer than its own time-out.
func (f *Fleet) join(addrs []string) {
	var wait sync.WaitGroup
	for _, addr := range addrs {
		wait.Go(func() {
			if _, err := f.list.Join([]string{addr}); err != nil {
				f.o.Log.Warn("fleet: a member does not answer; is it up, and of this fleet?", "member", addr, "fleet", f.o.Label, "cause", flat(err))
			}
		})
	}
	wait.Wait()
}

// flat is an error in one line.
func flat(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// rejoining finds members again that were given up while links were cut: two halves that can meet again do.
func (f *Fleet) rejoining() {
	wait := rejoinSoon
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.join(append(f.missing(), f.quiet()...))
			wait = min(2*wait, rejoin)
			t.Reset(wait)
		case <-f.done:
			return
		}
	}
}

// Tell sends reports, which nobody may change from now on. Where those before are still being sent, they are dropped for
// these.
func (f *Fleet) Tell(out []ledger.Out) { f.out.Put(out) }

func (f *Fleet) sending() {
	for {
		select {
		case out := <-f.out.C():
			f.send(out)
		case out := <-f.say:
			f.utter(out)
		case <-f.done:
			select {
			case out := <-f.say: // this process's last word, as on a post that it gives up
				f.utter(out)
			default:
			}
			return
		}
	}
}

func (f *Fleet) send(out []ledger.Out) {
	there := f.there()
	var b []byte
	now := time.Now()
	for i := range out {
		b = ledger.Append(b[:0], out[i].Report)
		for _, to := range out[i].To {
			m := there[to]
			if m == nil {
				continue // it has gone meanwhile
			}
			if out[i].Asks() {
				f.mu.Lock()
				t, asked := f.asked[to]
				if !asked {
					t.since = now
				}
				t.told = now
				f.asked[to] = t
				f.mu.Unlock()
			}
			f.list.SendBestEffort(m, b) // a datagram: what is lost is told anew with the next
		}
	}
}

// there gives the others that are there: those that the library holds for alive, and those that speak to this one though
// others, who don't hear them, have it give them up.
func (f *Fleet) there() map[string]*memberlist.Node {
	out := map[string]*memberlist.Node{}
	members := f.list.Members() // before the lock, which the library's calls take under its own
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.speaking {
		if time.Since(s.last) < speaksFor {
			out[name] = s.node
		}
	}
	for _, m := range members {
		if m.Name != f.o.Name {
			out[m.Name] = m
		}
	}
	return out
}

// Take gives what was heard since the last call.
func (f *Fleet) Take() ledger.Heard {
	members := slices.Sorted(maps.Keys(f.there()))
	f.mu.Lock()
	defer f.mu.Unlock()
	h := ledger.Heard{Members: members, Gone: f.gone, Bad: f.bad + f.full, Old: f.old}
	for _, n := range f.reports {
		h.News = append(h.News, n)
	}
	clear(f.reports)
	f.gone, f.bad, f.full, f.old = nil, 0, 0, 0
	slices.SortFunc(h.News, func(a, b ledger.News) int {
		return cmp.Or(strings.Compare(a.From, b.From), cmp.Compare(a.Kind, b.Kind))
	})
	return h
}

// Leave tells the others of an orderly end and closes all.
func (f *Fleet) Leave() {
	close(f.done)
	f.wait.Wait()
	if err := f.list.Leave(leaveLimit); err != nil {
		f.o.Log.Warn("fleet: the others were not told of the end", "cause", flat(err))
	}
	f.list.Shutdown()
}

func (f *Fleet) taken() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conflict
}
