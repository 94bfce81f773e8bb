// Package link carries frames of package wire between two processes, over one TCP connection.
//
// A Client keeps a connection to one peer and reconnects when it fails. It multiplexes concurrent calls, which the
// peer answers or refuses, and pushes, which have no answer. A Server accepts connections; each is a Peer, which
// answers calls and can push frames to its client.
//
// A client opens a connection with wire.Preamble, and the server replies with a greeting frame. Only then is the
// connection up. Both sides detect a peer that has stopped responding, by TCP keep-alive and by a bound on
// unacknowledged bytes.
package link

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"granitewing/internal/system/wire"
)

// Timeouts and limits of a connection.
const (
	// A machine without power does not answer a SYN. The first dials have a short timeout, so that a later one
	// reaches the machine soon after it returns. Only after initialDialAttempts dials is a slow network assumed,
	// and dialTimeout used.
	initialDialTimeout  = 100 * time.Millisecond
	initialDialAttempts = 30
	dialTimeout         = 300 * time.Millisecond  // also for the peer's greeting
	unackedTimeout      = 1500 * time.Millisecond // TCP_USER_TIMEOUT: bytes or probes unacknowledged for so long end a connection
	maxQueuedBytes      = 48 << 20                // bytes waiting to be written; beyond that the connection is closed
	readBuffer          = 32 << 10                // bytes
	minReconnectWait    = 50 * time.Millisecond   // mean pause before the first reconnection
	// The pause doubles with each attempt up to maxReconnectWait, or up to reconnectWaitPerPeer for each peer of the
	// process if that is longer.
	maxReconnectWait     = 120 * time.Millisecond
	reconnectWaitPerPeer = 2500 * time.Microsecond
)

// ClosedError is the result of a call for which there was no connection, or whose connection failed. The peer may
// or may not have executed the call.
type ClosedError struct{ Peer string }

func (e *ClosedError) Error() string { return "connection to " + e.Peer + " lost" }

// RefusedError is the result of a call that the peer refused.
type RefusedError struct{ Body wire.RefusalBody }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("peer refused the call with code %d: %s", e.Body.Code, e.Body.Reason)
}

// enableDeadPeerDetection makes the kernel close a connection whose peer has stopped responding.
func enableDeadPeerDetection(connection net.Conn) {
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return
	}
	_ = tcp.SetNoDelay(true)
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(unackedTimeout/time.Millisecond))
	})
}

// writer queues the frames of a connection. Its goroutine writes all queued frames with one system call.
type writer struct {
	connection  net.Conn
	mutex       sync.Mutex
	wake        *sync.Cond
	queued      []byte // encoded frames that wait to be written
	spareBuffer []byte // buffer of an earlier write, for reuse as queued
	closed      bool
}

func newWriter(connection net.Conn) *writer {
	w := &writer{connection: connection}
	w.wake = sync.NewCond(&w.mutex)
	return w
}

// send queues a frame. It reports false if the connection is closed, and closes it if more than maxQueuedBytes wait.
func (w *writer) send(frame wire.Frame) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return false
	}
	if len(w.queued)+len(frame.Payload) > maxQueuedBytes {
		w.closed = true
		w.connection.Close()
		return false
	}
	w.queued = wire.AppendFrame(w.queued, frame)
	w.wake.Signal()
	return true
}

// run writes queued frames until the connection is closed.
func (w *writer) run() {
	const maxKeptBuffer = 1 << 20
	for {
		w.mutex.Lock()
		for len(w.queued) == 0 && !w.closed {
			w.wake.Wait()
		}
		if w.closed {
			w.mutex.Unlock()
			return
		}
		batch := w.queued
		w.queued, w.spareBuffer = w.spareBuffer[:0], nil
		w.mutex.Unlock()
		if _, err := w.connection.Write(batch); err != nil {
			w.close()
			return
		}
		w.mutex.Lock()
		if cap(batch) <= maxKeptBuffer {
			w.spareBuffer = batch[:0]
		}
		w.mutex.Unlock()
	}
}

func (w *writer) close() {
	w.mutex.Lock()
	w.closed = true
	w.queued = nil
	w.wake.Signal()
	w.mutex.Unlock()
	w.connection.Close()
}

// Server accepts connections of peers and passes their frames to a handler. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	handle   Handler
	closed   func(*Peer) // called when the connection of a peer has ended; may be nil
	mutex    sync.Mutex
	peers    map[*Peer]bool
	maxPeers int
}

