package emulate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"time"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/hold"
	"granitewing/internal/lab/model"
)

// The emulated hosts: where they listen, and what their state asks of that.

// loopback listens on every address of 127.0.0.0/8 at once, and on no other interface: the address that a dispatcher was
// told tells who calls.
var loopbackListenConfig = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, "lo")
	}); cerr != nil {
		return cerr
	}
	return err
}}

// addr is where a dispatcher finds the host.
func (h *host) addr(dispatcher int) string {
	n := dispatcher + 1
	return fmt.Sprintf("127.1.%d.%d:%d", n>>8, n&0xff, h.tcpPort)
}

// caller is the dispatcher that was told an address, nil where none was.
func (h *host) callerEndpoint(a net.Addr) *endpoint {
	t, ok := a.(*net.TCPAddr)
	if !ok {
		return nil
	}
	ip := t.IP.To4()
	n := int(ip[2])<<8 + int(ip[3]) - 1
	if ip[1] != 1 || n < 0 || n >= len(h.endpoints) {
		return nil
	}
	return h.endpoints[n]
}

// open listens, at the port of before where there was one: discovery's list names it.
func (h *host) startListening() error {
	h.release()
	ln, err := loopbackListenConfig.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", h.tcpPort))
	if err != nil {
		return fmt.Errorf("host %s: %w", h.model.Name, err)
	}
	h.ln, h.tcpPort = ln, ln.Addr().(*net.TCPAddr).Port
	h.e.wait.Go(func() { h.accept(ln) })
	return nil
}

func (h *host) stopListening() {
	if h.ln == nil {
		return
	}
	h.ln.Close()
	h.ln = nil
	// Calls are refused, and no other program is given the port meanwhile.
	h.heldPort, _ = hold.Take(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(h.tcpPort)))
}

// release gives the port back to its host.
func (h *host) release() {
	h.heldPort.Release()
	h.heldPort = nil
}

// look has the figures of the fleet's use take note of it; the lock is held.
func (h *host) recordUsage(now int64) {
	h.e.usage.Look(now, h.number, h.model, h.up && !h.vanished && !h.refusing)
}

// listen opens or shuts a host's address as its state asks.
func (h *host) updateListener() {
	switch want := h.up && !h.refusing; {
	case want && h.ln == nil:
		if err := h.startListening(); err != nil {
			if errors.Is(err, syscall.EADDRINUSE) {
				// Another program was given the port meanwhile; it may let go of it.
				h.e.timers = append(h.e.timers, time.AfterFunc(100*time.Millisecond, func() {
					h.e.mu.Lock()
					defer h.e.mu.Unlock()
					if !h.e.closed {
						h.updateListener()
					}
				}))
			}
			slog.Warn("a host can't listen again", "err", err)
		}
	case !want:
		h.stopListening()
	}
	h.updateMuted()
	h.recordUsage(h.e.now())
}

// mute finds which ports say nothing. What was open under the silence is reset once it is over.
func (h *host) updateMuted() {
	for _, p := range h.endpoints {
		zone := h.e.day.ZoneOf(p.dispatcher)
		muted := h.vanished || h.e.partitionedZones[[2]int{min(zone, h.model.Zone), max(zone, h.model.Zone)}]
		if p.muted && !muted {
			p.link.Reset()
		}
		p.muted = muted
	}
}

func reset(c net.Conn) {
	if r, ok := c.(interface{ Reset() }); ok {
		r.Reset()
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// crash ends a host's process.
func (h *host) crash(now int64) {
	h.model.Crash(now)
	h.processGone(now)
}

// fell cleans up after a process that is gone.
func (h *host) processGone(now int64) {
	h.up = false
	for id, s := range h.streams {
		h.e.log.Finish(now, s.name, s.handle, audit.Lost, "")
		delete(h.streams, id)
	}
	h.stopListening()
	for _, p := range h.endpoints {
		p.link.Reset()
	}
	if h.timer != nil {
		h.timer.Stop()
	}
	h.recordUsage(now)
	h.e.stepGangs()
}

func (h *host) accept(ln net.Listener) {
	e := h.e
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors; those that are open must go on
			continue
		}
		p := h.callerEndpoint(c.LocalAddr())
		e.mu.Lock()
		if e.closed || h.ln != ln || p == nil {
			e.mu.Unlock()
			reset(c)
			continue
		}
		s := &serverConn{p: p}
		s.c = p.link.Wrap(c, s.peerClosed)
		e.conns[s.c] = struct{}{}
		e.wait.Go(s.serve)
		e.mu.Unlock()
	}
}

// arm sets the timer of what a host does next.
func (h *host) armTimer() {
	if h.timer != nil {
		h.timer.Stop()
	}
	next := h.model.Next()
	if next == model.Never {
		return
	}
	h.timer = time.AfterFunc(time.Duration(next-h.e.now())*time.Microsecond, func() {
		h.e.mu.Lock()
		defer h.e.mu.Unlock()
		if !h.e.closed {
			h.deliverNotes(h.model.Advance(h.e.now()))
		}
	})
}

// tell hands a host's notes to those who wait for them; the lock is held.
func (h *host) deliverNotes(notes []model.Note) {
	for _, n := range notes {
		if s := h.streams[n.Attempt]; s != nil {
			s.sendNote(n)
		}
	}
	h.recordUsage(h.e.now())
	h.armTimer()
	h.e.stepGangs()
}
