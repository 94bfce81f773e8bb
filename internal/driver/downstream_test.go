package driver

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// A client that sends byte by byte must not win time with each: a request's limit runs from its beginning, the
// first one's from the connection's.
func TestMessageLimitRunsFromItsBeginning(t *testing.T) {
	d := testDriver(t)
	n := testClient(t, d)
	n.parser = platform.NewNorth(nil, nil)
	start := n.begun
	feed := func(text string) { n.read([]byte(text), 0, nil) }
	feed("GET /hea")
	feed("lthz HTTP/1.1\r\nHost")
	if n.begun != start {
		t.Error("the first message's time began anew with a byte")
	}
	feed(": a\r\n\r\n")
	if !n.begun.IsZero() {
		t.Error("an idle connection that has carried a message is timed")
	}
	feed("G")
	start = n.begun
	feed("E")
	if start.IsZero() || n.begun != start {
		t.Error("the second message's time is not its own beginning's")
	}
	n.begun = n.begun.Add(-messageLimit)
	n.late()
	if !n.closing {
		t.Error("a message that is late is not ended")
	}
}

// Which connections make room, and which never do.
func TestWhoMakesRoom(t *testing.T) {
	old := time.Now().Add(-time.Hour)
	msg := &platform.Message{}
	for _, c := range []struct {
		name  string
		least *downstream // made room first
		more  *downstream
	}{
		{"silent before idle", &downstream{}, &downstream{proven: true, since: old}},
		{"turned away before served", &downstream{used: true}, &downstream{proven: true, closing: true, since: old}},
		{"closing before idle", &downstream{proven: true, closing: true}, &downstream{proven: true, since: old}},
		{"the older first", &downstream{since: old}, &downstream{since: old.Add(time.Second)}},
		{"idle before open", &downstream{proven: true}, &downstream{proven: true, msg: msg, since: old}},
		{"silent before one that is written to", &downstream{}, &downstream{writes: 1, since: old}},
	} {
		d := testDriver(t)
		for _, n := range []*downstream{c.more, c.least} {
			n.conn = testClient(t, d).conn
			n.conn.halted = n.halted
			n.parser = platform.NewNorth(nil, nil)
		}
		d.downstreams = map[*downstream]struct{}{c.least: {}, c.more: {}}
		d.evictDownstream()
		pump(t, d, func() bool { return c.least.gone || c.more.gone })
		if !c.least.gone || c.more.gone {
			t.Errorf("%s: closed %t and %t", c.name, c.least.gone, c.more.gone)
		}
	}
	d := testDriver(t)
	n := testClient(t, d)
	n.msg = msg
	if d.evictDownstream(); n.gone {
		t.Error("a connection with an open message was closed")
	}
}

// However many connections stand silent, the next one is accepted and its request taken; only requests that are
// open keep one out, and those get an answer.
func TestSilentConnectionsTakeNoRoom(t *testing.T) {
	d := testDriver(t)
	d.limits = limits{requests: 1, downstreams: 4}
	var last *downstream
	for range 20 {
		last = testClient(t, d)
		next := make(chan struct{})
		d.full = next
		// It stalls if this waits for more than the readers of silent connections to stand still.
		pump(t, d, func() bool { d.room(); return d.full == nil })
	}
	if last.gone || len(d.downstreams) >= d.limits.downstreams {
		t.Errorf("newest closed: %t; open: %d", last.gone, len(d.downstreams))
	}
	last.at = d.now()
	last.msg = &platform.Message{Message: memory.Message{Name: "t1"}, Remaining: time.Minute}
	last.handle()
	if len(d.open) != 1 {
		t.Fatal("a message was refused for want of room that silent connections hold")
	}
	n := testClient(t, d)
	n.at = d.now()
	n.msg = &platform.Message{Message: memory.Message{Name: "t2"}, Remaining: time.Minute}
	n.handle()
	if len(d.open) != 1 || n.writes != 1 {
		t.Error("a message beyond those that may be open was not refused")
	}
}

// What clients have sent of requests that are not answered is bounded, whatever each of them may send.
func TestBytesHeldAreBounded(t *testing.T) {
	d := testDriver(t)
	d.limits.bytes = 10_000
	a, b := testClient(t, d), testClient(t, d)
	for _, n := range []*downstream{a, b} {
		n.read([]byte("POST /readings HTTP/1.1\r\nHost: a\r\nX-Txn: t1\r\nContent-Length: 9000\r\n\r\n"), d.now(), nil)
		n.read(make([]byte, 8000), d.now(), nil)
	}
	if a.closing || !b.closing {
		t.Errorf("turned away: first %t, second %t; want the second alone", a.closing, b.closing)
	}
	a.end()
	if d.bytes != 0 {
		t.Errorf("%d bytes are booked when none is held", d.bytes)
	}
}

// Usual clients hold up to a third of the descriptors.
func TestUsualClientsHaveRoom(t *testing.T) {
	for _, c := range []struct{ sockets, memoryMB int }{{256, 32}, {384, 64}, {1024, 192}, {1024, 32}} {
		l := limitsFor(c.sockets, c.memoryMB)
		if l.requests < c.sockets/3 || l.downstreams <= l.requests || l.downstreams+l.upstreams > c.sockets-16 {
			t.Errorf("%+v: %+v", c, l)
		}
	}
}

func testDriver(t *testing.T) *Driver {
	d, err := New(&platform.Config{Sockets: 1024, MemoryMB: 192, Settings: logic.Config{
		Classes: []logic.Class{{Name: "readings", Deadline: 60_000_000, WorkerKind: -1}}, MaxAttempts: 3, MayCancel: true,
	}}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { close(d.done) })
	return d
}

// testClient is a connection from a client that sends nothing and takes nothing.
func testClient(t *testing.T, d *Driver) *downstream {
	far, near := net.Pipe()
	t.Cleanup(func() { far.Close(); near.Close() })
	before := map[*downstream]bool{}
	for n := range d.downstreams {
		before[n] = true
	}
	d.take(near)
	for n := range d.downstreams {
		if !before[n] {
			return n
		}
	}
	t.Fatal("the newest connection was closed")
	return nil
}
