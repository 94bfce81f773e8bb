package member

import (
	"encoding/binary"
	"io"
	"log/slog"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"granitewing/internal/fleet/ledger"
	"granitewing/internal/fleet/limit"
)

// What the library calls, on goroutines of its own: nothing here waits.

// NodeMeta implements memberlist.Delegate.
func (f *Fleet) NodeMeta(int) []byte { return binary.BigEndian.AppendUint64(nil, f.o.Incarnation) }

// NotifyMsg implements memberlist.Delegate: a report has come.
func (f *Fleet) NotifyMsg(b []byte) {
	if len(b) > 0 && b[0] == limit.Version {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.hear(b)
		return
	}
	r, err := ledger.Parse(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.bad++
		return
	}
	if s, known := f.speaking[r.From]; known {
		s.last = time.Now()
		f.speaking[r.From] = s
	}
	if t, asked := f.asked[r.From]; asked {
		t.spoke = time.Now()
		f.asked[r.From] = t
	}
	from := key{r.From, r.Kind}
	old, waits := f.reports[from]
	switch {
	case waits && (old.Incarnation > r.Incarnation || old.Incarnation == r.Incarnation && old.Seq >= r.Seq):
		f.old++
		return
	case waits && old.Incarnation < r.Incarnation:
		f.old++ // its successor takes its place
	case !waits && len(f.reports) >= waitingMost:
		f.full++
		return
	}
	f.reports[from] = ledger.News{Report: r, At: time.Now()}
}

// GetBroadcasts implements memberlist.Delegate.
func (f *Fleet) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (f *Fleet) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (f *Fleet) MergeRemoteState([]byte, bool) {}

// NotifyJoin implements memberlist.EventDelegate.
func (f *Fleet) NotifyJoin(n *memberlist.Node) {
	f.o.Log.Info("fleet: member", "member", n.Name, "addr", n.Address())
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Name != f.o.Name && (len(f.speaking) < waitingMost || f.speaking[n.Name].node != nil) {
		own := *n // the library changes its own in place
		f.speaking[n.Name] = speaker{node: &own, last: f.speaking[n.Name].last}
	}
}

// NotifyUpdate implements memberlist.EventDelegate.
func (f *Fleet) NotifyUpdate(*memberlist.Node) {}

// NotifyLeave implements memberlist.EventDelegate: it ended, or was given up.
func (f *Fleet) NotifyLeave(n *memberlist.Node) {
	left := n.State == memberlist.StateLeft
	f.o.Log.Info("fleet: member gone", "member", n.Name, "addr", n.Address(), "left", left)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.asked, n.Name)
	if s := f.speaking[n.Name]; !left && time.Since(s.last) < speaksFor {
		return // it speaks: only the way to those that gave it up is cut, and its news counts by its own age
	}
	if left || len(f.speaking) >= waitingMost {
		delete(f.speaking, n.Name)
	}
	if len(n.Meta) == 8 && len(f.gone) < waitingMost {
		f.gone = append(f.gone, ledger.Process{Name: n.Name, Incarnation: binary.BigEndian.Uint64(n.Meta)})
	}
}

// NotifyConflict implements memberlist.ConflictDelegate.
func (f *Fleet) NotifyConflict(existing, other *memberlist.Node) {
	f.o.Log.Error("fleet: two members of one name", "member", existing.Name, "addr", existing.Address(), "other", other.Address())
	f.mu.Lock()
	defer f.mu.Unlock()
	if existing.Name == f.o.Name {
		f.conflict = other.Address()
	}
}

// lines brings the library's own log into the program's. What it says of peers that come and go is said here already.
type lines struct{ log *slog.Logger }

func (l lines) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if _, after, ok := strings.Cut(text, "[ERR] "); ok {
		l.log.Warn("fleet", "cause", after)
	} else {
		l.log.Debug("fleet", "cause", text)
	}
	return len(b), nil
}

var _ io.Writer = lines{}
