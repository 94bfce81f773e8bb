package platform

import (
	"bytes"
	"errors"
	"fmt"
)

// A body that goes on and on is cut into what is read at once: a relay's into lines, the inventory's into JSON objects.

// lines cuts a body at its line ends.
type lineSplitter struct {
	partial []byte // as far as it has come
	maxLen  int    // bytes of a line
}

// feed calls on for each line that ends within data, without its end.
func (l *lineSplitter) feed(data []byte, on func([]byte) error) error {
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
		err := on(bytes.TrimSuffix(l.partial, []byte("\r")))
		l.partial = l.partial[:0]
		if err != nil {
			return err
		}
	}
}

// end calls on for what stands behind the last line end.
func (l *lineSplitter) end(on func([]byte) error) error {
	if len(l.partial) == 0 {
		return nil
	}
	err := on(l.partial)
	l.partial = l.partial[:0]
	return err
}

func (l *lineSplitter) reset() { l.partial = l.partial[:0] }

// objects cuts a body into JSON objects wherever its lines end, since lists may come indented over many of them. It looks
// at braces and strings alone; whether an object is well formed is its parser's business.
type objectSplitter struct {
	partial         []byte // of the object under way, as far as it has come
	maxLen          int    // bytes of an object
	depth           int    // of braces
	quoted, escaped bool   // within a string, and behind a backslash there
	progressed      bool   // the latest bytes said something: blank ones do so between objects alone
}

// feed calls on for each object that ends within data.
func (o *objectSplitter) feed(data []byte, on func([]byte) error) error {
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
			err := on(o.partial)
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

// end tells of an object that was cut off.
func (o *objectSplitter) end() error {
	if o.depth > 0 {
		return errors.New("list ends in the middle of an object")
	}
	return nil
}
