package hold

// Holder is a member's side: what it wants and has. It must not be used by two goroutines at once.
type Holder struct {
	lease      int64
	items      []*request
	unsent     bool // since it was last told
	askedAt    int64
	unanswered bool // nothing it has told has been answered
	wantsBusy  bool // it wants to know what others have
	busy       []Busy
	busyAt     int64
}

type request struct {
	Item
	endsAt       int64 // Left is counted from here
	grantedUntil int64 // it has its slots until then; 0: it was never given them
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
	h.items = append(h.items, &request{Item: Item{ID: id, Spots: spots, Run: run}, endsAt: by})
	h.unsent = true
	return true
}

func (h *Holder) find(id uint64) *request {
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
	return i != nil && now < i.grantedUntil
}

// Begin says that the parts run, and until about when.
func (h *Holder) Begin(id uint64, ends int64) {
	if i := h.find(id); i != nil {
		i.State, i.endsAt = Runs, ends
		h.unsent = true
	}
}

// Drop gives the slots up, or wants them no more.
func (h *Holder) Drop(id uint64) {
	for n, i := range h.items {
		if i.ID == id {
			h.items = append(h.items[:n:n], h.items[n+1:]...)
			h.unsent = true
			return
		}
	}
}

// Look has it ask what others have.
func (h *Holder) Look() { h.wantsBusy = true }

// Ask gives what is to be told now, and whether it is to be told what others have; any is false where nothing need be said. What was
// dropped is told by its absence.
func (h *Holder) Ask(now int64) (items []Item, look, any bool) {
	if !h.unsent && !h.unanswered && !h.wantsBusy && len(h.items) == 0 {
		return nil, false, false
	}
	for _, i := range h.items {
		if i.State != Runs {
			i.State = Want
			if now < i.grantedUntil {
				i.State = Has
			}
		}
		i.Left = i.endsAt - now
		items = append(items, i.Item)
	}
	h.unsent, h.unanswered, h.askedAt = false, true, now
	return items, h.wantsBusy, true
}

// Granted takes an answer to what was told at a time. What is given counts from then, not from now: the dealer heard of it
// later.
func (h *Holder) Granted(now, number int64, a Answer) {
	h.unanswered = h.unanswered && number < h.askedAt
	for _, id := range a.Given {
		if i := h.find(id); i != nil {
			i.grantedUntil = max(i.grantedUntil, number+h.lease)
		}
	}
	if a.Told {
		h.busy, h.busyAt, h.wantsBusy = a.Busy, now, false
	}
}

// Busy lists the slots that others had when the dealer told of them last, and when that was.
func (h *Holder) Busy() (list []Busy, at int64) { return h.busy, h.busyAt }
