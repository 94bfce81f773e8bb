// Package platform speaks the platform's HTTP/1.1 without a socket: state machines that are fed bytes and
// give back messages, relay notes and inventory lists, and builders of what is sent.
package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	maxHead = 16 << 10 // bytes of a head; what the platform sends takes a few hundred
	maxBody = 64 << 10 // bytes of a body, by the protocol
)

// head buffers bytes up to the blank line that ends a head.
type head struct{ buf []byte }

// feed takes bytes until the head is whole and tells how many it used.
func (h *head) feed(b []byte) (used int, whole bool, err error) {
	had := len(h.buf)
	if had == 0 {
		// Blank lines ahead of a head are passed over: some senders end a body with one more than they count.
		used = len(b) - len(bytes.TrimLeft(b, "\r\n"))
		b = b[used:]
	}
	h.buf = append(h.buf, b[:min(len(b), maxHead+1-had)]...)
	for i := max(had-3, 0); i < len(h.buf); i++ {
		if h.buf[i] != '\n' {
			continue
		}
		rest := h.buf[i+1:]
		end := 0
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			end = i + 2
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			end = i + 3
		default:
			continue
		}
		h.buf = h.buf[:end]
		return used + end - had, true, nil
	}
	if len(h.buf) > maxHead {
		return used, false, errors.New("head is too long")
	}
	return used + len(b), false, nil
}

var errMalformedHead = errors.New("malformed head")

// strict refuses what readers of a head take in different ways: line ends that are not CR LF, lines that go on in
// the next, names that are no tokens, control bytes. One that took it otherwise than a host or a client would find
// another message in the same bytes.
func (h *head) validate() error {
	for line := range bytes.Lines(h.buf) {
		line, crlf := bytes.CutSuffix(line, []byte("\r\n"))
		if !crlf || bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			return errMalformedHead
		}
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return errMalformedHead
		}
	}
	_, fields, _ := bytes.Cut(h.buf, []byte("\n"))
	for line := range bytes.Lines(fields) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if found && (len(name) == 0 || bytes.ContainsAny(name, " \t\"(),/;<=>?@[\\]{}")) {
			return errMalformedHead
		}
	}
	return nil
}

// parse splits a whole head into its first line and fields.
func (h *head) parse() (string, textproto.MIMEHeader, error) {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(h.buf)))
	first, err := r.ReadLine()
	if err != nil {
		return "", nil, err
	}
	fields, err := r.ReadMIMEHeader()
	if err != nil {
		return "", nil, err
	}
	return first, fields, nil
}

// The ways in which the end of a body is told.
type framing uint8

const (
	byContentLength framing = iota
	chunked
	untilClose // of the connection
)

// The places within a chunked body.
type chunkState uint8

const (
	sizeLine chunkState = iota
	chunkData
	dataEnd
	trailer
)

// body walks the bytes of one body.
type body struct {
	framing   framing
	remaining int64 // of the body, or of the present chunk
	state     chunkState
	line      []byte // a chunk's size line or a trailer line, as far as it has come

	strict bool // lines end in CR LF, and a size is nothing but digits
}

var (
	errFraming        = errors.New("the body's length is told in more than one way or not as a number")
	errTransfer       = errors.New("transfer coding is not chunked")
	errMalformedChunk = errors.New("malformed chunk")
)

// bodyOf reads from the fields how a body ends; absent says what holds where they are silent.
func newBody(f textproto.MIMEHeader, absent framing) (body, error) {
	lengths, codings := f["Content-Length"], f["Transfer-Encoding"]
	switch {
	case len(codings) > 0 && len(lengths) > 0, len(lengths) > 1, len(codings) > 1:
		// Two readings of where a body ends are how one request is smuggled inside another.
		return body{}, errFraming
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") {
			return body{}, errTransfer
		}
		return body{framing: chunked}, nil
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil {
			return body{}, errFraming
		}
		return body{framing: byContentLength, remaining: int64(n)}, nil
	}
	return body{framing: absent}, nil
}

