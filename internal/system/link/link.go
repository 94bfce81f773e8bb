// Package link is a connection between two processes of the system: calls with answers and pushes, many at once, over
// one TCP connection that is made again when it breaks.
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

// Bounds of a connection.
const (
	// A machine without power answers no SYN: a try is given up soon, so that the next finds it when it is back. Only
	// after many tries a slow network is thought of.
	initialDialTimeout  = 100 * time.Millisecond
	initialDialAttempts = 30
	dialTimeout         = 300 * time.Millisecond  // also of the peer's greeting
	unackedTimeout      = 1500 * time.Millisecond // unacknowledged bytes and probes end a connection after it
	maxQueuedBytes      = 48 << 20                // bytes that wait to be written; past it the connection is ended
	readBuffer          = 32 << 10
	minReconnectWait    = 50 * time.Millisecond
	// The pause between two tries grows to reconnectMost, later the more peers a process has.
	maxReconnectWait     = 120 * time.Millisecond
	reconnectWaitPerPeer = 2500 * time.Microsecond
)

// ClosedError answers a call whose connection broke: it may or may not have been carried out.
type ClosedError struct{ Peer string }

func (e *ClosedError) Error() string { return "connection to " + e.Peer + " broke" }

// RefusedError is a peer's refusal of a call.
type RefusedError struct{ Body wire.RefusalBody }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("peer refused with code %d: %s", e.Body.Code, e.Body.Reason)
}

// limitSilence has the kernel end a connection whose peer has gone silent.
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

// writer queues frames and writes what has gathered in one call.
type writer struct {
	connection  net.Conn
	mutex       sync.Mutex
	wake        *sync.Cond
	queued      []byte
	spareBuffer []byte
	closed      bool
}

func newWriter(connection net.Conn) *writer {
	w := &writer{connection: connection}
	w.wake = sync.NewCond(&w.mutex)
	return w
}

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

func (w *writer) run() {
	const keptBuffer = 1 << 20
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
		if cap(batch) <= keptBuffer {
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

// Server answers the calls of peers.
type Server struct {
	listener net.Listener
	handle   Handler
	closed   func(*Peer)
	mutex    sync.Mutex
	peers    map[*Peer]bool
	maxPeers int
}

// Handler takes a frame of a peer; it must not wait.
type Handler func(peer *Peer, frame wire.Frame)

// Peer is one connection that was accepted.
type Peer struct {
	writer *writer
	remote string
}

// Answer answers a call.
func (p *Peer) Answer(call uint64, body any) {
	p.writer.send(wire.Frame{Call: call, Kind: wire.Answer, Payload: wire.Encode(body)})
}

// Refuse refuses a call.
func (p *Peer) Refuse(call uint64, body wire.RefusalBody) {
	p.writer.send(wire.Frame{Call: call, Kind: wire.Refusal, Payload: wire.Encode(&body)})
}

// Push sends a frame that nobody asked for.
func (p *Peer) Push(kind wire.Kind, payload []byte) bool {
	return p.writer.send(wire.Frame{Kind: kind, Payload: payload})
}

// Close ends the connection.
func (p *Peer) Close() { p.writer.close() }

// Remote is the peer's address.
func (p *Peer) Remote() string { return p.remote }

// Listen serves at an address. At most so many peers are connected at once.
func Listen(address string, maxPeers int, handle Handler, closed func(*Peer)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	server := &Server{listener: listener, handle: handle, closed: closed, peers: map[*Peer]bool{}, maxPeers: maxPeers}
	go server.accept()
	return server, nil
}

// ListenError tells that an address can't be listened at.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen at %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

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

func (s *Server) add(peer *Peer) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.peers) >= s.maxPeers {
		return false
	}
	s.peers[peer] = true
	return true
}

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
	// The greeting tells that the process runs: a frozen one's machine takes connections, too.
	peer.writer.send(wire.Frame{Kind: wire.Greeting})
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		s.handle(peer, frame)
	}
}

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

// Close ends the listener and all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for peer := range s.peers {
		peer.writer.connection.Close()
	}
}

// Refusal is what the peer said.
func (e *RefusedError) Refusal() wire.RefusalBody { return e.Body }

// call answers one call of a peer.
type callAnswerer struct {
	peer *Peer
	id   uint64
}

func (c callAnswerer) Answer(body any)              { c.peer.Answer(c.id, body) }
func (c callAnswerer) Refuse(body wire.RefusalBody) { c.peer.Refuse(c.id, body) }

// Answerer is who answers a call of a peer.
func (p *Peer) Answerer(id uint64) wire.Answerer { return callAnswerer{peer: p, id: id} }
