package driver

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// conn is a connection with a reader goroutine and a writer goroutine.
type conn struct {
	d                  *Driver
	socket             net.Conn
	writeQueue         chan func() []byte
	continueReading    chan bool // whether further input is still of use
	closed             chan struct{}
	tryIdleClose       func() bool // called after requestIdleClose once the reader has stopped; true if it closed the connection
	isClosed           bool        // closed by this side; this field and those below belong to the owner
	paused             bool        // the reader waits for resume
	discarding         bool        // input is read and discarded until it ends
	idleCloseRequested bool        // the reader was asked to stop, see requestIdleClose
}

// newConn starts the reader and the writer. read runs on the owner for each piece of input and for the error that ends
// it. Its buffer is valid until it returns; if it returns false, the reader waits for resume. wrote runs on the owner
// after each write.
func (d *Driver) newConn(c net.Conn, queue int, read func(b []byte, at int64, err error) bool, wrote func(error)) *conn {
	k := &conn{d: d, socket: c, writeQueue: make(chan func() []byte, queue), continueReading: make(chan bool, 1), closed: make(chan struct{})}
	go k.readLoop(read)
	go k.writeLoop(wrote)
	return k
}

func (k *conn) readLoop(read func([]byte, int64, error) bool) {
	buf := make([]byte, 4096)
	deliver := func(n int, err error) {
		at := k.d.now()
		k.d.post(func() {
			// Input that arrives after this side closed the connection is ignored.
			if k.isClosed {
				return
			}
			k.paused = true
			if errors.Is(err, os.ErrDeadlineExceeded) {
				k.readerStopped()
			} else if read(buf[:n], at, err) {
				k.resume()
			}
		})
	}
	for {
		n, err := k.socket.Read(buf)
		deliver(n, err)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		select {
		case wanted := <-k.continueReading:
			if !wanted {
				// The rest is read here, so that it costs the owner nothing, however much it is.
				io.Copy(io.Discard, k.socket)
				deliver(0, io.EOF)
				return
			}
		case <-k.closed:
			return
		case <-k.d.done:
			return
		}
	}
}

// writeLoop renders each queued item when it is about to be written, and writes it.
func (k *conn) writeLoop(wrote func(error)) {
	for {
		select {
		case render := <-k.writeQueue:
			k.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err := k.socket.Write(render()) // an error means that the write was incomplete
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

// requestIdleClose closes an idle connection without losing input that has just arrived. It first stops the reader;
// all that was read is handled before tryIdleClose is called. Input that arrives later stays unread and the close
// resets the connection, so the sender knows that it was not received.
func (k *conn) requestIdleClose() {
	if k.idleCloseRequested || k.isClosed {
		return
	}
	k.idleCloseRequested = true
	k.socket.SetReadDeadline(time.Unix(1, 0))
}

// readerStopped runs once the reader has stopped after requestIdleClose.
func (k *conn) readerStopped() {
	if k.tryIdleClose == nil || !k.tryIdleClose() {
		k.cancelIdleClose()
		k.resume()
	}
}

// cancelIdleClose withdraws requestIdleClose and lets the reader continue.
func (k *conn) cancelIdleClose() {
	if k.idleCloseRequested {
		k.idleCloseRequested = false
		k.socket.SetReadDeadline(time.Time{})
	}
}

// resume lets a waiting reader read on. Until then the reader's buffer belongs to the owner.
func (k *conn) resume() {
	if k.paused {
		k.paused = false
		k.continueReading <- !k.discarding
	}
}

// discardInput reads and discards further input until it ends. Closing a connection with unread bytes resets it, and
// the peer may lose what was written to it.
func (k *conn) discardInput() {
	k.discarding = true
	k.cancelIdleClose()
	k.resume()
}

// send queues bytes; false if the queue is full because the peer reads too slowly.
func (k *conn) send(b []byte) bool { return k.write(func() []byte { return b }) }

// write queues render, which is called just before the write; false if the queue is full.
func (k *conn) write(render func() []byte) bool {
	select {
	case k.writeQueue <- render:
		return true
	default:
		return false
	}
}

func (k *conn) close() {
	if !k.isClosed {
		k.isClosed = true
		close(k.closed)
		k.socket.Close()
	}
}
