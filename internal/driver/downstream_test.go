package driver

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// A client that sends byte by byte gains no time: a request's timeout counts from its beginning, for the first one
// from that of the connection.
func TestRequestTimeoutCountsFromStart(t *testing.T) {
	d := testDriver(t)
	n := testClient(t, d)
	n.parser = platform.NewNorth(nil, nil)
	start := n.requestBegan
	feed := func(text string) { n.read([]byte(text), 0, nil) }
	feed("GET /hea")
	feed("lthz HTTP/1.1\r\nHost")
	if n.requestBegan != start {
		t.Error("further bytes restarted the first request's timeout")
	}
	feed(": a\r\n\r\n")
	if !n.requestBegan.IsZero() {
		t.Error("an idle connection still has a request timeout")
	}
	feed("G")
	start = n.requestBegan
	feed("E")
	if start.IsZero() || n.requestBegan != start {
		t.Error("the second request's timeout does not count from its beginning")
	}
	n.requestBegan = n.requestBegan.Add(-requestTimeout)
	n.requestTimedOut()
	if !n.closing {
		t.Error("a request past its timeout is not ended")
	}
}

// Which connections are evicted first, and which never.
func TestEvictionOrder(t *testing.T) {
	old := time.Now().Add(-time.Hour)
	msg := &platform.Message{}
	for _, c := range []struct {
		name   string
		first  *downstream // evicted first
		second *downstream
	}{
		{"silent before idle", &downstream{}, &downstream{hadAcceptedRequest: true, idleSince: old}},
		{"refused before served", &downstream{hadRequest: true}, &downstream{hadAcceptedRequest: true, closing: true, idleSince: old}},
		{"closing before idle", &downstream{hadAcceptedRequest: true, closing: true}, &downstream{hadAcceptedRequest: true, idleSince: old}},
		{"the older first", &downstream{idleSince: old}, &downstream{idleSince: old.Add(time.Second)}},
		{"idle before open", &downstream{hadAcceptedRequest: true}, &downstream{hadAcceptedRequest: true, msg: msg, idleSince: old}},
		{"silent before one with a pending write", &downstream{}, &downstream{pendingWrites: 1, idleSince: old}},
	} {
		d := testDriver(t)
		for _, n := range []*downstream{c.second, c.first} {
			n.conn = testClient(t, d).conn
			n.conn.tryIdleClose = n.closeIfIdle
			n.parser = platform.NewNorth(nil, nil)
		}
		d.downstreams = map[*downstream]struct{}{c.first: {}, c.second: {}}
		d.evictDownstream()
		runOwner(t, d, func() bool { return c.first.isClosed || c.second.isClosed })
		if !c.first.isClosed || c.second.isClosed {
			t.Errorf("%s: closed %t and %t", c.name, c.first.isClosed, c.second.isClosed)
		}
	}
	d := testDriver(t)
	n := testClient(t, d)
	n.msg = msg
	if d.evictDownstream(); n.isClosed {
		t.Error("a connection with an open request was closed")
	}
}

// However many connections are silent, the next one is accepted and its request handled. Only open requests keep a new
// one out, and that one gets an answer.
func TestSilentConnectionsDoNotBlockNewOnes(t *testing.T) {
	d := testDriver(t)
	d.limits = limits{requests: 1, downstreams: 4}
	var last *downstream
	for range 20 {
		last = testClient(t, d)
		next := make(chan struct{})
		d.nextAccept = next
		// This hangs if it waits for anything beyond the readers of silent connections to stop.
		runOwner(t, d, func() bool { d.admitNextConn(); return d.nextAccept == nil })
	}
	if last.isClosed || len(d.downstreams) >= d.limits.downstreams {
		t.Errorf("newest closed: %t; open: %d", last.isClosed, len(d.downstreams))
	}
	last.receivedAt = d.now()
	last.msg = &platform.Message{Message: dispatch.Message{Name: "t1"}, Remaining: time.Minute}
	last.handle()
	if len(d.openRequests) != 1 {
		t.Fatal("a request was refused although only silent connections hold slots")
	}
	n := testClient(t, d)
	n.receivedAt = d.now()
	n.msg = &platform.Message{Message: dispatch.Message{Name: "t2"}, Remaining: time.Minute}
	n.handle()
	if len(d.openRequests) != 1 || n.pendingWrites != 1 {
		t.Error("a request beyond the limit was not refused")
	}
}

// The buffered bytes of unanswered requests are bounded in total, whatever each client sends.
func TestBufferedBytesAreBounded(t *testing.T) {
	d := testDriver(t)
	d.limits.bufferedBytes = 10_000
	a, b := testClient(t, d), testClient(t, d)
	for _, n := range []*downstream{a, b} {
		n.read([]byte("POST /readings HTTP/1.1\r\nHost: a\r\nX-Txn: t1\r\nContent-Length: 9000\r\n\r\n"), d.now(), nil)
		n.read(make([]byte, 8000), d.now(), nil)
	}
	if a.closing || !b.closing {
		t.Errorf("refused: first %t, second %t; want only the second", a.closing, b.closing)
	}
	a.teardown()
	if d.bufferedBytes != 0 {
		t.Errorf("%d bytes are counted, none is buffered", d.bufferedBytes)
	}
}

// Typical clients, which may hold up to a third of the descriptors, stay within the limits.
func TestLimitsForTypicalClients(t *testing.T) {
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

// testClient adds a connection from a client that sends and reads nothing.
func testClient(t *testing.T, d *Driver) *downstream {
	far, near := net.Pipe()
	t.Cleanup(func() { far.Close(); near.Close() })
	before := map[*downstream]bool{}
	for n := range d.downstreams {
		before[n] = true
	}
	d.addDownstream(near)
	for n := range d.downstreams {
		if !before[n] {
			return n
		}
	}
	t.Fatal("the newest connection was closed")
	return nil
}
