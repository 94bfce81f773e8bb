// Package platform implements the HTTP/1.1 protocol of the platform, the operators' environment that starts processes
// and lists workers, without sockets. State machines are fed bytes as
// they arrive: RequestReader reads client requests, ResponseReader reads the responses of back-end hosts, and Watch
// reads the lists of service discovery. The Append functions build what is sent, and ReadConfig decodes the
// configuration of a dispatcher. A driver owns the connections.
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
	maxHead = 16 << 10 // bytes of a message head; the platform's messages take a few hundred
	maxBody = 64 << 10 // bytes of a body, as the protocol limits it
)

// head buffers a message head (first line and fields) up to the blank line that ends it.
type head struct{ buf []byte }

// feed consumes bytes until the head is complete and returns how many it used.
func (h *head) feed(b []byte) (used int, whole bool, err error) {
	had := len(h.buf)
	if had == 0 {
		// Skip blank lines before a head: some senders put one more after a body than its length counts.
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

// validate rejects a head that parsers interpret in different ways: line ends other than CR LF, folded lines,
// field names that are not tokens, and control bytes. A dispatcher that read such a head in another way than the
// host or the client would see a different message in the same bytes (request smuggling).
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

// parse splits a complete head into its first line and fields.
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

// framing is the way in which the end of a body is marked.
type framing uint8

const (
	byContentLength framing = iota
	chunked
	untilClose // the body ends with the connection
)

// chunkState is the position within a chunked body.
type chunkState uint8

const (
	sizeLine chunkState = iota
	chunkData
	dataEnd
	trailer
)

// body decodes the bytes of one message body.
type body struct {
	framing   framing
	remaining int64 // bytes left of the body, or of the current chunk
	state     chunkState
	line      []byte // size line of a chunk or trailer line, as far as received

	strict bool // require CR LF line ends and chunk sizes of digits alone
}

var (
	errFraming        = errors.New("the body's length is told in more than one way or not as a number")
	errTransfer       = errors.New("transfer coding is not chunked")
	errMalformedChunk = errors.New("malformed chunk")
)

// newBody determines from the fields how a body ends; absent applies if they do not say.
func newBody(f textproto.MIMEHeader, absent framing) (body, error) {
	lengths, codings := f["Content-Length"], f["Transfer-Encoding"]
	switch {
	case len(codings) > 0 && len(lengths) > 0, len(lengths) > 1, len(codings) > 1:
		// Two ways to find the end of a body allow request smuggling.
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

// feed passes decoded body bytes to sink. It returns how many bytes of b it used and whether the body is complete.
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

// chunkLine processes one line of the chunked framing.
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

// closesConnection reports whether the connection closes after a message.
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

// response decodes one HTTP response.
type response struct {
	head   head
	inBody bool
	body   body
	status int
	fields textproto.MIMEHeader
	close  bool
}

// feed calls onHead once, and sink for the body bytes as they arrive. It returns how many bytes it used and
// whether the response is complete.
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

// parseHead parses a complete head; an interim (1xx) response is skipped.
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

// reset prepares for the next response on the connection and keeps the buffer.
func (r *response) reset() { *r = response{head: head{buf: r.head.buf[:0]}} }
