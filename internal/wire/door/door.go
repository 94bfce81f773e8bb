// Package door reads and writes the operators' line protocol of the management listener. It knows no socket: a
// Reader is fed the bytes of one caller and gives back the call they make, and the Append functions write answers.
//
// A caller sends one line, a verb and at most one argument separated by blanks, ended by LF (CR LF is taken too).
// The answer is a line that begins with YES or NO; the figures of `counters` follow their YES and end with a line END.
package door

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// LineMost bounds a call's line in bytes, its end included; an id of a worker is far shorter.
const LineMost = 512

// Verb is what a caller asks for.
type Verb uint8

// The calls of the door.
const (
	Health   Verb = iota + 1 // YES once this process can serve
	Counters                 // the figures, then END
	Cordon                   // nothing more to the worker named
	Uncordon                 // the worker named may be sent to again
	Quiesce                  // take no more clients: empty the dispatcher
	Resume                   // take clients again
)

var verbs = map[string]struct {
	verb  Verb
	takes bool // whether it takes a worker's id
}{
	"health": {Health, false}, "counters": {Counters, false}, "cordon": {Cordon, true}, "uncordon": {Uncordon, true},
	"quiesce": {Quiesce, false}, "resume": {Resume, false},
}

// Call is one line of a caller.
type Call struct {
	Verb Verb
	ID   string // the worker, for Cordon and Uncordon
}

// ErrTooLong is given for a line of more than LineMost bytes; what follows it can't be told from it, so the
// caller is answered and let go.
var ErrTooLong = fmt.Errorf("line longer than %d bytes", LineMost)

// Reader gathers the bytes of one caller into lines.
type Reader struct {
	buf []byte
}

// Feed takes the next bytes and gives the first whole line's call. done is false while the line is not whole;
// then b was kept and more is wanted. An error says why the line is no call; after ErrTooLong the reader
// is of no more use. Bytes after the first line are ignored, since a connection carries one call.
func (r *Reader) Feed(b []byte) (c Call, done bool, err error) {
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		if len(r.buf)+i+1 > LineMost {
			return Call{}, true, ErrTooLong
		}
		line := append(r.buf, b[:i]...)
		r.buf = nil
		c, err := Parse(string(bytes.TrimSuffix(line, []byte{'\r'})))
		return c, true, err
	}
	if len(r.buf)+len(b) >= LineMost {
		return Call{}, true, ErrTooLong
	}
	r.buf = append(r.buf, b...)
	return Call{}, false, nil
}

// Parse reads one line without its end. Verbs are taken in any case; an id is taken as it stands.
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
	case v.takes && len(words) != 2:
		return Call{}, fmt.Errorf("%s takes one worker id, have %d words after it", words[0], len(words)-1)
	case !v.takes && len(words) != 1:
		return Call{}, fmt.Errorf("%s takes nothing after it", words[0])
	}
	c := Call{Verb: v.verb}
	if v.takes {
		c.ID = words[1]
	}
	return c, nil
}

// AppendYes appends a yes, with a note where it is not empty.
func AppendYes(b []byte, note string) []byte { return appendLine(b, "YES", note) }

// AppendNo appends a no with its reason.
func AppendNo(b []byte, why string) []byte { return appendLine(b, "NO", why) }

// AppendFigures appends a yes, the figures in the Prometheus text format as they are, and the line END.
func AppendFigures(b []byte, figures []byte) []byte {
	b = append(b, "YES\n"...)
	b = append(b, figures...)
	if len(figures) > 0 && figures[len(figures)-1] != '\n' {
		b = append(b, '\n')
	}
	return append(b, "END\n"...)
}

func appendLine(b []byte, word, note string) []byte {
	b = append(b, word...)
	if note != "" {
		// A note is one line, whatever it was made of.
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
