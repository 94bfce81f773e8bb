package driver

import (
	"errors"
	"net"
	"time"

	"granitewing/internal/wire/door"
)

// Bounds of the admin endpoint.
const (
	maxAdminCallers   = 32                     // concurrent connections; further ones are refused at once
	adminReadTimeout  = 2 * time.Second        // for a caller's whole line
	adminOwnerTimeout = 700 * time.Millisecond // how long a call waits for the owner; callers wait 1 s for their answer
	adminWriteTimeout = time.Second
)

// ServeAdmin serves admin calls on a listener of its own until the listener is closed. Health checks and metrics are
// answered without the owner, so a busy core does not delay them. Calls that change the dispatcher are posted to the
// owner.
func (d *Driver) ServeAdmin(ln net.Listener) {
	slots := make(chan struct{}, maxAdminCallers)
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log.Error("admin endpoint: accept failed", "cause", err)
			retry := time.NewTimer(acceptRetryDelay)
			<-retry.C
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				d.serveAdminConn(c)
			}()
		default:
			// A few callers that never finish a line must not keep others out for long.
			c.SetWriteDeadline(time.Now().Add(adminWriteTimeout))
			c.Write(door.AppendNo(nil, "too many callers at once"))
			c.Close()
		}
	}
}

// serveAdminConn reads one caller's line and answers it.
func (d *Driver) serveAdminConn(c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(adminReadTimeout))
	var r door.Reader
	buf := make([]byte, 256)
	for {
		n, err := c.Read(buf)
		if n > 0 {
			if call, done, perr := r.Feed(buf[:n]); done {
				var answer []byte
				if perr != nil {
					answer = door.AppendNo(nil, perr.Error())
				} else {
					answer = d.executeCall(call)
				}
				c.SetWriteDeadline(time.Now().Add(adminWriteTimeout))
				c.Write(answer)
				if t, ok := c.(*net.TCPConn); ok {
					t.CloseWrite()
				}
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// executeCall executes one admin call and returns its answer.
func (d *Driver) executeCall(c door.Call) []byte {
	switch c.Verb {
	case door.Health:
		if d.serving.Load() {
			return door.AppendYes(nil, "")
		}
		return door.AppendNo(nil, "not serving")
	case door.Counters:
		return door.AppendMetrics(nil, d.metrics.text())
	}
	answer := make(chan []byte, 1)
	wait := time.NewTimer(adminOwnerTimeout)
	defer wait.Stop()
	select {
	case d.events <- func() { answer <- d.applyCall(c) }:
	case <-wait.C:
		return door.AppendNo(nil, "busy, try again")
	case <-d.done:
		return door.AppendNo(nil, "stopped")
	}
	select {
	case b := <-answer:
		return b
	case <-wait.C:
		// The call may still be executed later; the caller may repeat it, since all these calls are idempotent.
		return door.AppendNo(nil, "busy, try again")
	}
}

// applyCall executes a call that changes the dispatcher. It runs on the owner.
func (d *Driver) applyCall(c door.Call) []byte {
	switch c.Verb {
	case door.Cordon, door.Uncordon:
		known, cmds := d.core.Cordon(d.now(), c.ID, c.Verb == door.Cordon)
		d.execute(cmds)
		if !known {
			return door.AppendNo(nil, "no worker "+c.ID+" was listed")
		}
		d.log.Info("cordon changed by an operator", "host", c.ID, "on", c.Verb == door.Cordon)
		d.updateServing()
		d.saveCordons()
		return door.AppendYes(nil, "")
	case door.Quiesce:
		d.quiesce()
		return door.AppendYes(nil, "")
	case door.Resume:
		if !d.stoppedAt.IsZero() {
			return door.AppendNo(nil, "stopping")
		}
		d.resume()
		return door.AppendYes(nil, "")
	}
	return door.AppendNo(nil, "unknown call")
}
