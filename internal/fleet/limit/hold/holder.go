package hold

// Holder is the member's side: the sets of slots that it wants and has. It is not safe for concurrent use.
type Holder struct {
	lease      int64
	items      []*request
	unsent     bool // changed since the last report
	askedAt    int64
	unanswered bool // the last report has not been answered
	wantsBusy  bool // the slots of others are to be requested
	busy       []Busy
	busyAt     int64
}

type request struct {
	Item
	endsAt       int64 // reference time of Left
	grantedUntil int64 // the slots are its own until then; 0: they were never granted
}

// NewHolder returns a Holder without any sets; leaseFor is the length of the lease.
func NewHolder(leaseFor int64) *Holder { return &Holder{lease: leaseFor} }

// Want asks for a set of slots, all or none, that must be in use by a time, for parts that run for a time. It
// returns false, and asks for nothing, if the report would exceed MaxItems or MaxSpots.
func (h *Holder) Want(id uint64, spots []Spot, by, run int64) bool {
	n := len(spots)
	for _, i := range h.items {
		n += len(i.Spots)
	}
	if len(h.items) >= MaxItems || n > MaxSpots {
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

// Has reports whether the slots of a set are its own now.
func (h *Holder) Has(now int64, id uint64) bool {
	i := h.find(id)
	return i != nil && now < i.grantedUntil
}

// Begin records that the parts run, and when they are expected to end.
func (h *Holder) Begin(id uint64, ends int64) {
	if i := h.find(id); i != nil {
		i.State, i.endsAt = Runs, ends
		h.unsent = true
	}
}

// Drop gives up a set of slots, whether granted or not.
func (h *Holder) Drop(id uint64) {
	for n, i := range h.items {
		if i.ID == id {
			h.items = append(h.items[:n:n], h.items[n+1:]...)
			h.unsent = true
			return
		}
	}
}

// Look requests the slots of others with the next ask.
func (h *Holder) Look() { h.wantsBusy = true }

// Ask returns what to report to the dealer now, and whether to request the slots of others; any is false if
// nothing is due. A dropped set is reported by its absence.
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

// Granted handles the answer to the report with that number, which is the time when it was sent. The lease counts
// from then, not from now, because the dealer received the report later than that.
func (h *Holder) Granted(now, number int64, a Answer) {
	h.unanswered = h.unanswered && number < h.askedAt
	for _, id := range a.Given {
		if i := h.find(id); i != nil {
			i.grantedUntil = max(i.grantedUntil, number+h.lease)
		}
	}
	if a.BusyIncluded {
		h.busy, h.busyAt, h.wantsBusy = a.Busy, now, false
	}
}

// Busy returns the slots that others had by the dealer's last list, and when that arrived.
func (h *Holder) Busy() (list []Busy, at int64) { return h.busy, h.busyAt }
