package carrier

import (
	"slices"
	"sort"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Times and bounds of the stores' use.
const (
	putTimeout   = 3 * time.Second
	suspectAfter = 150 * time.Millisecond // of a store's silence while puts wait for it: it is asked last
	breakAfter   = 450 * time.Millisecond // of silence: the connection is tried anew
	slowFor      = 2 * time.Second        // a store that was silent for so long is asked last for a while
)

// storage is this carrier's side of the stores.
type storage struct {
	core  *Core
	boxes map[string]*outbox   // by disk
	calls map[string]*putCalls // by disk
	// spread is set once a stopping carrier has told all disks what some had not taken.
	spread bool
}

// putCalls is how a store has answered lately.
type putCalls struct {
	waiting   int
	since     time.Duration // of the latest answer, or of the first put that waits
	slowUntil time.Duration // it is asked last
}

func newStorage(core *Core) *storage {
	return &storage{core: core, boxes: map[string]*outbox{}, calls: map[string]*putCalls{}}
}

func (s *storage) address(disk string) string {
	return s.core.session.View().Disks[disk].Member.Address
}

func (s *storage) isUp(disk string) bool {
	address := s.address(disk)
	return address != "" && s.core.env.Up(address)
}

func (s *storage) putCalls(disk string) *putCalls {
	calls := s.calls[disk]
	if calls == nil {
		calls = &putCalls{}
		s.calls[disk] = calls
	}
	return calls
}

// silent is how long a store has let puts wait without answering any.
func (s *storage) silent(disk string) time.Duration {
	calls := s.calls[disk]
	if calls == nil || calls.waiting == 0 {
		return 0
	}
	return s.core.env.Now() - calls.since
}

// zones gives the zones of disks; one that is not in the roster any more has none.
func (s *storage) zones(disks []string) []string {
	view := s.core.session.View()
	zones := make([]string, 0, len(disks))
	for _, disk := range disks {
		if entry, known := view.Disks[disk]; known {
			zones = append(zones, entry.Member.Zone)
		}
	}
	return zones
}

// enoughReachable tells whether messages can be stored: enough stores have a connection and are not silent.
func (s *storage) enoughReachable() bool {
	var reachable []string
	for disk, entry := range s.core.session.View().Counted() {
		if !entry.Leaving && s.isUp(disk) && s.silent(disk) < suspectAfter {
			reachable = append(reachable, disk)
		}
	}
	return s.core.enough(reachable)
}

// choose gives the disks for a message: as few as are enough, the nearest first; fewer where they are too few.
func (s *storage) choose() []string {
	ranked := s.ranked(nil)
	var chosen []string
	for _, pick := range s.core.settings.Tolerance.Choose(nil, s.zones(ranked)) {
		chosen = append(chosen, ranked[pick])
	}
	return chosen
}

// another gives one more disk for a message that was tried at some and is held by some: one that it lacks, where there is
// one; empty where there is none at all.
func (s *storage) another(tried, holders []string) string {
	ranked := s.ranked(tried)
	if picks := s.core.settings.Tolerance.Choose(s.zones(holders), s.zones(ranked)); len(picks) > 0 {
		return ranked[picks[0]]
	}
	if len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// ranked gives the disks that messages can be put at, the best first, none of those in without.
func (s *storage) ranked(without []string) []string {
	view := s.core.session.View()
	var disks []string
	for disk, entry := range view.Counted() {
		if !entry.Leaving && s.isUp(disk) && !slices.Contains(without, disk) {
			disks = append(disks, disk)
		}
	}
	now := s.core.env.Now()
	rank := func(disk string) int {
		switch {
		case s.silent(disk) >= suspectAfter:
			return 3
		case now < s.putCalls(disk).slowUntil:
			return 2
		case view.Disks[disk].Member.Zone == s.core.settings.Zone:
			return 0
		default:
			return 1
		}
	}
	sort.Strings(disks)
	turn := int(s.core.env.Random(int64(len(disks) + 1)))
	if len(disks) > 0 {
		turn %= len(disks)
		disks = append(append([]string(nil), disks[turn:]...), disks[:turn]...)
	}
	sort.SliceStable(disks, func(i, j int) bool { return rank(disks[i]) < rank(disks[j]) })
	return disks
}

// hearing is what a disk has told of what all were asked for.
type hearing uint8

const (
	unheard     hearing = iota
	heardInPart         // it may lack something, since it is being filled
	heardWhole
)

// heardEnough tells whether all disks that count have told, or, once it is late, all but such as may be lost at one time.
func (s *storage) heardEnough(late bool, heard func(disk string) hearing) bool {
	var counted, silent []string
	all := true
	for disk, entry := range s.core.session.View().Counted() {
		counted = append(counted, entry.Member.Zone)
		told := heard(disk)
		all = all && told != unheard
		if told != heardWhole {
			silent = append(silent, entry.Member.Zone)
		}
	}
	tolerance := &s.core.settings.Tolerance
	return tolerance.Enough(counted) && tolerance.May(silent) && (all || late)
}

func (s *storage) put(disk string, m *message.Message, done func(err error)) {
	c := s.core
	calls := s.putCalls(disk)
	if calls.waiting == 0 {
		calls.since = c.env.Now()
	}
	calls.waiting++
	body := wire.PutBody{Message: *m, Epoch: c.session.View().Epoch}
	c.env.Call(s.address(disk), wire.PutMessage, wire.Encode(&body), putTimeout, func(_ []byte, err error) {
		calls.waiting--
		if took := c.env.Now() - calls.since; err != nil && took > suspectAfter {
			calls.slowUntil = c.env.Now() + slowFor
		}
		calls.since = c.env.Now()
		done(err)
	})
}

// breakSilent tries anew to reach stores that have been silent for long.
func (s *storage) breakSilent() {
	for disk := range ordered.Map(s.calls) {
		if s.silent(disk) > breakAfter && s.isUp(disk) {
			s.core.env.Break(s.address(disk))
		}
	}
}

func (s *storage) void(disk, id string, timeout time.Duration, done func(err error)) {
	body := wire.VoidBody{ID: id}
	s.core.env.Call(s.address(disk), wire.VoidMessage, wire.Encode(&body), timeout, func(_ []byte, err error) {
		if err != nil {
			s.core.env.Report("a message could not be made void", err)
		}
		done(err)
	})
}
