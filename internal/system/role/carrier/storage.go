package carrier

import (
	"slices"
	"sort"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// Times and bounds of the stores' use.
const (
	putTimeout      = 3 * time.Second
	endsTimeout     = 2 * time.Second
	endsAtOnce      = 512
	maxOutbox       = 100000
	slowAfterSilent = 500 * time.Millisecond // a store that let a put wait so long is chosen last
	slowFor         = 2 * time.Second
)

// outbox is what a store has to be told, in order, until it has answered.
type outbox struct {
	ends      []message.End
	callbacks []string
	busy      bool
}

// storage is this carrier's side of the stores.
type storage struct {
	core  *Core
	boxes map[string]*outbox       // by node
	slow  map[string]time.Duration // until when a store is chosen last
}

func newStorage(core *Core) *storage {
	return &storage{core: core, boxes: map[string]*outbox{}, slow: map[string]time.Duration{}}
}

func (s *storage) address(node string) string { return s.core.session.View().Stores[node].Address }

func (s *storage) isUp(node string) bool {
	address := s.address(node)
	return address != "" && s.core.env.Up(address)
}

// reachable is the number of stores with a connection.
func (s *storage) reachable() int {
	count := 0
	for node := range s.core.session.View().Stores {
		if s.isUp(node) {
			count++
		}
	}
	return count
}

// choose gives stores for a message, the nearest first, none of those in without.
func (s *storage) choose(count int, without []string) []string {
	view := s.core.session.View()
	var nodes []string
	for node := range view.Stores {
		if s.isUp(node) && !slices.Contains(without, node) {
			nodes = append(nodes, node)
		}
	}
	now := s.core.env.Now()
	rank := func(node string) int {
		switch {
		case now < s.slow[node]:
			return 2
		case view.Stores[node].Zone == s.core.settings.Zone:
			return 0
		default:
			return 1
		}
	}
	sort.Strings(nodes)
	turn := int(s.core.env.Random(int64(len(nodes) + 1)))
	if len(nodes) > 0 {
		turn %= len(nodes)
		nodes = append(append([]string(nil), nodes[turn:]...), nodes[:turn]...)
	}
	sort.SliceStable(nodes, func(i, j int) bool { return rank(nodes[i]) < rank(nodes[j]) })
	return nodes[:min(count, len(nodes))]
}

func (s *storage) put(node string, m *message.Message, done func(err error)) {
	c := s.core
	answered := false
	c.env.After(slowAfterSilent, func() {
		if !answered {
			s.slow[node] = c.env.Now() + slowFor
		}
	})
	body := wire.PutBody{Message: *m}
	c.env.Call(s.address(node), wire.PutMessage, wire.Encode(&body), putTimeout, func(_ []byte, err error) {
		answered = true
		done(err)
	})
}

func (s *storage) void(node, id string, done func(err error)) {
	body := wire.VoidBody{ID: id}
	s.core.env.Call(s.address(node), wire.VoidMessage, wire.Encode(&body), voidTimeout, func(_ []byte, err error) {
		if err != nil {
			s.core.env.Report("a message could not be made void", err)
		}
		done(err)
	})
}

func (s *storage) box(node string) *outbox {
	box := s.boxes[node]
	if box == nil {
		box = &outbox{}
		s.boxes[node] = box
	}
	return box
}

// recordEnd tells the holders about an end.
func (s *storage) recordEnd(holders []string, end message.End) {
	for _, node := range holders {
		box := s.box(node)
		if len(box.ends) >= maxOutbox {
			box.ends = append([]message.End(nil), box.ends[maxOutbox/2:]...)
		}
		box.ends = append(box.ends, end)
		s.flush(node)
	}
}

// recordCallback tells the holders that an end was told.
func (s *storage) recordCallback(holders []string, id string) {
	for _, node := range holders {
		box := s.box(node)
		if len(box.callbacks) >= maxOutbox {
			box.callbacks = append([]string(nil), box.callbacks[maxOutbox/2:]...)
		}
		box.callbacks = append(box.callbacks, id)
		s.flush(node)
	}
}

func (s *storage) up(address string) {
	for node := range s.boxes {
		if s.address(node) == address {
			s.flush(node)
		}
	}
}

func (s *storage) flushAll() {
	for node := range s.boxes {
		s.flush(node)
	}
}

// flush sends what a store lacks; one call is out at a time, and what gathers meanwhile goes with the next.
func (s *storage) flush(node string) {
	box := s.box(node)
	if box.busy || !s.isUp(node) {
		return
	}
	switch {
	case len(box.ends) > 0:
		count := min(len(box.ends), endsAtOnce)
		body := wire.EndsBody{Ends: box.ends[:count]}
		s.send(node, box, wire.PutEnds, wire.Encode(&body), func() { box.ends = append([]message.End(nil), box.ends[count:]...) })
	case len(box.callbacks) > 0:
		count := min(len(box.callbacks), endsAtOnce)
		body := wire.CallbackDoneBody{IDs: box.callbacks[:count]}
		s.send(node, box, wire.CallbackDone, wire.Encode(&body), func() { box.callbacks = append([]string(nil), box.callbacks[count:]...) })
	}
}

func (s *storage) send(node string, box *outbox, kind wire.Kind, payload []byte, taken func()) {
	box.busy = true
	s.core.env.Call(s.address(node), kind, payload, endsTimeout, func(_ []byte, err error) {
		box.busy = false
		if err != nil {
			return // housekeeping or a new connection tries again
		}
		taken()
		s.flush(node)
	})
}

// unwritten is the number of records that some store has not taken, of stores that are there.
func (s *storage) unwritten() int {
	count := 0
	for _, box := range s.boxes {
		count += len(box.ends) + len(box.callbacks)
	}
	return count
}
