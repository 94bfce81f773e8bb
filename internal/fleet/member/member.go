// Package member joins a process to a fleet of dispatchers. Membership uses gossip and failure detection
// (hashicorp/memberlist), and the messages of that library carry the dispatchers' reports and their messages about
// limits.
//
// Join returns a Fleet. SendReports and SendLimitMessages send; ReceiveReports and ReceiveLimitMessages return what
// arrived since the last call; Leave ends the membership. The package makes no decisions: received messages wait here
// until they are taken.
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
	"granitewing/internal/mailbox"
)

// Bounds on pending messages, and times.
const (
	maxPending        = 4096                   // pending reports, and likewise pending messages about limits
	maxLimitBatches   = 16                     // batches of messages about limits that wait to be sent
	minRejoinInterval = 300 * time.Millisecond // from the start to the first search for missing members; then doubles
	maxRejoinInterval = 3 * time.Second        // upper bound between two searches
	silenceTimeout    = 3 * time.Second        // a live member that is silent for longer may have declared this one dead
	streamTimeout     = 2 * time.Second        // for a connection to a member; a stalled one delays the start by this
	contactTimeout    = time.Second            // a member heard within it counts as present, whatever others report
	syncInterval      = 10 * time.Second       // between full state exchanges with a member; longer in a large fleet
	reclaimTime       = 2 * time.Second        // after which the name of a failed member may come back at another address
	leaveTimeout      = time.Second            // for notifying the others of a graceful shutdown
)

// Options are the settings of one member.
type Options struct {
	Name        string       // of this dispatcher; unique among the live members
	Bind        string       // own IP address and port, for datagrams and for connections in both directions
	Advertise   string       // IP address and port at which others reach it, if not Bind
	Join        []string     // addresses of members to contact
	Label       string       // of the fleet: messages with another label are ignored
	Incarnation uint64       // of this process: higher than that of any earlier process of the same name
	Log         *slog.Logger // must not be nil
}

// Fleet is this process's membership in a fleet. Any goroutine may call its methods. Only Leave waits for peers.
type Fleet struct {
	options        Options
	list           *memberlist.Memberlist
	outgoing       mailbox.Mailbox[[]ledger.Outgoing]
	outgoingLimits chan []*limit.Message
	done           chan struct{}
	wait           sync.WaitGroup

	mu             sync.Mutex
	contacts       map[string]contact         // members seen since the start, until they leave
	reports        map[source]ledger.Received // the latest of each sender and kind
	receivedLimits []*limit.Message           // messages about limits, in the order of their arrival
	awaited        map[string]exchange        // by name, the members that should answer
	gone           []ledger.Process
	bad            int // malformed messages
	full           int // messages dropped because a queue was full
	old            int // reports superseded by one of a later process or with a later sequence number
	nameTakenBy    string
}

// source identifies a sender and the kind of its reports.
type source struct {
	name string
	kind ledger.Kind
}

// contact is a member as the library last described it, and when a report of it last arrived here.
type contact struct {
	node      *memberlist.Node
	lastHeard time.Time
}

// exchange holds since when a member should have answered, when it was last sent a report, and when one of it arrived.
type exchange struct{ since, lastSent, lastHeard time.Time }

// Join makes this process a member of a fleet. Members that can't be reached now are contacted again later. It returns
// an error if an address is invalid, ledger.ErrInUse (wrapped) if Bind is in use, and an error if a live member has the
// name.
func Join(o Options) (*Fleet, error) {
	host, number, err := parseAddress(o.Bind)
	if err != nil {
		return nil, fmt.Errorf("fleet.bind: %w", err)
	}
	f := &Fleet{options: o, outgoing: mailbox.New[[]ledger.Outgoing](), outgoingLimits: make(chan []*limit.Message, maxLimitBatches), done: make(chan struct{}), contacts: map[string]contact{}, reports: map[source]ledger.Received{}, awaited: map[string]exchange{}}
	cfg := memberlist.DefaultLANConfig()
	cfg.Name, cfg.BindAddr, cfg.BindPort, cfg.AdvertiseAddr, cfg.AdvertisePort = o.Name, host, number, host, number
	if o.Advertise != "" {
		if cfg.AdvertiseAddr, cfg.AdvertisePort, err = parseAddress(o.Advertise); err != nil {
			return nil, fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	cfg.Label, cfg.DeadNodeReclaimTime = o.Label, reclaimTime
	cfg.TCPTimeout, cfg.PushPullInterval = streamTimeout, syncInterval
	cfg.EnableCompression = false // compression took more CPU time than everything else, and reports hardly shrink
	cfg.Delegate, cfg.Events, cfg.Conflict = f, f, f
	cfg.LogOutput = logWriter{o.Log}
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
		return nil, fmt.Errorf("fleet: %s", oneLine(err))
	}
	f.syncWith(o.Join)
	if with := f.conflictAddress(); with != "" {
		f.list.Shutdown()
		return nil, fmt.Errorf("fleet: the name %s is taken by the live member at %s", o.Name, with)
	}
	f.wait.Go(f.sendLoop)
	f.wait.Go(f.rejoinLoop)
	return f, nil
}

// parseAddress splits an IP address from its port.
func parseAddress(text string) (host string, port int, err error) {
	host, number, err := net.SplitHostPort(text)
	if err == nil {
		port, err = strconv.Atoi(number)
	}
	if err != nil || net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q: want an IP address and a port", text)
	}
	return host, port, nil
}

