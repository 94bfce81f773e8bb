package mesh

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"granitewing/internal/lab/link"
)

// flightMost bounds the datagrams under way; those beyond it are lost, as in a router whose queue is full.
const maxInFlight = 1 << 16

// Mesh stands between members that each bind to an address of their own and tell the others the mesh's address for them.
type Mesh struct {
	endpoints  []*endpoint
	memberByIP map[string]int // by the IP address that a member calls from
	inFlight   atomic.Int64
	wait       sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	pairs map[[2]int]*pair // caller, called
}

// pair is what goes from one member to another.
type pair struct {
	link   link.Link // of connections that the first opens
	faults link.Faults
}

// seat is where the others reach one member.
type endpoint struct {
	m           *Mesh
	index       int
	memberAddr  *net.UDPAddr
	ln          net.Listener
	udp         *net.UDPConn
	gate        *Gate // once all are open
	sent        Sent
	streamBytes atomic.Int64
}

// Sent counts what a member has sent to others, whether it came or not.
type Sent struct {
	Datagrams atomic.Int64
	Bytes     atomic.Int64 // of datagrams, without their headers
	Lost      atomic.Int64 // datagrams that a link did not let through
}

// Open opens the mesh's address for each of some places, which are of different IP addresses. The seed draws what is lost.
func Open(places []string, seed uint64) (*Mesh, error) {
	m := &Mesh{memberByIP: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 0x6d657368)), pairs: map[[2]int]*pair{}}
	for i, p := range places {
		if err := m.openEndpoint(i, p); err != nil {
			m.Close()
			return nil, fmt.Errorf("mesh for %s: %w", p, err)
		}
	}
	for i, s := range m.endpoints { // all of them are known before the first is called
		s.gate = newGate(s.ln, places[i], s.linkFrom, s.byteCounter)
		m.wait.Go(s.receiveDatagrams)
	}
	return m, nil
}

func (m *Mesh) openEndpoint(i int, place string) error {
	real, err := net.ResolveUDPAddr("udp4", place)
	if err != nil {
		return err
	}
	ip := real.IP.String()
	if _, twice := m.memberByIP[ip]; twice {
		return errors.New("two members call from one address, and can't be told apart")
	}
	m.memberByIP[ip] = i
	// The same port for both, at an address of this seat's own, so that another program's ports hardly matter.
	ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", real.IP.To4()[1]+1, (i+1)>>8, (i+1)&0xff))
	if err != nil {
		return err
	}
	at := ln.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		ln.Close()
		return err
	}
	udp.SetReadBuffer(1 << 20)
	m.endpoints = append(m.endpoints, &endpoint{m: m, index: i, memberAddr: real, ln: ln, udp: udp})
	return nil
}

// link is what connections of a caller go over, nil of one that is no member.
func (s *endpoint) linkFrom(a net.Addr) *link.Link {
	from, known := s.m.memberAt(a)
	if !known {
		return nil
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	return &s.m.pairOf(from, s.index).link
}

// count is where the bytes of a caller are counted.
func (s *endpoint) byteCounter(a net.Addr) *atomic.Int64 {
	from, _ := s.m.memberAt(a)
	return &s.m.endpoints[from].streamBytes
}

// caller finds the member that calls from an address.
func (m *Mesh) memberAt(a net.Addr) (int, bool) {
	var ip net.IP
	switch a := a.(type) {
	case *net.TCPAddr:
		ip = a.IP
	case *net.UDPAddr:
		ip = a.IP
	}
	i, known := m.memberByIP[ip.String()]
	return i, known
}

// pair finds what goes from one to another; the lock is held.
func (m *Mesh) pairOf(from, to int) *pair {
	k := [2]int{from, to}
	if m.pairs[k] == nil {
		m.pairs[k] = &pair{}
	}
	return m.pairs[k]
}

// Addr is where the others reach a member.
func (m *Mesh) Addr(i int) string { return m.endpoints[i].ln.Addr().String() }

// Set has what goes between two members suffer: To is from a to b, From is from b to a.
func (m *Mesh) Set(a, b int, f link.Faults) {
	turned := link.Faults{To: f.From, From: f.To, Refuse: f.Refuse}
	m.mu.Lock()
	there, back := m.pairOf(a, b), m.pairOf(b, a)
	there.faults, back.faults = f, turned
	m.mu.Unlock()
	there.link.Suffer(f)
	back.link.Suffer(turned)
}

// Sent tells what a member has sent: datagrams, and bytes in datagrams and on connections that it opened.
func (m *Mesh) Sent(i int) (datagrams, bytes, lost int64) {
	s := m.endpoints[i]
	return s.sent.Datagrams.Load(), s.sent.Bytes.Load() + s.streamBytes.Load(), s.sent.Lost.Load()
}

// receive carries the datagrams that come for one member.
func (s *endpoint) receiveDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a destination that refused an earlier one
		}
		if caller, known := s.m.memberAt(from); known {
			s.forwardDatagram(caller, buf[:n])
		}
	}
}

// carry has a datagram go its way: now, later, twice or not at all.
func (s *endpoint) forwardDatagram(from int, b []byte) {
	m := s.m
	sent := &m.endpoints[from].sent
	sent.Datagrams.Add(1)
	sent.Bytes.Add(int64(len(b)))
	var waits [2]time.Duration
	copies := 1
	m.mu.Lock()
	p := m.pairs[[2]int{from, s.index}]
	var f link.Faults
	if p != nil {
		f = p.faults
	}
	w := f.To
	if w.Cut || w.Half || f.Refuse || w.Loss > 0 && m.rng.Float64() < w.Loss {
		copies = 0
	} else if w.Twice > 0 && m.rng.Float64() < w.Twice {
		copies = 2
	}
	for i := range waits {
		waits[i] = w.Delay
		if w.Spread > 0 {
			waits[i] += time.Duration(m.rng.Int64N(int64(w.Spread)))
		}
	}
	m.mu.Unlock()
	if copies == 0 {
		sent.Lost.Add(1)
	}
	for _, wait := range waits[:copies] {
		if wait == 0 {
			s.udp.WriteToUDP(b, s.memberAddr) // where nobody is there it is lost, as on any network
			continue
		}
		if m.inFlight.Add(1) > maxInFlight {
			m.inFlight.Add(-1)
			sent.Lost.Add(1)
			continue
		}
		own := append([]byte(nil), b...)
		time.AfterFunc(wait, func() {
			m.inFlight.Add(-1)
			s.udp.WriteToUDP(own, s.memberAddr) // fails once the mesh is closed
		})
	}
}

// Close ends all.
func (m *Mesh) Close() {
	for _, s := range m.endpoints {
		s.udp.Close()
		s.ln.Close()
		if s.gate != nil {
			s.gate.Close()
		}
	}
	m.wait.Wait()
}
