package model

import "slices"

// Phase is the phase of a host in discovery's list.
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
	UpSince int64 // microseconds of the day at which the process started; 0 = before the day
}

// Directory is discovery's list. It publishes changes after a lag, in the order in which they happened. Times are in
// microseconds.
type Directory struct {
	revision        int64
	entries         []publishedEntry // the published list, by the revision of the latest change
	pending         []pendingChange
	lastPublication int64 // when the latest change is published
	stale           bool  // no changes are published
}

// publishedEntry is a published member with the revision of its latest change.
type publishedEntry struct {
	Member
	revision int64
}

// pendingChange is a change that is not published yet.
type pendingChange struct {
	publishAt int64
	Member
}

// NewDirectory returns a list that is published as revision 1.
func NewDirectory(members []Member) *Directory {
	d := &Directory{revision: 1}
	for _, m := range members {
		d.entries = append(d.entries, publishedEntry{m, 1})
	}
	return d
}

// Change replaces the entry of a member. The change is published after lag, but not before earlier changes.
func (d *Directory) Change(now, lag int64, m Member) {
	d.lastPublication = max(d.lastPublication, now+lag)
	d.pending = append(d.pending, pendingChange{d.lastPublication, m})
}

// Stale stops the publication of changes, or resumes it.
func (d *Directory) Stale(on bool) { d.stale = on }

// Next returns when the next change is due for publication, or Never.
func (d *Directory) Next() int64 {
	if d.stale || len(d.pending) == 0 {
		return Never
	}
	return d.pending[0].publishAt
}

// Advance publishes the changes that are due and reports whether there were any.
func (d *Directory) Advance(now int64) bool {
	changed := false
	for !d.stale && len(d.pending) > 0 && d.pending[0].publishAt <= now {
		d.revision++
		m := d.pending[0].Member
		d.pending = d.pending[1:]
		d.entries = slices.DeleteFunc(d.entries, func(e publishedEntry) bool { return e.ID == m.ID })
		d.entries = append(d.entries, publishedEntry{m, d.revision})
		changed = true
	}
	return changed
}

// Revision returns the revision of the published list.
func (d *Directory) Revision() int64 { return d.revision }

// All returns the whole published list without the members that are gone.
func (d *Directory) All() []Member {
	var out []Member
	for _, e := range d.entries {
		if e.Phase != Gone {
			out = append(out, e.Member)
		}
	}
	return out
}

// Since returns the members that changed after a revision. For a revision that was never published it returns the whole
// list instead, and complete is true.
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
