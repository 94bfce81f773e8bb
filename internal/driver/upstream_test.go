package driver

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// runOwner runs the owner's work on the test's goroutine until done returns true.
func runOwner(t *testing.T, d *Driver, done func() bool) {
	t.Helper()
	limit := time.After(20 * time.Second)
	for !done() {
		if len(d.deferred) > 0 {
			f := d.deferred[0]
			d.deferred = d.deferred[1:]
			f()
			continue
		}
		select {
		case f := <-d.events:
			f()
		case <-limit:
			t.Fatal("no further event")
		}
	}
}

// A job that must not run twice may be retried or refused only if its last byte was not written. A pipe accepts no
// byte before it is read, so the test controls how much is written.
func TestServerBreaksBeforeAndAfterLastByte(t *testing.T) {
	msg := &platform.Message{Method: "POST", Target: "/alert", Txn: "t1", Lane: "alert", Body: []byte("rough"), Close: true}
	whole := len(platform.AppendRelay(nil, "a", msg, time.Second, nil))
	for _, c := range []struct {
		name   string
		takes  int
		answer string
	}{
		{"before", whole - 1, "HTTP/1.1 503 Service Unavailable\r\n"},
		{"after", whole, "HTTP/1.1 502 Bad Gateway\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, err := New(&platform.Config{Sockets: 1024, MemoryMB: 192, Settings: logic.Config{
				Classes: []logic.Class{{Name: "alert", Deadline: 60_000_000, WorkerKind: -1}}, MaxAttempts: 3, MayCancel: true,
			}}, nil, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			defer close(d.done)
			client, near := net.Pipe()
			host, far := net.Pipe()
			n := &downstream{parser: platform.NewNorth(nil, nil), msg: msg, inCore: true, expiryTimer: time.NewTimer(time.Hour)}
			n.conn = d.newConn(near, 3, n.read, n.wrote)
			d.core.Inventory(d.now(), logic.ListFull, []dispatch.Host{{Name: "s-a", Addr: "a", Phase: logic.Ready}})
			n.messageID, _ = d.core.Arrive(d.now(), msg.Message, 0)
			d.openRequests[n.messageID] = n

			r := &attempt{id: dispatch.AttemptID{Message: n.messageID}, msg: msg, addr: "a", deadline: d.now() + 1_000_000, timer: time.NewTimer(time.Hour)}
			d.attempts[r.id] = r
			d.pool.adjust("a", 1)
			s := &upstream{addr: "a"}
			s.parser = platform.NewRelay(s.handleNote)
			s.conn = d.newConn(far, 1, s.read, s.wrote)
			s.start(r)
			go func() {
				io.ReadFull(host, make([]byte, c.takes))
				host.Close()
			}()
			got := make(chan string, 1)
			go func() {
				line, _ := bufio.NewReader(client).ReadString('\n')
				got <- line
				io.Copy(&bytes.Buffer{}, client)
			}()
			runOwner(t, d, func() bool { return d.attempts[r.id] == nil && d.openRequests[n.messageID] == nil })
			if line := <-got; line != c.answer {
				t.Errorf("answer %q, want %q", line, c.answer)
			}
			if d.pool.count != 0 || !s.isClosed {
				t.Errorf("the broken connection is still in the pool: %d, closed %t", d.pool.count, s.isClosed)
			}
		})
	}
}

// A request is counted once, whether the server answers before or after the writer has reported the write.
func TestDispatchesCounted(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := testDriver(t)
		far, near := net.Pipe()
		defer far.Close()
		d.pool.adjust("a", 1)
		s := &upstream{addr: "a"}
		s.parser = platform.NewRelay(s.handleNote)
		s.conn = d.newConn(near, 1, s.read, s.wrote)
		msg := &platform.Message{Method: "POST", Target: "/readings", Txn: "t1", Lane: "readings"}
		r := &attempt{id: dispatch.AttemptID{Message: 7}, msg: msg, addr: "a", deadline: d.now() + 1_000_000, timer: time.NewTimer(time.Hour)}
		d.attempts[r.id] = r
		s.start(r)
		if !answered {
			s.wrote(nil)
		}
		s.handleNote(platform.Note{Kind: platform.NoteTaken})
		s.handleNote(platform.Note{Kind: platform.NoteEnded, Result: logic.Served})
		if answered {
			s.wrote(nil)
		}
		if n := d.metrics.dispatches.Load(); n != 1 {
			t.Errorf("answer first: %t; counted %d times", answered, n)
		}
	}
}

