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

// maxInFlight bounds the number of delayed datagrams; those beyond it are lost, as in a router whose queue is full.
const maxInFlight = 1 << 16

// Mesh is a proxy between members, each of which binds to an IP address of its own and advertises the mesh's address
// for it to the others.
type Mesh struct {
	endpoints  []*endpoint
	memberByIP map[string]int // by the IP address from which a member calls
	inFlight   atomic.Int64
	wait       sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	pairs map[[2]int]*pair // key: caller, callee
}

// pair holds the link and the faults from one member to another.
type pair struct {
	link   link.Link // carries the connections that the first member opens
	faults link.Faults
}

// endpoint is the address at which the others reach one member.
type endpoint struct {
	m           *Mesh
	index       int
	memberAddr  *net.UDPAddr
	ln          net.Listener
	udp         *net.UDPConn
	gate        *Gate // set once all endpoints are open
	sent        Sent
	streamBytes atomic.Int64
}

// Sent counts what a member has sent to others, whether or not it was delivered.
type Sent struct {
	Datagrams atomic.Int64
	Bytes     atomic.Int64 // of datagrams, without headers
	Lost      atomic.Int64 // datagrams that a link dropped
}

// Open opens an endpoint for each of the members' addresses, which must have different IP addresses. The seed
// determines which datagrams are lost, duplicated or delayed. Open returns an error if two members share an IP
// address or if an endpoint cannot be opened.
func Open(places []string, seed uint64) (*Mesh, error) {
	m := &Mesh{memberByIP: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 0x6d657368)), pairs: map[[2]int]*pair{}}
	for i, p := range places {
		if err := m.openEndpoint(i, p); err != nil {
			m.Close()
			return nil, fmt.Errorf("mesh for %s: %w", p, err)
		}
	}
	for i, s := range m.endpoints { // only after all members are known
		s.gate = newGate(s.ln, places[i], s.linkFrom, s.byteCounter)
		m.wait.Go(s.receiveDatagrams)
	}
	return m, nil
}

func (m *Mesh) openEndpoint(i int, place string) error {
	memberAddr, err := net.ResolveUDPAddr("udp4", place)
	if err != nil {
		return err
	}
	ip := memberAddr.IP.String()
	if _, duplicate := m.memberByIP[ip]; duplicate {
		return errors.New("two members share an IP address")
	}
	m.memberByIP[ip] = i
	// Datagrams and connections use the same port, on an IP address of this endpoint's own, so that collisions with
	// other programs' ports are unlikely.
	ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", memberAddr.IP.To4()[1]+1, (i+1)>>8, (i+1)&0xff))
	if err != nil {
		return err
	}
	addr := ln.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: addr.IP, Port: addr.Port})
	if err != nil {
		ln.Close()
		return err
	}
	udp.SetReadBuffer(1 << 20)
	m.endpoints = append(m.endpoints, &endpoint{m: m, index: i, memberAddr: memberAddr, ln: ln, udp: udp})
	return nil
}

// linkFrom returns the link for connections of a caller, or nil if it is not a member.
func (s *endpoint) linkFrom(a net.Addr) *link.Link {
	from, known := s.m.memberAt(a)
	if !known {
		return nil
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	return &s.m.pairOf(from, s.index).link
}

// byteCounter returns the counter for the bytes that a caller sends on connections.
func (s *endpoint) byteCounter(a net.Addr) *atomic.Int64 {
	from, _ := s.m.memberAt(a)
	return &s.m.endpoints[from].streamBytes
}

// memberAt returns the number of the member that calls from an address, and false if there is none.
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

// pairOf returns the link and faults from one member to another. The caller holds mu.
func (m *Mesh) pairOf(from, to int) *pair {
	k := [2]int{from, to}
	if m.pairs[k] == nil {
		m.pairs[k] = &pair{}
	}
	return m.pairs[k]
}

// Addr returns the address at which the others reach member i.
func (m *Mesh) Addr(i int) string { return m.endpoints[i].ln.Addr().String() }

// Set replaces the faults between two members: f.To applies from a to b, f.From from b to a. It resets open
// connections if f.Refuse is set.
func (m *Mesh) Set(a, b int, f link.Faults) {
	reversed := link.Faults{To: f.From, From: f.To, Refuse: f.Refuse}
	m.mu.Lock()
	forward, backward := m.pairOf(a, b), m.pairOf(b, a)
	forward.faults, backward.faults = f, reversed
	m.mu.Unlock()
	forward.link.SetAndReset(f)
	backward.link.SetAndReset(reversed)
}

// Sent returns what member i has sent: datagrams, bytes in datagrams and on connections that it opened, and lost
// datagrams.
func (m *Mesh) Sent(i int) (datagrams, bytes, lost int64) {
	s := m.endpoints[i]
	return s.sent.Datagrams.Load(), s.sent.Bytes.Load() + s.streamBytes.Load(), s.sent.Lost.Load()
}

// receiveDatagrams forwards the datagrams that arrive for one member.
func (s *endpoint) receiveDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was refused by its destination
		}
		if caller, known := s.m.memberAt(from); known {
			s.forwardDatagram(caller, buf[:n])
		}
	}
}

// forwardDatagram delivers a datagram now, later, twice or not at all, as the faults say.
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
	if w.Cut || w.CutMidMessage || f.Refuse || w.Loss > 0 && m.rng.Float64() < w.Loss {
		copies = 0
	} else if w.Duplicate > 0 && m.rng.Float64() < w.Duplicate {
		copies = 2
	}
	for i := range waits {
		waits[i] = w.Delay
		if w.Jitter > 0 {
			waits[i] += time.Duration(m.rng.Int64N(int64(w.Jitter)))
		}
	}
	m.mu.Unlock()
	if copies == 0 {
		sent.Lost.Add(1)
	}
	for _, wait := range waits[:copies] {
		if wait == 0 {
			s.udp.WriteToUDP(b, s.memberAddr) // lost if nobody listens there, as on any network
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

// Close closes all endpoints and connections.
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
