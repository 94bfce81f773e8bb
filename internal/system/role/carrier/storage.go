package carrier

import (
	"slices"
	"sort"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// Durations of calls to the stores.
const (
	putTimeout       = 3 * time.Second
	suspectTimeout   = 150 * time.Millisecond // a store that leaves puts unanswered for so long is used last
	reconnectTimeout = 450 * time.Millisecond // after so long without an answer the connection is reopened
	slowPeriod       = 2 * time.Second        // how long a store whose put failed after suspectTimeout is used last
)

// storage is the carrier's client of the stores.
type storage struct {
	core      *Core
	outboxes  map[string]*outbox   // by disk
	putStates map[string]*putState // by disk
	// outcomesSpread is set once a stopping carrier has sent outcomes that some disk lacks to all counting disks.
	outcomesSpread bool
}

// putState tracks how a store answers puts.
type putState struct {
	pending   int
	since     time.Duration // when the last put was answered or, if later, the first pending one was sent
	slowUntil time.Duration // until then the store is used last
}

func newStorage(core *Core) *storage {
	return &storage{core: core, outboxes: map[string]*outbox{}, putStates: map[string]*putState{}}
}

func (s *storage) address(disk string) string {
	return s.core.session.View().Disks[disk].Member.Address
}

func (s *storage) isUp(disk string) bool {
	address := s.address(disk)
	return address != "" && s.core.env.Connected(address)
}

func (s *storage) putState(disk string) *putState {
	state := s.putStates[disk]
	if state == nil {
		state = &putState{}
		s.putStates[disk] = state
	}
	return state
}

// unansweredFor returns how long a store has had pending puts without answering any.
func (s *storage) unansweredFor(disk string) time.Duration {
	state := s.putStates[disk]
	if state == nil || state.pending == 0 {
		return 0
	}
	return s.core.env.Now() - state.since
}

// zones returns the zones of disks. Disks that are no longer in the roster are left out.
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

// enoughReachable reports whether messages can be stored: enough stores are connected and answer puts.
func (s *storage) enoughReachable() bool {
	var reachable []string
	for disk, entry := range s.core.session.View().QuorumDisks() {
		if !entry.Leaving && s.isUp(disk) && s.unansweredFor(disk) < suspectTimeout {
			reachable = append(reachable, disk)
		}
	}
	return s.core.enough(reachable)
}

// choose returns the disks for a new message: the fewest that are enough, the nearest first; all usable ones if
// they are not enough.
func (s *storage) choose() []string {
	ranked := s.ranked(nil)
	var chosen []string
	for _, pick := range s.core.settings.Tolerance.ChooseReplicas(nil, s.zones(ranked)) {
		chosen = append(chosen, ranked[pick])
	}
	return chosen
}

// another returns one more disk for a message that was sent to attempted and is stored on holders. It prefers a
// disk that the message still needs, and returns an empty string if there is no other disk.
func (s *storage) another(attempted, holders []string) string {
	ranked := s.ranked(attempted)
	if picks := s.core.settings.Tolerance.ChooseReplicas(s.zones(holders), s.zones(ranked)); len(picks) > 0 {
		return ranked[picks[0]]
	}
	if len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// ranked returns the disks to which messages can be sent, best first, except the excluded ones.
func (s *storage) ranked(excluded []string) []string {
	view := s.core.session.View()
	var disks []string
	for disk, entry := range view.QuorumDisks() {
		if !entry.Leaving && s.isUp(disk) && !slices.Contains(excluded, disk) {
			disks = append(disks, disk)
		}
	}
	now := s.core.env.Now()
	rank := func(disk string) int {
		switch {
		case s.unansweredFor(disk) >= suspectTimeout:
			return 3
		case now < s.putState(disk).slowUntil:
			return 2
		case view.Disks[disk].Member.Zone == s.core.settings.Zone:
			return 0
		default:
			return 1
		}
	}
	sort.Strings(disks)
	offset := int(s.core.env.Random(int64(len(disks) + 1)))
	if len(disks) > 0 {
		offset %= len(disks)
		disks = append(append([]string(nil), disks[offset:]...), disks[:offset]...)
	}
	sort.SliceStable(disks, func(i, j int) bool { return rank(disks[i]) < rank(disks[j]) })
	return disks
}

// diskAnswer is how completely a disk has answered a request that went to all disks.
type diskAnswer uint8

const (
	notAnswered    diskAnswer = iota
	answeredInPart            // data may be missing, since the disk is being backfilled
	answeredFully
)

// enoughAnswered reports whether enough counting disks have answered. Those that answered in part or not at all must be
// few enough that they may be lost at the same time. Unless late is set, every disk must also have answered at least in
// part.
func (s *storage) enoughAnswered(late bool, answerOf func(disk string) diskAnswer) bool {
	var counting, missing []string
	all := true
	for disk, entry := range s.core.session.View().QuorumDisks() {
		counting = append(counting, entry.Member.Zone)
		answer := answerOf(disk)
		all = all && answer != notAnswered
		if answer != answeredFully {
			missing = append(missing, entry.Member.Zone)
		}
	}
	tolerance := &s.core.settings.Tolerance
	return tolerance.SufficientReplicas(counting) && tolerance.MayBeLost(missing) && (all || late)
}

func (s *storage) put(disk string, m *message.Message, done func(err error)) {
	c := s.core
	state := s.putState(disk)
	if state.pending == 0 {
		state.since = c.env.Now()
	}
	state.pending++
	body := wire.PutBody{Message: *m, Epoch: c.session.View().Epoch}
	c.env.Call(s.address(disk), wire.PutMessage, wire.Encode(&body), putTimeout, func(_ []byte, err error) {
		state.pending--
		if took := c.env.Now() - state.since; err != nil && took > suspectTimeout {
			state.slowUntil = c.env.Now() + slowPeriod
		}
		state.since = c.env.Now()
		done(err)
	})
}

// reconnectUnresponsive reopens the connections of stores that have not answered for long.
func (s *storage) reconnectUnresponsive() {
	for disk := range ordered.Map(s.putStates) {
		if s.unansweredFor(disk) > reconnectTimeout && s.isUp(disk) {
			s.core.env.Disconnect(s.address(disk))
		}
	}
}

// findOutcomes queries a disk for the outcomes of messages. Its answer says whether the disk holds all that it must.
func (s *storage) findOutcomes(disk string, ids []string, done func(answer wire.FindOutcomesAnswer, err error)) {
	payload := wire.Encode(&wire.FindOutcomesBody{IDs: ids})
	s.core.env.Call(s.address(disk), wire.FindOutcomes, payload, listTimeout, func(payload []byte, err error) {
		var answer wire.FindOutcomesAnswer
		if err == nil {
			err = wire.Decode(wire.FindOutcomes, payload, &answer)
		}
		done(answer, err)
	})
}

func (s *storage) cancel(disk, id string, timeout time.Duration, done func(err error)) {
	body := wire.CancelBody{ID: id}
	s.core.env.Call(s.address(disk), wire.CancelMessage, wire.Encode(&body), timeout, func(_ []byte, err error) {
		if err != nil {
			s.core.env.LogWarning("cannot cancel a stored message", err)
		}
		done(err)
	})
}