// Handler handles a frame that a peer sent. Each peer has a goroutine that calls it, in the order of the frames; it
// must not block.
type Handler func(peer *Peer, frame wire.Frame)

// Peer is an accepted connection. Its methods are safe for concurrent use and do not block.
type Peer struct {
	writer *writer
	remote string
}

// Answer sends the answer to a call. It is lost if the connection fails.
func (p *Peer) Answer(call uint64, body any) {
	p.writer.send(wire.Frame{Call: call, Kind: wire.Answer, Payload: wire.Encode(body)})
}

// Refuse sends the refusal of a call. It is lost if the connection fails.
func (p *Peer) Refuse(call uint64, body wire.RefusalBody) {
	p.writer.send(wire.Frame{Call: call, Kind: wire.Refusal, Payload: wire.Encode(&body)})
}

// Push sends a frame that belongs to no call. It reports false if the connection is closed.
func (p *Peer) Push(kind wire.Kind, payload []byte) bool {
	return p.writer.send(wire.Frame{Kind: kind, Payload: payload})
}

// Close closes the connection.
func (p *Peer) Close() { p.writer.close() }

// RemoteAddr returns the remote address of the connection, as host:port.
func (p *Peer) RemoteAddr() string { return p.remote }

// Listen listens on a TCP address and serves connections until Close. Connections beyond maxPeers are closed at
// once. handle is called for each frame, and closed, unless it is nil, after a connection has ended. The error is a
// *ListenError.
func Listen(address string, maxPeers int, handle Handler, closed func(*Peer)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	server := &Server{listener: listener, handle: handle, closed: closed, peers: map[*Peer]bool{}, maxPeers: maxPeers}
	go server.accept()
	return server, nil
}

// ListenError reports that a server cannot listen on an address.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

// accept accepts connections until the listener is closed. It pauses after other errors, such as a lack of descriptors.
func (s *Server) accept() {
	const pauseAfterError = 20 * time.Millisecond
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			if _, isNetError := err.(net.Error); isNetError && !isClosed(err) {
				time.Sleep(pauseAfterError)
				continue
			}
			return
		}
		enableDeadPeerDetection(connection)
		peer := &Peer{writer: newWriter(connection), remote: connection.RemoteAddr().String()}
		if !s.add(peer) {
			connection.Close()
			continue
		}
		go peer.writer.run()
		go s.serve(peer, connection)
	}
}

// add registers a peer. It reports false if there are maxPeers already.
func (s *Server) add(peer *Peer) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.peers) >= s.maxPeers {
		return false
	}
	s.peers[peer] = true
	return true
}

// serve reads the frames of a peer until its connection ends.
func (s *Server) serve(peer *Peer, connection net.Conn) {
	defer func() {
		peer.writer.close()
		s.mutex.Lock()
		delete(s.peers, peer)
		s.mutex.Unlock()
		if s.closed != nil {
			s.closed(peer)
		}
	}()
	reader := bufio.NewReaderSize(connection, readBuffer)
	if !readPreamble(connection, reader) {
		return
	}
	// The greeting shows that the process is running. The kernel accepts connections for a frozen process, too.
	peer.writer.send(wire.Frame{Kind: wire.Greeting})
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		s.handle(peer, frame)
	}
}

// readPreamble reports whether the connection begins with wire.Preamble, within 2 s.
func readPreamble(connection net.Conn, reader *bufio.Reader) bool {
	_ = connection.SetReadDeadline(time.Now().Add(2 * time.Second))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	for i := range len(wire.Preamble) {
		b, err := reader.ReadByte()
		if err != nil || b != wire.Preamble[i] {
			return false
		}
	}
	return true
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for peer := range s.peers {
		peer.writer.connection.Close()
	}
}

// Refusal returns the code and the reason that the peer gave.
func (e *RefusedError) Refusal() wire.RefusalBody { return e.Body }

// callAnswerer implements wire.Answerer for one call of a peer.
type callAnswerer struct {
	peer *Peer
	id   uint64
}

// Answer implements wire.Answerer.
func (c callAnswerer) Answer(body any) { c.peer.Answer(c.id, body) }

// Refuse implements wire.Answerer.
func (c callAnswerer) Refuse(body wire.RefusalBody) { c.peer.Refuse(c.id, body) }

// Answerer returns the wire.Answerer of the peer's call with an ID.
func (p *Peer) Answerer(id uint64) wire.Answerer { return callAnswerer{peer: p, id: id} }
