package driver

import (
	"errors"
	"net"
	"time"

	"granitewing/internal/wire/admin"
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
			c.Write(admin.AppendNo(nil, "too many callers at once"))
			c.Close()
		}
	}
}

// serveAdminConn reads one caller's line and answers it.
func (d *Driver) serveAdminConn(c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(adminReadTimeout))
	var r admin.Reader
	buf := make([]byte, 256)
	for {
		n, err := c.Read(buf)
		if n > 0 {
			if call, done, perr := r.Feed(buf[:n]); done {
				var answer []byte
				if perr != nil {
					answer = admin.AppendNo(nil, perr.Error())
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
func (d *Driver) executeCall(c admin.Call) []byte {
	switch c.Verb {
	case admin.Health:
		if d.serving.Load() {
			return admin.AppendYes(nil, "")
		}
		return admin.AppendNo(nil, "not serving")
	case admin.Counters:
		return admin.AppendMetrics(nil, d.metrics.text())
	}
	answer := make(chan []byte, 1)
	wait := time.NewTimer(adminOwnerTimeout)
	defer wait.Stop()
	select {
	case d.events <- func() { answer <- d.applyCall(c) }:
	case <-wait.C:
		return admin.AppendNo(nil, "busy, try again")
	case <-d.done:
		return admin.AppendNo(nil, "stopped")
	}
	select {
	case b := <-answer:
		return b
	case <-wait.C:
		// The call may still be executed later; the caller may repeat it, since all these calls are idempotent.
		return admin.AppendNo(nil, "busy, try again")
	}
}

// applyCall executes a call that changes the dispatcher. It runs on the owner.
func (d *Driver) applyCall(c admin.Call) []byte {
	switch c.Verb {
	case admin.Cordon, admin.Uncordon:
		known, cmds := d.core.Cordon(d.now(), c.ID, c.Verb == admin.Cordon)
		d.execute(cmds)
		if !known {
			return admin.AppendNo(nil, "no worker "+c.ID+" was listed")
		}
		d.log.Info("cordon changed by an operator", "host", c.ID, "on", c.Verb == admin.Cordon)
		d.updateServing()
		d.saveCordons()
		return admin.AppendYes(nil, "")
	case admin.Quiesce:
		d.quiesce()
		return admin.AppendYes(nil, "")
	case admin.Resume:
		if !d.stoppedAt.IsZero() {
			return admin.AppendNo(nil, "stopping")
		}
		d.resume()
		return admin.AppendYes(nil, "")
	}
	return admin.AppendNo(nil, "unknown call")
}
