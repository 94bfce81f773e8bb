package driver

import (
	"errors"
	"net"
	"time"

	"granitewing/internal/wire/door"
)

// Figures of the operators' door.
const (
	doorCallers = 32                     // connections at once; beyond them a caller is told no at once
	doorLine    = 2 * time.Second        // a caller's line must be whole by then
	doorOwner   = 700 * time.Millisecond // so long a call waits for the owner; callers wait 1 s for their answer
	doorWrite   = time.Second
)

// Door serves the operators' calls on a listener of its own until the listener is closed. Health and the figures
// are answered without the owner, so a busy core delays no caller; what changes the dispatcher is posted to it.
func (d *Driver) Door(ln net.Listener) {
	slots := make(chan struct{}, doorCallers)
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log.Error("door accept", "cause", err)
			retry := time.NewTimer(acceptRetry)
			<-retry.C
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				d.call(c)
			}()
		default:
			// A few callers that never finish a line must not keep out the others for long.
			c.SetWriteDeadline(time.Now().Add(doorWrite))
			c.Write(door.AppendNo(nil, "too many callers at once"))
			c.Close()
		}
	}
}

// call reads one caller's line and answers it.
func (d *Driver) call(c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(doorLine))
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
					answer = d.answerCall(call)
				}
				c.SetWriteDeadline(time.Now().Add(doorWrite))
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

// answerCall carries out one call.
func (d *Driver) answerCall(c door.Call) []byte {
	switch c.Verb {
	case door.Health:
		if d.serving.Load() {
			return door.AppendYes(nil, "")
		}
		return door.AppendNo(nil, "not serving")
	case door.Counters:
		return door.AppendFigures(nil, d.figures.text())
	}
	answer := make(chan []byte, 1)
	wait := time.NewTimer(doorOwner)
	defer wait.Stop()
	select {
	case d.events <- func() { answer <- d.change(c) }:
	case <-wait.C:
		return door.AppendNo(nil, "busy, try again")
	case <-d.done:
		return door.AppendNo(nil, "stopped")
	}
	select {
	case b := <-answer:
		return b
	case <-wait.C:
		// It may still be carried out; the caller may repeat it, as every call here may be repeated.
		return door.AppendNo(nil, "busy, try again")
	}
}

// change carries out a call that changes the dispatcher; it runs on the owner.
func (d *Driver) change(c door.Call) []byte {
	switch c.Verb {
	case door.Cordon, door.Uncordon:
		known, cmds := d.core.Cordon(d.now(), c.ID, c.Verb == door.Cordon)
		d.do(cmds)
		if !known {
			return door.AppendNo(nil, "no worker "+c.ID+" was listed")
		}
		d.log.Info("cordon by hand", "host", c.ID, "on", c.Verb == door.Cordon)
		d.census()
		d.keepCordons()
		return door.AppendYes(nil, "")
	case door.Quiesce:
		d.quiesce()
		return door.AppendYes(nil, "")
	case door.Resume:
		if !d.stopped.IsZero() {
			return door.AppendNo(nil, "stopping")
		}
		d.resume()
		return door.AppendYes(nil, "")
	}
	return door.AppendNo(nil, "unknown call")
}
