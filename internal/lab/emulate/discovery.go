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

// watchHeartbeat is the interval at which a watch sends an empty line to show that it is alive.
const watchHeartbeat = 2 * time.Second

// discovery is the discovery service as one dispatcher sees it.
type discovery struct {
	e           *Emulator
	dispatcher  int
	ln          net.Listener
	link        link.Link
	changed     chan struct{} // closed when the member list changes or the watches end; guarded by the emulator's lock
	disconnects int           // how often all watches were closed
}

// notifyWatches makes all watches read the member list again. The caller holds the emulator's lock.
func (d *discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// closeWatches ends all watches. The caller holds the emulator's lock.
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
			r.Peek(1) // send nothing until the dispatcher gives up
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

// logReported records in the audit log which member states a dispatcher has been sent.
func (d *discovery) logReported(members []model.Member) {
	at := d.e.now()
	for _, m := range members {
		d.e.log.StateSent(at, d.dispatcher, m.ID, m.Phase == model.Ready)
	}
}

// watch streams changes of the member list as they are published. index is the revision that the dispatcher already
// has, or -1.
func (d *discovery) watch(c net.Conn, index int64) {
	e := d.e
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	e.mu.Lock()
	disconnects := d.disconnects
	e.mu.Unlock()
	chunk := func(text []byte) bool {
		c.SetWriteDeadline(time.Now().Add(readTimeout))
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		return err == nil
	}
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	// The dispatcher sends nothing after its request, so only the end of the connection shows that it has left.
	left := make(chan struct{})
	go func() {
		defer close(left)
		var b [1]byte
		c.Read(b[:])
	}()
	for first := true; ; first = false {
		e.mu.Lock()
		changed, ended, silent := d.changed, d.disconnects != disconnects || e.closed, e.discoverySilent
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
		case <-changed:
		case <-heartbeat.C:
			if !silent && !chunk([]byte("\n")) {
				return
			}
		case <-left:
			return
		}
	}
}
