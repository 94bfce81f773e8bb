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

// maxLine bounds a line of a response: a body of 64 KiB with every byte escaped, and the JSON around it.
const maxLine = 6*maxBody + 1024

// NoteKind is what a Note reports.
type NoteKind uint8

// The kinds of notes, with the fields of Note that each uses.
const (
	NoteTaken NoteKind = iota // the host has accepted the message and runs it now or later
	NoteStarted
	NoteProgress // Share
	NoteEnded    // Result, and Content if the result is logic.Served
	NoteFree     // the response is complete; Keep says whether the connection can be reused
)

// Note is one report by a back-end host about an attempt.
type Note struct {
	Kind    NoteKind
	Share   float64
	Result  logic.Result
	Content []byte
	Keep    bool
}

// Part describes one part of a gang (a message that runs at several hosts at once) to its host. It is sent in
// headers that the protocol leaves free.
type Part struct {
	Rank   int
	Peers  []string      // addresses of the hosts of all parts, by rank
	Within time.Duration // all parts must start within this time, or none may continue
}

// AppendRelay appends the request that sends a message to a back-end host, or a part of it if part is not nil.
// Method, target, body, X-Txn and Idempotency-Key are forwarded unchanged.
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

// ResponseReader reads the responses on one connection to a back-end host, one at a time.
type ResponseReader struct {
	resp    response
	lines   lineSplitter
	parser  fastjson.Parser
	id      string
	pending bool // a request was sent and its response is incomplete
	ended   bool // the outcome is known
	notify  func(Note)
}

var (
	errUnexpectedBytes = errors.New("unexpected bytes: no response is pending")
	errMalformedLine   = errors.New("malformed line in a host's response")
)

// NewRelay returns a reader that passes its notes to notify.
func NewRelay(notify func(Note)) *ResponseReader {
	return &ResponseReader{lines: lineSplitter{maxLen: maxLine}, notify: notify}
}

// Begin prepares for the response to the message with the given id, whose request is about to be sent.
func (r *ResponseReader) Begin(id string) {
	r.resp.reset()
	r.lines.reset()
	r.id, r.pending, r.ended = id, true, false
}

// Feed processes received bytes. After an error the connection cannot be used any more, and an attempt without a
// reported outcome counts as broken.
func (r *ResponseReader) Feed(b []byte) error {
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
		// The response is complete without an outcome: treat it like a broken connection.
		r.reportEnd(logic.Broken, nil)
	}
	r.notify(Note{Kind: NoteFree, Keep: !r.resp.close && used == len(b)})
	return nil
}

func (r *ResponseReader) reportEnd(result logic.Result, content []byte) {
	r.ended = true
	r.notify(Note{Kind: NoteEnded, Result: result, Content: content})
}

// head processes the status line: every status but 200 is an outcome by itself.
func (r *ResponseReader) head() {
	switch s := r.resp.status; {
	case s == 200:
		r.notify(Note{Kind: NoteTaken})
	case (s == 503 || s == 504) && r.resp.fields.Get("X-Turned-Away") == "1":
		r.reportEnd(logic.Refused, nil)
	case s >= 400 && s < 500:
		// The message is at fault, so the host must not be ejected for it.
		r.reportEnd(logic.Unusable, nil)
	default:
		r.reportEnd(logic.Failed, nil)
	}
}

// line processes one JSON object.
func (r *ResponseReader) line(text []byte) error {
	if r.ended || len(text) == 0 {
		return nil
	}
	v, err := r.parser.ParseBytes(text)
	if err != nil || string(v.GetStringBytes("id")) != r.id {
		// A line for another message must not be returned as this one's result.
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
