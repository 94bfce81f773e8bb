// Package selfcheck checks the load generator against a stand-in server whose stall is known, and measures how fast it
// can send.
package selfcheck

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server answers each request at once with its X-Txn, but for one stall during which it answers nothing.
type Server struct {
	ln    net.Listener
	mu    sync.Mutex
	from  time.Time // of the stall
	to    time.Time
	late  time.Duration // by which the machine woke it after the stall, at most
	conns map[net.Conn]struct{}
	wait  sync.WaitGroup
}

// Serve starts a server at an address that the system chooses.
func Serve() (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, conns: map[net.Conn]struct{}{}}
	s.wait.Go(s.accept)
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stall sets the one stall.
func (s *Server) Stall(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from, s.to, s.late = from, to, 0
}

// Late is by how much the machine woke it too late after the stall.
func (s *Server) Late() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// Close ends it with all its connections.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wait.Go(func() {
			s.serve(c)
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

func (s *Server) serve(c net.Conn) {
	r := bufio.NewReader(c)
	var b []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.stall()
		name := req.Header.Get("X-Txn")
		b = append(b[:0], "HTTP/1.1 200 OK\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(name)), 10)
		b = append(append(b, "\r\n\r\n"...), name...)
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// stall waits while the stall lasts.
func (s *Server) stall() {
	s.mu.Lock()
	from, to := s.from, s.to
	s.mu.Unlock()
	if now := time.Now(); now.Before(from) || !now.Before(to) {
		return
	}
	time.Sleep(time.Until(to))
	s.mu.Lock()
	s.late = max(s.late, time.Since(to))
	s.mu.Unlock()
}
