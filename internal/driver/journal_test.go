package driver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/record"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// blockingStore is a store whose writes wait for a result from the test.
type blockingStore struct {
	record.Store
	batches chan []record.Record
	results chan error
}

func (g *blockingStore) Write(ctx context.Context, batch []record.Record) error {
	g.batches <- batch
	select {
	case err := <-g.results:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// journalHarness is a driver on real sockets with one server that answers at once, and a store that the test controls.
type journalHarness struct {
	t     *testing.T
	d     *Driver
	store *blockingStore
	addr  string
	mu    sync.Mutex
	got   []string // names of requests that reached the server
	block chan struct{}
}

func newJournalHarness(t *testing.T, patience time.Duration) *journalHarness {
	s := &journalHarness{t: t, store: &blockingStore{batches: make(chan []record.Record, 100), results: make(chan error)}, block: make(chan struct{})}
	host, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.serveHost(host)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	class := func(name string, r logic.Repeat) logic.Class {
		return logic.Class{Name: name, Deadline: 60_000_000, WorkerKind: -1, Repeat: r, Window: 40_000_000}
	}
	cfg := &platform.Config{Sockets: 1024, MemoryMB: 192, Discovery: "127.0.0.1:1",
		Known:    platform.List{Hosts: []dispatch.Host{{Name: "s-a", Addr: host.Addr().String(), Phase: logic.Ready}}},
		Settings: logic.Config{Classes: []logic.Class{class("readings", logic.RepeatSafe), class("batch", logic.RepeatKeyed), class("alert", logic.RepeatUnsafe)}, MaxAttempts: 3, MayCancel: true}}
	if s.d, err = New(cfg, ln, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	classes := []record.Class{{Name: "readings", Policy: record.Behind}, {Name: "batch", Policy: record.BeforeAnswer, Window: 40_000_000}, {Name: "alert", Policy: record.BeforeSend}}
	s.d.UseRecords(Records{Store: s.store, WriteTimeout: time.Minute,
		Journal: record.New(classes, 1, record.DefaultLimits, record.NewBreaker(patience.Microseconds(), 1000, 2000, 1))})
	s.addr = ln.Addr().String()
	stop := make(chan struct{})
	over := make(chan struct{})
	go func() { s.d.Run(stop); close(over) }()
	t.Cleanup(func() {
		close(s.block)
		go func() { // lets remaining writes finish
			for {
				select {
				case s.store.results <- nil:
				case <-over:
					return
				}
			}
		}()
		close(stop)
		<-over
		host.Close()
	})
	return s
}

func (s *journalHarness) serveHost(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				io.Copy(io.Discard, req.Body)
				name := req.Header.Get("X-Txn")
				s.mu.Lock()
				s.got = append(s.got, name)
				s.mu.Unlock()
				line := fmt.Sprintf(`{"id":%q,"state":"done","result":"r-%s"}`+"\n", name, name)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(line), line)
			}
		}()
	}
}

// send sends a request on a new connection; the channel receives its answer.
func (s *journalHarness) send(class, name string) <-chan string {
	out := make(chan string, 1)
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nIdempotency-Key: k\r\nX-Remaining: 50\r\nContent-Length: 0\r\n\r\n", class, name)
	go func() {
		defer c.Close()
		c.SetDeadline(time.Now().Add(30 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			out <- err.Error()
			return
		}
		body, _ := io.ReadAll(resp.Body)
		out <- fmt.Sprintf("%d %s %s", resp.StatusCode, body, resp.Header.Get("Retry-After"))
	}()
	return out
}

func (s *journalHarness) expectAnswer(what string, got <-chan string, want string) {
	s.t.Helper()
	if g := strings.TrimSpace(<-got); g != want {
		s.t.Fatalf("%s: %q, want %q", what, g, want)
	}
}

func (s *journalHarness) expectReached(want string) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := strings.Join(s.got, " "); got != want {
		s.t.Fatalf("the host got %q, want %q", got, want)
	}
}

// A job that must not run twice is sent to a server only after its record is durable, and its client is answered only
// after the answer's record is. Readings are not held up meanwhile.
func TestRecordIsDurableBeforeSendAndAnswer(t *testing.T) {
	s := newJournalHarness(t, time.Minute)
	alert := s.send("alert", "a1")
	if b := <-s.store.batches; len(b) != 1 || b[0].Name != "a1" || len(b[0].Attempts) != 1 {
		t.Fatalf("written: %+v", b)
	}
	s.expectAnswer("a reading during the write", s.send("readings", "r1"), "200 r-r1")
	s.expectReached("r1")
	s.store.results <- nil
	for done := false; !done; {
		b := <-s.store.batches
		for _, r := range b {
			done = done || r.Name == "a1" && r.Verdict == record.Served
		}
		if !done {
			s.store.results <- nil
		}
	}
	s.expectReached("r1 a1")
	s.expectAnswer("a reading before the answer's write", s.send("readings", "r2"), "200 r-r2")
	select {
	case got := <-alert:
		t.Fatalf("the alert was answered %q before its answer was durable", got)
	default:
	}
	s.store.results <- nil
	s.expectAnswer("the alert", alert, "200 r-a1")
}

// While the store is unavailable, waiting and new alerts are refused and readings are served. Once it is back, alerts
// are accepted again.
func TestStoreUnavailable(t *testing.T) {
	s := newJournalHarness(t, 20*time.Millisecond)
	waits := s.send("alert", "a1")
	<-s.store.batches
	s.expectAnswer("an alert that waits", waits, "503  1.000")
	s.expectAnswer("a new alert", s.send("alert", "a2"), "503  1.000")
	s.expectAnswer("a reading", s.send("readings", "r1"), "200 r-r1")
	s.expectReached("r1")
	s.store.results <- errors.New("reset")
	for range 3 { // probes fail
		<-s.store.batches
		s.store.results <- errors.New("gone")
	}
	names := map[string]bool{}
	for len(names) < 2 {
		for _, r := range <-s.store.batches {
			names[r.Name] = true
			if err := r.Verify(); err != nil {
				t.Error(err)
			}
		}
		s.store.results <- nil
	}
	if !names["a1"] || !names["r1"] {
		t.Errorf("written once the store is back: %v", names)
	}
	go func() {
		for range s.store.batches {
			s.store.results <- nil
		}
	}()
	s.expectAnswer("an alert afterwards", s.send("alert", "a3"), "200 r-a3")
}

// A repeat of a key within its window gets the recorded result and does not run again.
func TestRepeatIsAnsweredFromRecord(t *testing.T) {
	s := newJournalHarness(t, time.Minute)
	go func() {
		for range s.store.batches {
			s.store.results <- nil
		}
	}()
	s.expectAnswer("the first", s.send("batch", "b1"), "200 r-b1")
	s.expectAnswer("its repeat", s.send("batch", "b2"), "200 r-b1")
	s.expectReached("b1")
}
