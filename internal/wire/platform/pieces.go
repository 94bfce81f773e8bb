package platform

import (
	"bytes"
	"errors"
	"fmt"
)

// Splitters cut a streamed body into units that are parsed separately: lines for the response of a host, JSON
// objects for the lists of discovery.

// lineSplitter splits a body at its line ends.
type lineSplitter struct {
	partial []byte // current line as far as received
	maxLen  int    // maximum bytes of a line
}

// feed calls emit for each line that ends within data, without its line end.
func (l *lineSplitter) feed(data []byte, emit func([]byte) error) error {
	for {
		n := bytes.IndexByte(data, '\n')
		if n < 0 {
			n = len(data)
		}
		if len(l.partial)+n > l.maxLen {
			return errors.New("line is too long")
		}
		l.partial = append(l.partial, data[:n]...)
		if n == len(data) {
			return nil
		}
		data = data[n+1:]
		err := emit(bytes.TrimSuffix(l.partial, []byte("\r")))
		l.partial = l.partial[:0]
		if err != nil {
			return err
		}
	}
}

// end calls emit for the bytes after the last line end.
func (l *lineSplitter) end(emit func([]byte) error) error {
	if len(l.partial) == 0 {
		return nil
	}
	err := emit(l.partial)
	l.partial = l.partial[:0]
	return err
}

func (l *lineSplitter) reset() { l.partial = l.partial[:0] }

// objectSplitter splits a body into JSON objects. It does not split at line ends, because a list may be indented
// over many lines. It looks at braces and strings only; the JSON parser checks whether an object is well formed.
type objectSplitter struct {
	partial         []byte // current object as far as received
	maxLen          int    // maximum bytes of an object
	depth           int    // nesting depth of braces
	quoted, escaped bool   // inside a string, and after a backslash there
	progressed      bool   // the latest bytes show progress; blank ones do so only between objects
}

// feed calls emit for each object that ends within data.
func (o *objectSplitter) feed(data []byte, emit func([]byte) error) error {
	begin := 0
	o.progressed = false
	for i, c := range data {
		o.progressed = o.progressed || o.depth == 0 || c > ' '
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.escaped, o.quoted = c == '\\', c != '"'
		case c == '"' && o.depth > 0:
			o.quoted = true
		case c == '{':
			if o.depth++; o.depth == 1 {
				begin = i
			}
		case c == '}' && o.depth > 0:
			if o.depth--; o.depth > 0 {
				continue
			}
			if err := o.appendPartial(data[begin : i+1]); err != nil {
				return err
			}
			err := emit(o.partial)
			o.partial = o.partial[:0]
			if err != nil {
				return err
			}
		case o.depth == 0 && c != ' ' && c != '\t' && c != '\r' && c != '\n':
			return fmt.Errorf("malformed list: %q where an object should begin", c)
		}
	}
	if o.depth > 0 {
		return o.appendPartial(data[begin:])
	}
	return nil
}

func (o *objectSplitter) appendPartial(data []byte) error {
	if len(o.partial)+len(data) > o.maxLen {
		return errors.New("list is too long")
	}
	o.partial = append(o.partial, data...)
	return nil
}

// end returns an error if the body ended within an object.
func (o *objectSplitter) end() error {
	if o.depth > 0 {
		return errors.New("list ends in the middle of an object")
	}
	return nil
}
