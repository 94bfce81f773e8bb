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

// These are the callbacks of the library. It calls them on its own goroutines, so none of them blocks.

// NodeMeta implements memberlist.Delegate: it publishes this process's incarnation in 8 bytes, big endian.
func (f *Fleet) NodeMeta(int) []byte {
	return binary.BigEndian.AppendUint64(nil, f.options.Incarnation)
}

// NotifyMsg implements memberlist.Delegate: it queues a report or a message about limits. Of each sender and kind only
// the latest report waits.
func (f *Fleet) NotifyMsg(b []byte) {
	if len(b) > 0 && b[0] == limit.Version {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.receiveLimits(b)
		return
	}
	r, err := ledger.Parse(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.bad++
		return
	}
	if c, known := f.contacts[r.From]; known {
		c.lastHeard = time.Now()
		f.contacts[r.From] = c
	}
	if e, awaited := f.awaited[r.From]; awaited {
		e.lastHeard = time.Now()
		f.awaited[r.From] = e
	}
	from := source{r.From, r.Kind}
	old, pending := f.reports[from]
	switch {
	case pending && (old.Incarnation > r.Incarnation || old.Incarnation == r.Incarnation && old.Seq >= r.Seq):
		f.old++
		return
	case pending && old.Incarnation < r.Incarnation:
		f.old++ // the report of the later process replaces it
	case !pending && len(f.reports) >= maxPending:
		f.full++
		return
	}
	f.reports[from] = ledger.Received{Report: r, At: time.Now()}
}

// GetBroadcasts implements memberlist.Delegate; there are none.
func (f *Fleet) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate; state exchanges carry the membership alone.
func (f *Fleet) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate; it does nothing.
func (f *Fleet) MergeRemoteState([]byte, bool) {}

// NotifyJoin implements memberlist.EventDelegate: it records the member as a contact.
func (f *Fleet) NotifyJoin(n *memberlist.Node) {
	f.options.Log.Info("fleet: member joined", "member", n.Name, "addr", n.Address())
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Name != f.options.Name && (len(f.contacts) < maxPending || f.contacts[n.Name].node != nil) {
		node := *n // a copy, because the library changes its own in place
		f.contacts[n.Name] = contact{node: &node, lastHeard: f.contacts[n.Name].lastHeard}
	}
}

// NotifyUpdate implements memberlist.EventDelegate; it does nothing.
func (f *Fleet) NotifyUpdate(*memberlist.Node) {}

// NotifyLeave implements memberlist.EventDelegate: a member left, or was declared dead.
func (f *Fleet) NotifyLeave(n *memberlist.Node) {
	left := n.State == memberlist.StateLeft
	f.options.Log.Info("fleet: member left or failed", "member", n.Name, "addr", n.Address(), "left", left)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.awaited, n.Name)
	if c := f.contacts[n.Name]; !left && time.Since(c.lastHeard) < contactTimeout {
		return // it still sends reports here, so only its links to others are down; its reports expire by their age
	}
	if left || len(f.contacts) >= maxPending {
		delete(f.contacts, n.Name)
	}
	if len(n.Meta) == 8 && len(f.gone) < maxPending {
		f.gone = append(f.gone, ledger.Process{Name: n.Name, Incarnation: binary.BigEndian.Uint64(n.Meta)})
	}
}

// NotifyConflict implements memberlist.ConflictDelegate: two live members have the same name. Join fails if it is the
// name of this member.
func (f *Fleet) NotifyConflict(existing, other *memberlist.Node) {
	f.options.Log.Error("fleet: two members have the same name", "member", existing.Name, "addr", existing.Address(), "other", other.Address())
	f.mu.Lock()
	defer f.mu.Unlock()
	if existing.Name == f.options.Name {
		f.nameTakenBy = other.Address()
	}
}

// logWriter passes the library's log lines to the program's log: errors as warnings, everything else at debug level,
// because this package already logs members that join and leave.
type logWriter struct{ log *slog.Logger }

func (l logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if _, after, ok := strings.Cut(text, "[ERR] "); ok {
		l.log.Warn("fleet: error of the membership library", "cause", after)
	} else {
		l.log.Debug("fleet: message of the membership library", "cause", text)
	}
	return len(b), nil
}

var _ io.Writer = logWriter{}
