package platform

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"granitewing/internal/dispatch"
	"granitewing/logic"
)

// maxList bounds the bytes of one list of the inventory.
const maxList = 4 << 20

// Names maps the names of zones and kinds to their indices in the settings. A locality is a name in Zones, a
// flavor one in Kinds; a cell is a number already.
type Names struct {
	Zones []string
	Kinds []string
}

// List is one list of hosts from discovery.
type List struct {
	Revision int64
	Complete bool // all hosts; otherwise only those that changed
	Hosts    []dispatch.Host
}

// ReadList decodes one list; it does not retain the value. It fails if the list has no members, or one without an
// id or address.
func (n Names) ReadList(v *fastjson.Value) (List, error) {
	members := v.Get("members")
	if members == nil || members.Type() != fastjson.TypeArray {
		return List{}, errors.New("list has no members")
	}
	l := List{Revision: v.GetInt64("revision"), Complete: v.GetBool("complete")}
	for _, m := range members.GetArray() {
		h := dispatch.Host{
			Name:    string(m.GetStringBytes("id")),
			Addr:    string(m.GetStringBytes("host_port")),
			Zone:    slices.Index(n.Zones, scalarText(m.Get("locality"))),
			Kind:    slices.Index(n.Kinds, scalarText(m.Get("flavor"))),
			Cell:    m.GetInt("cell"),
			Weight:  m.GetFloat64("size"),
			UpSince: m.GetInt64("up_since_ms") * 1000,
			Phase:   logic.Draining, // hosts of an unknown phase receive nothing
		}
		switch string(m.GetStringBytes("phase")) {
		case "ready":
			h.Phase = logic.Ready
		case "gone":
			h.Phase = logic.Gone
		}
		if h.Name == "" || h.Addr == "" && h.Phase != logic.Gone {
			return List{}, errors.New("list has a member without id or address")
		}
		l.Hosts = append(l.Hosts, h)
	}
	return l, nil
}

// ErrStatus is the error for a response of discovery with a status other than 200.
var ErrStatus = errors.New("discovery answered with status")

// Watch reads the lists of discovery: the whole list if it was requested first, then the changes.
type Watch struct {
	names        Names
	resp         response
	splitter     objectSplitter
	parser       fastjson.Parser
	onList       func(List)
	awaitingFull bool // the response being read is the whole list, and the watch follows it
	statusErr    error
}

// NewWatch returns a reader that passes each list to onList. whole says that the request of AppendWhole precedes that
// of AppendWatch.
func NewWatch(names Names, whole bool, onList func(List)) *Watch {
	return &Watch{names: names, splitter: objectSplitter{maxLen: maxList}, awaitingFull: whole, onList: onList}
}

// AppendWhole appends the request for the whole list.
func AppendWhole(b []byte, host string) []byte {
	b = append(b, "GET /v1/servers HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	return append(b, "\r\n\r\n"...)
}

// AppendWatch appends the request that opens the watch for changes after a revision.
func AppendWatch(b []byte, host string, revision int64) []byte {
	b = append(b, "GET /v1/servers?stream=1&index="...)
	b = strconv.AppendInt(b, revision, 10)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	return append(b, "\r\n\r\n"...)
}

// Feed processes received bytes; an error ends the watch. listed reports that the whole list is complete, after
// which the watch has to be requested.
func (w *Watch) Feed(b []byte) (listed bool, err error) {
	used, complete, err := w.resp.feed(b, func() {
		if w.resp.status != 200 {
			w.statusErr = fmt.Errorf("%w %d", ErrStatus, w.resp.status)
		}
	}, w.feedBody)
	if err == nil && complete {
		err = w.splitter.end()
	}
	switch {
	case w.statusErr != nil:
		return false, w.statusErr
	case err != nil || !complete:
		return false, err
	case !w.awaitingFull || w.resp.close:
		return false, errors.New("discovery ended the watch")
	case used < len(b):
		return false, errUnexpectedBytes
	}
	w.awaitingFull = false
	w.resp.reset()
	return true, nil
}

// Alive reports whether the bytes fed last show that discovery is alive. A blank line between lists does; one
// within a list that never ends does not.
func (w *Watch) Alive() bool { return !w.resp.inBody || w.splitter.progressed }

func (w *Watch) feedBody(data []byte) error {
	if w.statusErr != nil {
		return w.statusErr
	}
	return w.splitter.feed(data, w.parseList)
}

func (w *Watch) parseList(text []byte) error {
	v, err := w.parser.ParseBytes(text)
	if err != nil {
		return fmt.Errorf("malformed list: %w", err)
	}
	l, err := w.names.ReadList(v)
	if err == nil && w.awaitingFull && !l.Complete {
		return errors.New("discovery answered the request for the whole list with an incomplete one")
	}
	if err == nil {
		w.onList(l)
	}
	return err
}
