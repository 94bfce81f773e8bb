package platform

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"granitewing/logic"
)

// maxLine bounds a line of a relay: a body of 64 KiB whose every byte is escaped, and its frame.
const maxLine = 6*maxBody + 1024

// NoteKind says what a relay's note tells.
type NoteKind uint8

// The kinds of notes.
const (
	NoteTaken NoteKind = iota // the host has the message, and runs it now or later
	NoteStarted
	NoteProgress // Share
	NoteEnded    // Result, and Content where it was served
	NoteFree     // the answer is whole; the connection may carry another relay if Keep
)

// Note is one thing that a south side host says of a relay.
type Note struct {
	Kind    NoteKind
	Share   float64
	Result  logic.Result
	Content []byte
	Keep    bool
}

// Part is what the relay of one part of several tells its host, in headers that the protocol leaves free.
type Part struct {
	Rank   int
	Peers  []string      // addresses of the hosts of all parts, by rank
	Within time.Duration // all have to begin within that, or none is to go on
}

// AppendRelay appends the request that relays a message to a south side host, or a part of it where it is not nil. Method, target,
// body, X-Txn and Idempotency-Key go out as they came.
func AppendRelay(b []byte, host string, m *Message, remaining time.Duration, part *Part) []byte {
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\nX-Txn: "...)
	b = append(b, m.Txn...)
	b = append(b, "\r\nX-Lane: "...)
	b = append(b, m.Lane...)
	b = append(b, "\r\nX-Remaining: "...)
	b = strconv.AppendFloat(b, remaining.Seconds(), 'f', 6, 64)
	if m.Key != "" {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, m.Key...)
	}
	if part != nil {
		b = fmt.Appendf(b, "\r\nX-Gang-Part: %d/%d\r\nX-Gang-Within: %.3f\r\nX-Gang-Peers: %s", part.Rank, len(part.Peers), part.Within.Seconds(), strings.Join(part.Peers, ","))
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, m.Body...)
}

// Relay reads the answers on one connection to a south side host, one relay at a time.
type Relay struct {
	resp    response
	lines   lineSplitter
	parser  fastjson.Parser
	id      string
	pending bool // a request is out and its answer is not whole
	ended   bool // the outcome is known
	notify  func(Note)
}

var (
	errUnexpectedBytes = errors.New("bytes where no answer is awaited")
	errMalformedLine   = errors.New("malformed line of a relay")
)

// NewRelay makes a reader that hands its notes to on.
func NewRelay(on func(Note)) *Relay { return &Relay{lines: lineSplitter{maxLen: maxLine}, notify: on} }

// Begin says that the request of a message goes out.
func (r *Relay) Begin(id string) {
	r.resp.reset()
	r.lines.reset()
	r.id, r.pending, r.ended = id, true, false
}

// Feed takes bytes as they come. After an error the connection is of no more use; a relay whose end was not
// told broke.
func (r *Relay) Feed(b []byte) error {
	if !r.pending {
		return errUnexpectedBytes
	}
	used, whole, err := r.resp.feed(b, r.head, func(data []byte) error { return r.lines.feed(data, r.line) })
	if err == nil && whole {
		err = r.lines.end(r.line)
	}
	if err != nil || !whole {
		return err
	}
	r.pending = false
	if !r.ended {
		// The answer is whole and told no end: as good as a connection that broke.
		r.reportEnd(logic.Broken, nil)
	}
	r.notify(Note{Kind: NoteFree, Keep: !r.resp.close && used == len(b)})
	return nil
}

func (r *Relay) reportEnd(result logic.Result, content []byte) {
	r.ended = true
	r.notify(Note{Kind: NoteEnded, Result: result, Content: content})
}

// head takes the status: all but 200 is an end by itself.
func (r *Relay) head() {
	switch s := r.resp.status; {
	case s == 200:
		r.notify(Note{Kind: NoteTaken})
	case (s == 503 || s == 504) && r.resp.fields.Get("X-Turned-Away") == "1":
		r.reportEnd(logic.Refused, nil)
	case s >= 400 && s < 500:
		// The message's fault and not the host's, which must not be shunned for what a client sends.
		r.reportEnd(logic.Unusable, nil)
	default:
		r.reportEnd(logic.Failed, nil)
	}
}

// line takes one JSON object.
func (r *Relay) line(text []byte) error {
	if r.ended || len(text) == 0 {
		return nil
	}
	v, err := r.parser.ParseBytes(text)
	if err != nil || string(v.GetStringBytes("id")) != r.id {
		// A line that is not of this message must not be served as its result.
		return errMalformedLine
	}
	switch string(v.GetStringBytes("state")) {
	case "started":
		r.notify(Note{Kind: NoteStarted})
	case "running":
		if s := v.Get("share"); s != nil && s.Type() == fastjson.TypeNumber {
			r.notify(Note{Kind: NoteProgress, Share: s.GetFloat64()})
		}
	case "done":
		switch c := v.Get("result"); {
		case c == nil:
			r.reportEnd(logic.Served, nil)
		case c.Type() == fastjson.TypeString:
			r.reportEnd(logic.Served, append([]byte(nil), c.GetStringBytes()...))
		default:
			r.reportEnd(logic.Served, c.MarshalTo(nil))
		}
	case "failed":
		r.reportEnd(logic.Failed, nil)
	case "returned":
		r.reportEnd(logic.Refused, nil)
	case "lost":
		r.reportEnd(logic.Broken, nil)
	}
	return nil
}
