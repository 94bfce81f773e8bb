package emulate

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"granitewing/internal/lab/link"
	"granitewing/internal/lab/model"
)

// watchPulse is how often a watch says that it lives.
const watchHeartbeat = 2 * time.Second

// discovery is where one dispatcher asks for the list.
type discovery struct {
	e           *Emulator
	dispatcher  int
	ln          net.Listener
	link        link.Link
	changed     chan struct{} // closed when the list changes, or the watches end; guarded by the emulator's lock
	disconnects int           // how often all were cut
}

// wake lets all watches look at the list; the lock is held.
func (d *discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// cut ends all watches; the lock is held.
func (d *discovery) closeWatches() {
	d.disconnects++
	d.notifyWatches()
}

func (d *discovery) accept() {
	for {
		c, err := d.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		d.e.mu.Lock()
		if d.e.closed {
			d.e.mu.Unlock()
			c.Close()
			return
		}
		linked := d.link.Wrap(c, nil)
		d.e.conns[linked] = struct{}{}
		d.e.wait.Go(func() { d.serve(linked) })
		d.e.mu.Unlock()
	}
}

func (d *discovery) serve(c net.Conn) {
	e := d.e
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		e.mu.Lock()
		down, silent := e.discoveryDown, e.discoverySilent
		e.mu.Unlock()
		switch {
		case silent:
			r.Peek(1) // nothing is said until the dispatcher gives up
			return
		case down || req.URL.Path != "/v1/servers":
			status := "404 Not Found"
			if down {
				status = "503 Service Unavailable"
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status); err != nil {
				return
			}
		case req.URL.Query().Get("stream") == "1":
			index, err := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
			if err != nil {
				index = -1
			}
			d.watch(c, index)
			return
		default:
			e.mu.Lock()
			members, revision := e.directory.All(), e.directory.Revision()
			e.mu.Unlock()
			text := d.encode(revision, true, members)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
				return
			}
			d.logReported(members)
		}
	}
}

func (d *discovery) encode(revision int64, complete bool, members []model.Member) []byte {
	addr := func(id string) string {
		for _, h := range d.e.hosts {
			if h.model.Name == id {
				return h.addr(d.dispatcher)
			}
		}
		return ""
	}
	text, err := json.Marshal(d.e.day.List(revision, complete, members, addr, d.e.start.UnixMicro()))
	if err != nil {
		panic(err) // maps of plain values always encode
	}
	return append(text, '\n')
}

// booked tells the audit what a dispatcher has been told.
func (d *discovery) logReported(members []model.Member) {
	at := d.e.now()
	for _, m := range members {
		d.e.log.Told(at, d.dispatcher, m.ID, m.Phase == model.Ready)
	}
}

// watch writes changes as they are told.
func (d *discovery) watch(c net.Conn, index int64) {
	e := d.e
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	e.mu.Lock()
	cuts := d.disconnects
	e.mu.Unlock()
	chunk := func(text []byte) bool {
		c.SetWriteDeadline(time.Now().Add(readTimeout))
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		return err == nil
	}
	pulse := time.NewTicker(watchHeartbeat)
	defer pulse.Stop()
	// A dispatcher that leaves is noticed by its end, since nothing else comes from it.
	left := make(chan struct{})
	go func() {
		defer close(left)
		var b [1]byte
		c.Read(b[:])
	}()
	for first := true; ; first = false {
		e.mu.Lock()
		told, ended, silent := d.changed, d.disconnects != cuts || e.closed, e.discoverySilent
		members, complete := e.directory.Since(index)
		revision := e.directory.Revision()
		e.mu.Unlock()
		if ended {
			return
		}
		if !silent && (first || revision != index) {
			if !chunk(d.encode(revision, complete, members)) {
				return
			}
			d.logReported(members)
			index = revision
		}
		select {
		case <-told:
		case <-pulse.C:
			if !silent && !chunk([]byte("\n")) {
				return
			}
		case <-left:
			return
		}
	}
}
