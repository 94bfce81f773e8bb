// Package admin implements the line protocol of the admin endpoint, without sockets. A Reader is fed the bytes of one
// connection and returns the call that they make; the Append functions build answers.
//
// A caller sends one line, a verb and at most one argument separated by blanks, ended by LF or CR LF. The answer is
// a line that begins with YES or NO. After the YES of `counters` follow the metrics and a line END.
package admin

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// MaxLine bounds the line of a call in bytes, its line end included. Worker ids are far shorter.
const MaxLine = 512

// Verb is the operation that a caller requests.
type Verb uint8

// The operations of the admin endpoint.
const (
	Health   Verb = iota + 1 // answers YES once this process can serve
	Counters                 // returns the metrics
	Cordon                   // sends nothing more to the given worker
	Uncordon                 // lifts the cordon of the given worker
	Quiesce                  // accepts no more clients, so that the dispatcher drains
	Resume                   // accepts clients again
)

var verbs = map[string]struct {
	verb    Verb
	takesID bool // whether it takes a worker id
}{
	"health": {Health, false}, "counters": {Counters, false}, "cordon": {Cordon, true}, "uncordon": {Uncordon, true},
	"quiesce": {Quiesce, false}, "resume": {Resume, false},
}

// Call is one decoded request line.
type Call struct {
	Verb Verb
	ID   string // the worker, for Cordon and Uncordon
}

// ErrTooLong reports a line of more than MaxLine bytes. The bytes after it cannot be separated from it, so the
// caller is answered and disconnected.
var ErrTooLong = fmt.Errorf("line longer than %d bytes", MaxLine)

// Reader assembles the bytes of one connection into a line.
type Reader struct {
	buf []byte
}

// Feed processes received bytes and returns the call of the first complete line. done is false while the line is
// incomplete; b is then buffered and more bytes are needed. An error says why the line is not a valid call; after
// ErrTooLong the reader cannot be used any more. Bytes after the first line are ignored, since a connection
// carries one call.
func (r *Reader) Feed(b []byte) (c Call, done bool, err error) {
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		if len(r.buf)+i+1 > MaxLine {
			return Call{}, true, ErrTooLong
		}
		line := append(r.buf, b[:i]...)
		r.buf = nil
		c, err := Parse(string(bytes.TrimSuffix(line, []byte{'\r'})))
		return c, true, err
	}
	if len(r.buf)+len(b) >= MaxLine {
		return Call{}, true, ErrTooLong
	}
	r.buf = append(r.buf, b...)
	return Call{}, false, nil
}

// Parse decodes one line without its line end. Verbs are case-insensitive, ids are taken literally.
func Parse(line string) (Call, error) {
	if strings.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		return Call{}, errors.New("control byte in the line")
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, errors.New("empty line; calls: health, counters, cordon ID, uncordon ID, quiesce, resume")
	}
	v, known := verbs[strings.ToLower(words[0])]
	switch {
	case !known:
		return Call{}, fmt.Errorf("unknown call %q; calls: health, counters, cordon ID, uncordon ID, quiesce, resume", words[0])
	case v.takesID && len(words) != 2:
		return Call{}, fmt.Errorf("%s takes one worker id, have %d words after it", words[0], len(words)-1)
	case !v.takesID && len(words) != 1:
		return Call{}, fmt.Errorf("%s takes nothing after it", words[0])
	}
	c := Call{Verb: v.verb}
	if v.takesID {
		c.ID = words[1]
	}
	return c, nil
}

// AppendYes appends a YES line, with a note unless it is empty.
func AppendYes(b []byte, note string) []byte { return appendLine(b, "YES", note) }

// AppendNo appends a NO line with its reason.
func AppendNo(b []byte, reason string) []byte { return appendLine(b, "NO", reason) }

// AppendMetrics appends a YES line, the metrics in the Prometheus text format unchanged, and the line END.
func AppendMetrics(b []byte, metrics []byte) []byte {
	b = append(b, "YES\n"...)
	b = append(b, metrics...)
	if len(metrics) > 0 && metrics[len(metrics)-1] != '\n' {
		b = append(b, '\n')
	}
	return append(b, "END\n"...)
}

func appendLine(b []byte, status, note string) []byte {
	b = append(b, status...)
	if note != "" {
		// A note must be one line, whatever text it is made of.
		b = append(b, ' ')
		b = append(b, strings.Map(func(r rune) rune {
			if r < ' ' {
				return ' '
			}
			return r
		}, note)...)
	}
	return append(b, '\n')
}
