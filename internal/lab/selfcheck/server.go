// Package selfcheck checks the load generator against a server with a known stall, and measures how fast it can send.
//
// Run compares the latencies that the generator reports with those computed from the schedule and the stall, and shows
// what a closed-loop client would have missed. MeasureCapacity finds the highest rate that the generator sustains, next
// to vegeta. Serve starts the server that both use.
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

// Server is an HTTP server that answers each request at once with its X-Txn header, except during one stall.
type Server struct {
	ln         net.Listener
	mu         sync.Mutex
	stallFrom  time.Time     // begin of the stall
	stallTo    time.Time     // end of the stall
	wakeDelay  time.Duration // longest time from the end of the stall until the machine woke a waiting connection
	conns      map[net.Conn]struct{}
	goroutines sync.WaitGroup
}

// Serve starts a server on a free port of the loopback interface.
func Serve() (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, conns: map[net.Conn]struct{}{}}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stall sets the time of the stall.
func (s *Server) Stall(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stallFrom, s.stallTo, s.wakeDelay = from, to, 0
}

// Late returns the longest delay with which the machine woke a connection after the stall.
func (s *Server) Late() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wakeDelay
}

// Close stops the server, closes its connections and waits for their goroutines.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
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
		s.goroutines.Go(func() {
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
		s.waitForStall()
		name := req.Header.Get("X-Txn")
		b = append(b[:0], "HTTP/1.1 200 OK\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(name)), 10)
		b = append(append(b, "\r\n\r\n"...), name...)
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// waitForStall waits until the end of the stall if it is going on.
func (s *Server) waitForStall() {
	s.mu.Lock()
	from, to := s.stallFrom, s.stallTo
	s.mu.Unlock()
	if now := time.Now(); now.Before(from) || !now.Before(to) {
		return
	}
	time.Sleep(time.Until(to))
	s.mu.Lock()
	s.wakeDelay = max(s.wakeDelay, time.Since(to))
	s.mu.Unlock()
}