// feed hands the body's own bytes to sink and tells how many of b it used and whether the body is whole.
func (d *body) feed(b []byte, sink func([]byte) error) (used int, whole bool, err error) {
	for {
		switch {
		case d.framing == untilClose:
			return len(b), false, sink(b)
		case d.framing == byContentLength || d.state == chunkData:
			n := int(min(d.remaining, int64(len(b)-used)))
			if n > 0 {
				if err := sink(b[used : used+n]); err != nil {
					return used, false, err
				}
			}
			used += n
			d.remaining -= int64(n)
			if d.remaining > 0 {
				return used, false, nil
			}
			if d.framing == byContentLength {
				return used, true, nil
			}
			d.state = dataEnd
		default:
			n := bytes.IndexByte(b[used:], '\n')
			if n < 0 {
				d.line = append(d.line, b[used:]...)
				if len(d.line) > 256 {
					return used, false, errMalformedChunk
				}
				return len(b), false, nil
			}
			d.line = append(d.line, b[used:used+n]...)
			used += n + 1
			text, crlf := strings.CutSuffix(string(d.line), "\r")
			d.line = d.line[:0]
			if d.strict && (!crlf || strings.Contains(text, "\r")) {
				return used, false, errMalformedChunk
			}
			if whole, err := d.chunkLine(text); whole || err != nil {
				return used, whole, err
			}
		}
	}
}

// step takes one line of a chunked body's framing.
func (d *body) chunkLine(text string) (whole bool, err error) {
	switch d.state {
	case dataEnd:
		if text != "" {
			return false, errMalformedChunk
		}
		d.state = sizeLine
	case trailer:
		return text == "", nil
	default:
		size, _, _ := strings.Cut(text, ";")
		if !d.strict {
			size = strings.TrimSpace(size)
		}
		n, err := strconv.ParseUint(size, 16, 31)
		if err != nil {
			return false, errMalformedChunk
		}
		d.remaining, d.state = int64(n), chunkData
		if n == 0 {
			d.state = trailer
		}
	}
	return false, nil
}

// closes tells whether a message ends its connection.
func closesConnection(version string, f textproto.MIMEHeader) bool {
	wants := version == "HTTP/1.0"
	for _, line := range f["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			switch strings.ToLower(strings.TrimSpace(token)) {
			case "close":
				return true
			case "keep-alive":
				wants = false
			}
		}
	}
	return wants
}

// response walks one answer.
type response struct {
	head   head
	inBody bool
	body   body
	status int
	fields textproto.MIMEHeader
	close  bool
}

// feed calls onHead once and sink for the body's bytes as they come, and tells how many bytes it used and whether the
// answer is whole.
func (r *response) feed(b []byte, onHead func(), sink func([]byte) error) (used int, whole bool, err error) {
	for !r.inBody {
		n, done, err := r.head.feed(b[used:])
		used += n
		if err != nil || !done {
			return used, false, err
		}
		if err := r.parseHead(); err != nil {
			return used, false, err
		}
		if r.inBody {
			onHead()
		}
	}
	n, whole, err := r.body.feed(b[used:], sink)
	return used + n, whole, err
}

// begin reads a whole head; one that only announces another is passed over.
func (r *response) parseHead() error {
	first, fields, err := r.head.parse()
	if err != nil {
		return err
	}
	r.head.buf = r.head.buf[:0]
	version, rest, _ := strings.Cut(first, " ")
	code, _, _ := strings.Cut(rest, " ")
	if r.status, err = strconv.Atoi(code); err != nil || len(code) != 3 || !strings.HasPrefix(version, "HTTP/1.") {
		return fmt.Errorf("malformed status line %.40q", first)
	}
	if r.status < 200 {
		return nil
	}
	r.inBody, r.fields, r.close = true, fields, closesConnection(version, fields)
	absent := untilClose
	if r.status == 204 || r.status == 304 {
		absent = byContentLength
	}
	r.body, err = newBody(fields, absent)
	if r.body.framing == untilClose {
		r.close = true
	}
	return err
}

// reset makes ready for the next answer on the connection; buffers are kept.
func (r *response) reset() { *r = response{head: head{buf: r.head.buf[:0]}} }
