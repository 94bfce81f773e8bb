package driver

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// conn is one connection with its reader and its writer.
type conn struct {
	d        *Driver
	c        net.Conn
	out      chan func() []byte
	more     chan bool // whether what comes still matters
	closed   chan struct{}
	halted   func() bool // follows retire once the reader stands still; true if it closed the connection
	gone     bool        // closed here; like what follows, for the owner alone
	paused   bool        // the reader waits for resume
	drains   bool        // what comes matters no more, only its end does
	retiring bool        // the reader was asked to stand still
}

// newConn starts the reader and the writer. read runs on the owner for each piece that comes, or for the
// error that ends it; what it is given is valid until it returns, and false keeps the reader waiting for
// resume. wrote runs on the owner after each write.
func (d *Driver) newConn(c net.Conn, queue int, read func(b []byte, at int64, err error) bool, wrote func(error)) *conn {
	k := &conn{d: d, c: c, out: make(chan func() []byte, queue), more: make(chan bool, 1), closed: make(chan struct{})}
	go k.reading(read)
	go k.writing(wrote)
	return k
}

func (k *conn) reading(read func([]byte, int64, error) bool) {
	buf := make([]byte, 4096)
	tell := func(n int, err error) {
		at := k.d.now()
		k.d.post(func() {
			// What comes late from a connection that was closed here concerns nobody.
			if k.gone {
				return
			}
			k.paused = true
			if errors.Is(err, os.ErrDeadlineExceeded) {
				k.halt()
			} else if read(buf[:n], at, err) {
				k.resume()
			}
		})
	}
	for {
		n, err := k.c.Read(buf)
		tell(n, err)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		select {
		case matters := <-k.more:
			if !matters {
				// However much it is, the owner has no work with it.
				io.Copy(io.Discard, k.c)
				tell(0, io.EOF)
				return
			}
		case <-k.closed:
			return
		case <-k.d.done:
			return
		}
	}
}

// writing renders what was queued when its turn comes and writes it.
func (k *conn) writing(wrote func(error)) {
	for {
		select {
		case render := <-k.out:
			k.c.SetWriteDeadline(time.Now().Add(writeLimit))
			_, err := k.c.Write(render()) // an error means that less than all was written
			k.d.post(func() { wrote(err) })
			if err != nil {
				return
			}
		case <-k.closed:
			return
		case <-k.d.done:
			return
		}
	}
}

// retire closes an idle connection without losing what has just come on it: the reader is made to stand still first,
// and all that it had read is taken before halted is asked. What comes after that is unread, and the close resets the
// connection: its sender knows that nobody had it.
func (k *conn) retire() {
	if k.retiring || k.gone {
		return
	}
	k.retiring = true
	k.c.SetReadDeadline(time.Unix(1, 0))
}

// halt runs once the reader stands still.
func (k *conn) halt() {
	if k.halted == nil || !k.halted() {
		k.readOn()
		k.resume()
	}
}

// readOn takes back what retire asked of the reader.
func (k *conn) readOn() {
	if k.retiring {
		k.retiring = false
		k.c.SetReadDeadline(time.Time{})
	}
}

// resume lets the reader read on. It does so only for one that waits: the reader's buffer is the owner's
// until then.
func (k *conn) resume() {
	if k.paused {
		k.paused = false
		k.more <- !k.drains
	}
}

// drain lets go of what still comes: a connection that is closed with bytes unread is reset, and the peer may
// lose what was written to it.
func (k *conn) drain() {
	k.drains = true
	k.readOn()
	k.resume()
}

// send queues bytes; false if the peer takes them so slowly that the queue is full.
func (k *conn) send(b []byte) bool { return k.write(func() []byte { return b }) }

// write queues what render gives at the moment of the writing; false if the queue is full.
func (k *conn) write(render func() []byte) bool {
	select {
	case k.out <- render:
		return true
	default:
		return false
	}
}

func (k *conn) close() {
	if !k.gone {
		k.gone = true
		close(k.closed)
		k.c.Close()
	}
}
