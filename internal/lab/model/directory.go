package model

import "slices"

// Phase is what discovery says of a host.
type Phase string

// The phases of a host.
const (
	Ready    Phase = "ready"
	Draining Phase = "draining"
	Gone     Phase = "gone"
)

// Member is one entry of discovery's list.
type Member struct {
	ID      string
	Zone    int
	Kind    int
	Cell    int
	Phase   Phase
	Size    float64
	UpSince int64 // microseconds; 0 = long ago
}

// Directory is discovery's list. What changes is told only after a lag, and in the order in which it changed.
type Directory struct {
	revision int64
	entries  []entry // the list as told, by the revision of their latest change
	pending  []pending
	last     int64 // when the latest pending change is told
	stale    bool
}

type entry struct {
	Member
	revision int64
}

type pending struct {
	at int64
	Member
}

// NewDirectory makes a list that all have heard.
func NewDirectory(members []Member) *Directory {
	d := &Directory{revision: 1}
	for _, m := range members {
		d.entries = append(d.entries, entry{m, 1})
	}
	return d
}

// Change takes an entry that is told after lag.
func (d *Directory) Change(now, lag int64, m Member) {
	d.last = max(d.last, now+lag)
	d.pending = append(d.pending, pending{d.last, m})
}

// Stale keeps the list as it was told so far, or lets go of what has changed since.
func (d *Directory) Stale(on bool) { d.stale = on }

// Next is when something is to be told.
func (d *Directory) Next() int64 {
	if d.stale || len(d.pending) == 0 {
		return Never
	}
	return d.pending[0].at
}

// Advance applies what is due and tells whether anything was.
func (d *Directory) Advance(now int64) bool {
	changed := false
	for !d.stale && len(d.pending) > 0 && d.pending[0].at <= now {
		d.revision++
		m := d.pending[0].Member
		d.pending = d.pending[1:]
		d.entries = slices.DeleteFunc(d.entries, func(e entry) bool { return e.ID == m.ID })
		d.entries = append(d.entries, entry{m, d.revision})
		changed = true
	}
	return changed
}

// Revision is the number of the list as told.
func (d *Directory) Revision() int64 { return d.revision }

// All gives the whole list without those gone.
func (d *Directory) All() []Member {
	var out []Member
	for _, e := range d.entries {
		if e.Phase != Gone {
			out = append(out, e.Member)
		}
	}
	return out
}

// Since gives what changed after a revision; complete says that it is the whole list instead, for a revision that was
// never told.
func (d *Directory) Since(revision int64) (members []Member, complete bool) {
	if revision < 1 || revision > d.revision {
		return d.All(), true
	}
	for _, e := range d.entries {
		if e.revision > revision {
			members = append(members, e.Member)
		}
	}
	return members, false
}