// missingMembers returns the configured addresses at which no member is known to be present.
func (f *Fleet) missingMembers() []string {
	present := map[string]bool{cmp.Or(f.options.Advertise, f.options.Bind): true}
	for _, m := range f.list.Members() {
		present[m.Address()] = true
	}
	return slices.DeleteFunc(slices.Clone(f.options.Join), func(addr string) bool { return present[addr] })
}

// silentMember returns the address of one random live member that should answer and is silent, if there is one. It may
// be cut off or paused. Or it has declared this member dead while links were down. This member does not notice that,
// because its own pings are still answered. A full state exchange shows this member what the other believes, and it
// then announces that it is alive.
func (f *Fleet) silentMember() []string {
	var out []string
	now := time.Now()
	members := f.list.Members() // before taking f.mu: the library calls back into f with its own lock held
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		e, awaited := f.awaited[m.Name]
		switch {
		case !awaited:
		case now.Sub(e.lastSent) > 2*silenceTimeout:
			delete(f.awaited, m.Name)
		case now.Sub(e.since) > silenceTimeout && now.Sub(e.lastHeard) > silenceTimeout:
			out = append(out, m.Address())
		}
	}
	if len(out) > 0 {
		out = []string{out[rand.IntN(len(out))]}
	}
	return out
}

// syncWith exchanges the full membership state with the members at some addresses, with all of them at the same time: a
// stalled member delays the call by its own timeout only.
func (f *Fleet) syncWith(addrs []string) {
	var wait sync.WaitGroup
	for _, addr := range addrs {
		wait.Go(func() {
			if _, err := f.list.Join([]string{addr}); err != nil {
				f.options.Log.Warn("fleet: member does not answer; check that it runs and has the same fleet label", "member", addr, "fleet", f.options.Label, "cause", oneLine(err))
			}
		})
	}
	wait.Wait()
}

// oneLine returns an error's text as one line.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// rejoinLoop contacts members again that were declared dead while links were down, so that two halves of a partitioned
// fleet merge once they can reach each other.
func (f *Fleet) rejoinLoop() {
	interval := minRejoinInterval
	t := time.NewTimer(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.syncWith(append(f.missingMembers(), f.silentMember()...))
			interval = min(2*interval, maxRejoinInterval)
			t.Reset(interval)
		case <-f.done:
			return
		}
	}
}

// SendReports sends reports without waiting; the caller must not change them afterwards. If earlier reports are still
// waiting to be sent, these replace them.
func (f *Fleet) SendReports(out []ledger.Outgoing) { f.outgoing.Put(out) }

// sendLoop sends reports and messages about limits until the fleet is left.
func (f *Fleet) sendLoop() {
	for {
		select {
		case out := <-f.outgoing.C():
			f.sendReports(out)
		case out := <-f.outgoingLimits:
			f.sendLimits(out)
		case <-f.done:
			select {
			case out := <-f.outgoingLimits: // the last batch, which may give up the dealer's role
				f.sendLimits(out)
			default:
			}
			return
		}
	}
}

// sendReports sends each report to those of its receivers that are present, and notes from whom an answer is expected.
func (f *Fleet) sendReports(out []ledger.Outgoing) {
	present := f.present()
	var b []byte
	now := time.Now()
	for i := range out {
		b = ledger.Append(b[:0], out[i].Report)
		for _, to := range out[i].To {
			m := present[to]
			if m == nil {
				continue // it left in the meantime
			}
			if out[i].ExpectsAnswer() {
				f.mu.Lock()
				e, awaited := f.awaited[to]
				if !awaited {
					e.since = now
				}
				e.lastSent = now
				f.awaited[to] = e
				f.mu.Unlock()
			}
			f.list.SendBestEffort(m, b) // a datagram: the next report replaces one that is lost
		}
	}
}

// present returns the other members that are present: those that the library considers alive, and those that were heard
// within contactTimeout although other members, which can't reach them, declared them dead.
func (f *Fleet) present() map[string]*memberlist.Node {
	out := map[string]*memberlist.Node{}
	members := f.list.Members() // before taking f.mu: the library calls back into f with its own lock held
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, c := range f.contacts {
		if time.Since(c.lastHeard) < contactTimeout {
			out[name] = c.node
		}
	}
	for _, m := range members {
		if m.Name != f.options.Name {
			out[m.Name] = m
		}
	}
	return out
}

// ReceiveReports returns what was received since the last call: reports sorted by sender and kind, processes that are
// gone, and the members present now.
func (f *Fleet) ReceiveReports() ledger.Inbox {
	members := slices.Sorted(maps.Keys(f.present()))
	f.mu.Lock()
	defer f.mu.Unlock()
	h := ledger.Inbox{Members: members, Gone: f.gone, Bad: f.bad + f.full, Old: f.old}
	for _, n := range f.reports {
		h.Reports = append(h.Reports, n)
	}
	clear(f.reports)
	f.gone, f.bad, f.full, f.old = nil, 0, 0, 0
	slices.SortFunc(h.Reports, func(a, b ledger.Received) int {
		return cmp.Or(strings.Compare(a.From, b.From), cmp.Compare(a.Kind, b.Kind))
	})
	return h
}

// Leave notifies the other members of the departure and releases the address. It must be called once.
func (f *Fleet) Leave() {
	close(f.done)
	f.wait.Wait()
	if err := f.list.Leave(leaveTimeout); err != nil {
		f.options.Log.Warn("fleet: could not notify the other members of the departure", "cause", oneLine(err))
	}
	f.list.Shutdown()
}

// conflictAddress returns the address of a live member with this member's name, or "" if none was found.
func (f *Fleet) conflictAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nameTakenBy
}
