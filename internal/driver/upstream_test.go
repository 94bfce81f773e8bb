package driver

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// pump runs the owner's work on the test's goroutine until done says so.
func pump(t *testing.T, d *Driver, done func() bool) {
	t.Helper()
	limit := time.After(20 * time.Second)
	for !done() {
		if len(d.later) > 0 {
			f := d.later[0]
			d.later = d.later[1:]
			f()
			continue
		}
		select {
		case f := <-d.events:
			f()
		case <-limit:
			t.Fatal("nothing more happened")
		}
	}
}

// A job that must not run twice may be tried again, or refused, only while its last byte was not written. A pipe
// takes no byte before it is read, so the test decides how far the write comes.
func TestBreakBeforeAndAfterTheLastByte(t *testing.T) {
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
			n := &downstream{parser: platform.NewNorth(nil, nil), msg: msg, held: true, expiry: time.NewTimer(time.Hour)}
			n.conn = d.newConn(near, 3, n.read, n.wrote)
			d.core.Inventory(d.now(), logic.ListFull, []memory.Host{{Name: "s-a", Addr: "a", Phase: logic.Ready}})
			n.id, _ = d.core.Arrive(d.now(), msg.Message, 0)
			d.open[n.id] = n

			r := &attempt{id: memory.RelayID{Message: n.id}, msg: msg, addr: "a", until: d.now() + 1_000_000, timer: time.NewTimer(time.Hour)}
			d.attempts[r.id] = r
			d.pool.add("a", 1)
			s := &upstream{addr: "a"}
			s.parser = platform.NewRelay(s.note)
			s.conn = d.newConn(far, 1, s.read, s.wrote)
			s.begin(r)
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
			pump(t, d, func() bool { return d.attempts[r.id] == nil && d.open[n.id] == nil })
			if line := <-got; line != c.answer {
				t.Errorf("answer %q, want %q", line, c.answer)
			}
			if d.pool.count != 0 || !s.gone {
				t.Errorf("the broken connection is still on the books: %d, gone %t", d.pool.count, s.gone)
			}
		})
	}
}

// A request is counted once, whether the server answers before the writer has told that it is written or after.
func TestDispatchesCounted(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := testDriver(t)
		far, near := net.Pipe()
		defer far.Close()
		d.pool.add("a", 1)
		s := &upstream{addr: "a"}
		s.parser = platform.NewRelay(s.note)
		s.conn = d.newConn(near, 1, s.read, s.wrote)
		msg := &platform.Message{Method: "POST", Target: "/readings", Txn: "t1", Lane: "readings"}
		r := &attempt{id: memory.RelayID{Message: 7}, msg: msg, addr: "a", until: d.now() + 1_000_000, timer: time.NewTimer(time.Hour)}
		d.attempts[r.id] = r
		s.begin(r)
		if !answered {
			s.wrote(nil)
		}
		s.note(platform.Note{Kind: platform.NoteTaken})
		s.note(platform.Note{Kind: platform.NoteEnded, Result: logic.Served})
		if answered {
			s.wrote(nil)
		}
		if n := d.figures.dispatches.Load(); n != 1 {
			t.Errorf("answered first: %t; counted %d times", answered, n)
		}
	}
}

// A connection that comes up after its server was barred carries nothing to it: the rules count from the first byte.
func TestLateConnectionToABarredHost(t *testing.T) {
	for _, barred := range []bool{false, true} {
		d := testDriver(t)
		d.core.Inventory(d.now(), logic.ListFull, []memory.Host{{Name: "s-a", Addr: "a", Phase: logic.Ready}})
		msg := &platform.Message{Method: "POST", Target: "/readings", Txn: "t1", Lane: "readings"}
		id, _ := d.core.Arrive(d.now(), msg.Message, 0)
		r := &attempt{id: memory.RelayID{Message: id}, msg: msg, addr: "a", until: d.now() + 1_000_000, timer: time.NewTimer(time.Hour)}
		d.attempts[r.id] = r
		d.pool.add("a", 1)
		if barred {
			d.core.Cordon(d.now(), "s-a", true)
		}
		host, near := net.Pipe()
		defer host.Close()
		got := make(chan int, 1)
		go func() {
			n, _ := host.Read(make([]byte, 1))
			got <- n
		}()
		d.dialled(r, near, nil)
		if n := <-got; (n == 0) != barred {
			t.Errorf("barred %t: %d bytes came", barred, n)
		}
		if ended := d.attempts[r.id] == nil; ended != barred || (d.pool.count == 0) != barred {
			t.Errorf("barred %t: relay ended %t, %d connections on the books", barred, ended, d.pool.count)
		}
	}
}

// A connection whose answer ends before the writer has told of its request is kept for the next attempt, once that is
// written, unless either broke.
func TestAnswerBeforeTheWritersWord(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *upstream)
		kept bool
	}{
		{"word first", func(s *upstream) {
			s.wrote(nil)
			s.note(platform.Note{Kind: platform.NoteFree, Keep: true})
		}, true},
		{"answer first", func(s *upstream) {
			s.note(platform.Note{Kind: platform.NoteFree, Keep: true})
			s.wrote(nil)
		}, true},
		{"answer first, which closes", func(s *upstream) {
			s.note(platform.Note{Kind: platform.NoteFree})
			s.wrote(nil)
		}, false},
		{"answer first, the write fails", func(s *upstream) {
			s.note(platform.Note{Kind: platform.NoteFree, Keep: true})
			s.wrote(io.ErrClosedPipe)
		}, false},
		{"answer first, the server leaves", func(s *upstream) {
			s.note(platform.Note{Kind: platform.NoteFree, Keep: true})
			s.read(nil, 0, io.EOF)
			s.wrote(nil)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := testDriver(t)
			far, near := net.Pipe()
			defer far.Close()
			d.pool.add("a", 1)
			s := &upstream{addr: "a"}
			s.parser = platform.NewRelay(s.note)
			s.conn = d.newConn(near, 1, s.read, s.wrote)
			msg := &platform.Message{Method: "POST", Target: "/readings", Txn: "t1", Lane: "readings"}
			r := &attempt{id: memory.RelayID{Message: 7}, msg: msg, addr: "a", until: d.now() + 1_000_000, timer: time.NewTimer(time.Hour)}
			d.attempts[r.id] = r
			s.begin(r)
			s.note(platform.Note{Kind: platform.NoteEnded, Result: logic.Served})
			c.play(s)
			if kept := d.pool.latest("a") == s; kept != c.kept || s.gone == c.kept {
				t.Errorf("kept %t, closed %t; want kept %t", kept, s.gone, c.kept)
			}
			if left := d.pool.count; left != map[bool]int{true: 1}[c.kept] {
				t.Errorf("%d connections on the books", left)
			}
		})
	}
}