// A connection that is made after its server was cordoned carries nothing to it: cordons apply to the first byte.
func TestLateConnectionToCordonedServer(t *testing.T) {
	for _, cordoned := range []bool{false, true} {
		d := testDriver(t)
		d.core.Inventory(d.now(), logic.ListFull, []dispatch.Host{{Name: "s-a", Addr: "a", Phase: logic.Ready}})
		msg := &platform.Message{Method: "POST", Target: "/readings", Txn: "t1", Lane: "readings"}
		id, _ := d.core.Arrive(d.now(), msg.Message, 0)
		r := &attempt{id: dispatch.AttemptID{Message: id}, msg: msg, addr: "a", deadline: d.now() + 1_000_000, timer: time.NewTimer(time.Hour)}
		d.attempts[r.id] = r
		d.pool.adjust("a", 1)
		if cordoned {
			d.core.Cordon(d.now(), "s-a", true)
		}
		host, near := net.Pipe()
		defer host.Close()
		got := make(chan int, 1)
		go func() {
			n, _ := host.Read(make([]byte, 1))
			got <- n
		}()
		d.dialed(r, near, nil)
		if n := <-got; (n == 0) != cordoned {
			t.Errorf("cordoned %t: %d bytes were sent", cordoned, n)
		}
		if ended := d.attempts[r.id] == nil; ended != cordoned || (d.pool.count == 0) != cordoned {
			t.Errorf("cordoned %t: attempt ended %t, %d connections in the pool", cordoned, ended, d.pool.count)
		}
	}
}

// A connection whose answer ends before the writer has reported the request's write is kept for a later attempt once
// the write is reported, unless either broke.
func TestAnswerBeforeWriteReport(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(s *upstream)
		kept bool
	}{
		{"write report first", func(s *upstream) {
			s.wrote(nil)
			s.handleNote(platform.Note{Kind: platform.NoteFree, Keep: true})
		}, true},
		{"answer first", func(s *upstream) {
			s.handleNote(platform.Note{Kind: platform.NoteFree, Keep: true})
			s.wrote(nil)
		}, true},
		{"answer first, which closes", func(s *upstream) {
			s.handleNote(platform.Note{Kind: platform.NoteFree})
			s.wrote(nil)
		}, false},
		{"answer first, the write fails", func(s *upstream) {
			s.handleNote(platform.Note{Kind: platform.NoteFree, Keep: true})
			s.wrote(io.ErrClosedPipe)
		}, false},
		{"answer first, the server leaves", func(s *upstream) {
			s.handleNote(platform.Note{Kind: platform.NoteFree, Keep: true})
			s.read(nil, 0, io.EOF)
			s.wrote(nil)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := testDriver(t)
			far, near := net.Pipe()
			defer far.Close()
			d.pool.adjust("a", 1)
			s := &upstream{addr: "a"}
			s.parser = platform.NewRelay(s.handleNote)
			s.conn = d.newConn(near, 1, s.read, s.wrote)
			msg := &platform.Message{Method: "POST", Target: "/readings", Txn: "t1", Lane: "readings"}
			r := &attempt{id: dispatch.AttemptID{Message: 7}, msg: msg, addr: "a", deadline: d.now() + 1_000_000, timer: time.NewTimer(time.Hour)}
			d.attempts[r.id] = r
			s.start(r)
			s.handleNote(platform.Note{Kind: platform.NoteEnded, Result: logic.Served})
			c.run(s)
			if kept := d.pool.takeIdle("a") == s; kept != c.kept || s.isClosed == c.kept {
				t.Errorf("kept %t, closed %t; want kept %t", kept, s.isClosed, c.kept)
			}
			if left := d.pool.count; left != map[bool]int{true: 1}[c.kept] {
				t.Errorf("%d connections in the pool", left)
			}
		})
	}
}
