package hold

// Holder is a member's side: what it wants and has. It must not be used by two goroutines at once.
type Holder struct {
	lease   int64
	items   []*held
	changed bool // since it was last told
	asked   int64
	silent  bool // nothing it has told has been answered
	look    bool // it wants to know what others have
	busy    []Busy
	busyAt  int64
}

type held struct {
	Item
	ends  int64 // Left is counted from here
	until int64 // it has its slots until then; 0: it was never given them
}

// NewHolder makes the side of a member that has nothing.
func NewHolder(leaseFor int64) *Holder { return &Holder{lease: leaseFor} }

// Want asks for slots, all of them, by a time, for parts that will run for so long; false where it has too much to tell already.
func (h *Holder) Want(id uint64, spots []Spot, by, run int64) bool {
	n := len(spots)
	for _, i := range h.items {
		n += len(i.Spots)
	}
	if len(h.items) >= ItemsMost || n > SpotsMost {
		return false
	}
	h.items = append(h.items, &held{Item: Item{ID: id, Spots: spots, Run: run}, ends: by})
	h.changed = true
	return true
}

func (h *Holder) find(id uint64) *held {
	for _, i := range h.items {
		if i.ID == id {
			return i
		}
	}
	return nil
}

// Has tells whether the slots are its own now.
func (h *Holder) Has(now int64, id uint64) bool {
	i := h.find(id)
	return i != nil && now < i.until
}

// Begin says that the parts run, and until about when.
func (h *Holder) Begin(id uint64, ends int64) {
	if i := h.find(id); i != nil {
		i.State, i.ends = Runs, ends
		h.changed = true
	}
}

// Drop gives the slots up, or wants them no more.
func (h *Holder) Drop(id uint64) {
	for n, i := range h.items {
		if i.ID == id {
			h.items = append(h.items[:n:n], h.items[n+1:]...)
			h.changed = true
			return
		}
	}
}

// Look has it ask what others have.
func (h *Holder) Look() { h.look = true }

// Ask gives what is to be told now, and whether it is to be told what others have; any is false where nothing need be said. What was
// dropped is told by its absence.
func (h *Holder) Ask(now int64) (items []Item, look, any bool) {
	if !h.changed && !h.silent && !h.look && len(h.items) == 0 {
		return nil, false, false
	}
	for _, i := range h.items {
		if i.State != Runs {
			i.State = Want
			if now < i.until {
				i.State = Has
			}
		}
		i.Left = i.ends - now
		items = append(items, i.Item)
	}
	h.changed, h.silent, h.asked = false, true, now
	return items, h.look, true
}

// Granted takes an answer to what was told at a time. What is given counts from then, not from now: the dealer heard of it
// later.
func (h *Holder) Granted(now, number int64, a Answer) {
	h.silent = h.silent && number < h.asked
	for _, id := range a.Given {
		if i := h.find(id); i != nil {
			i.until = max(i.until, number+h.lease)
		}
	}
	if a.Told {
		h.busy, h.busyAt, h.look = a.Busy, now, false
	}
}

// Busy lists the slots that others had when the dealer told of them last, and when that was.
func (h *Holder) Busy() (list []Busy, at int64) { return h.busy, h.busyAt }
