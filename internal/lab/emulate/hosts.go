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
	"granitewing/internal/lab/model"
	"granitewing/internal/lab/portreserve"
)

// This file holds the listeners of the emulated hosts and the way a host's state affects them.

// loopbackListenConfig listens on every address of 127.0.0.0/8 at once and on no other interface. The address that a
// connection was made to identifies the dispatcher, since each is given addresses of its own.
var loopbackListenConfig = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, "lo")
	}); cerr != nil {
		return cerr
	}
	return err
}}

// addr returns the address at which a dispatcher reaches the host.
func (h *host) addr(dispatcher int) string {
	n := dispatcher + 1
	return fmt.Sprintf("127.1.%d.%d:%d", n>>8, n&0xff, h.tcpPort)
}

// callerEndpoint returns the endpoint of the dispatcher that was given an address, or nil if no dispatcher was.
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

// startListening opens the host's listener. It uses the previous port if there was one, because the discovery list
// names it.
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
	// The port stays reserved: connections are refused, and no other program can take it.
	h.heldPort, _ = portreserve.Take(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(h.tcpPort)))
}

// release frees the reserved port so that the host can listen on it.
func (h *host) release() {
	h.heldPort.Release()
	h.heldPort = nil
}

// recordUsage updates the usage statistics of the fleet with the host's current state. The caller holds the
// emulator's lock.
func (h *host) recordUsage(now int64) {
	h.e.usage.RecordState(now, h.number, h.model, h.up && !h.vanished && !h.refusing)
}

// updateListener opens or closes the host's listener according to its state.
func (h *host) updateListener() {
	switch want := h.up && !h.refusing; {
	case want && h.ln == nil:
		if err := h.startListening(); err != nil {
			if errors.Is(err, syscall.EADDRINUSE) {
				// Another program has taken the port in the meantime; retry, as it may release it.
				h.e.timers = append(h.e.timers, time.AfterFunc(100*time.Millisecond, func() {
					h.e.mu.Lock()
					defer h.e.mu.Unlock()
					if !h.e.closed {
						h.updateListener()
					}
				}))
			}
			slog.Warn("host cannot listen again", "err", err)
		}
	case !want:
		h.stopListening()
	}
	h.updateMuted()
	h.recordUsage(h.e.now())
}

// updateMuted recomputes which endpoints send nothing because the host vanished or its zone is partitioned.
// Connections that were open while an endpoint was muted are reset when it recovers.
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

// crash ends the host's process.
func (h *host) crash(now int64) {
	h.model.Crash(now)
	h.processGone(now)
}

// processGone updates the audit log, streams, listener and links after the host's process has ended.
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
			time.Sleep(10 * time.Millisecond) // out of file descriptors; connections that are open must continue
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

// armTimer sets the timer for the next event of the host's model.
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

// deliverNotes passes the notes of the host's model to the streams that wait for them. The caller holds the
// emulator's lock.
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
