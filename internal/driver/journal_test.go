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

	"granitewing/internal/memory"
	"granitewing/internal/record"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// gate is a store whose writes wait for the test's word.
type gate struct {
	record.Store
	asked chan []record.Record
	say   chan error
}

func (g *gate) Write(ctx context.Context, batch []record.Record) error {
	g.asked <- batch
	select {
	case err := <-g.say:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stage is a driver on real sockets with one server that serves all at once, and a store under the test's hand.
type stage struct {
	t     *testing.T
	d     *Driver
	store *gate
	addr  string
	mu    sync.Mutex
	got   []string // names that reached the server
	block chan struct{}
}

func newStage(t *testing.T, patience time.Duration) *stage {
	s := &stage{t: t, store: &gate{asked: make(chan []record.Record, 100), say: make(chan error)}, block: make(chan struct{})}
	host, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.host(host)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	class := func(name string, r logic.Repeat) logic.Class {
		return logic.Class{Name: name, Deadline: 60_000_000, WorkerKind: -1, Repeat: r, Window: 40_000_000}
	}
	cfg := &platform.Config{Sockets: 1024, MemoryMB: 192, Discovery: "127.0.0.1:1",
		Known:    platform.List{Hosts: []memory.Host{{Name: "s-a", Addr: host.Addr().String(), Phase: logic.Ready}}},
		Settings: logic.Config{Classes: []logic.Class{class("readings", logic.RepeatSafe), class("batch", logic.RepeatKeyed), class("alert", logic.RepeatUnsafe)}, MaxAttempts: 3, MayCancel: true}}
	if s.d, err = New(cfg, ln, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	classes := []record.Class{{Name: "readings", Policy: record.Behind}, {Name: "batch", Policy: record.Told, Window: 40_000_000}, {Name: "alert", Policy: record.Before}}
	s.d.Keep(Records{Store: s.store, Limit: time.Minute,
		Journal: record.New(classes, 1, record.DefaultLimits, record.NewBreaker(patience.Microseconds(), 1000, 2000, 1))})
	s.addr = ln.Addr().String()
	stop := make(chan struct{})
	over := make(chan struct{})
	go func() { s.d.Run(stop); close(over) }()
	t.Cleanup(func() {
		close(s.block)
		go func() { // whatever is still written may be
			for {
				select {
				case s.store.say <- nil:
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

func (s *stage) host(ln net.Listener) {
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

// ask sends a request on a connection of its own and gives what becomes of it.
func (s *stage) ask(class, name string) <-chan string {
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

func (s *stage) expect(what string, got <-chan string, want string) {
	s.t.Helper()
	if g := strings.TrimSpace(<-got); g != want {
		s.t.Fatalf("%s: %q, want %q", what, g, want)
	}
}

func (s *stage) reached(want string) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := strings.Join(s.got, " "); got != want {
		s.t.Fatalf("the host got %q, want %q", got, want)
	}
}

// A job that must not run twice reaches no server before its record is durable, and its client hears nothing before its
// answer's is; readings go by meanwhile.
func TestStoreComesFirst(t *testing.T) {
	s := newStage(t, time.Minute)
	alert := s.ask("alert", "a1")
	if b := <-s.store.asked; len(b) != 1 || b[0].Name != "a1" || len(b[0].Attempts) != 1 {
		t.Fatalf("written: %+v", b)
	}
	s.expect("a reading while the write lasts", s.ask("readings", "r1"), "200 r-r1")
	s.reached("r1")
	s.store.say <- nil
	for done := false; !done; {
		b := <-s.store.asked
		for _, r := range b {
			done = done || r.Name == "a1" && r.Verdict == record.Served
		}
		if !done {
			s.store.say <- nil
		}
	}
	s.reached("r1 a1")
	s.expect("a reading before the answer's write", s.ask("readings", "r2"), "200 r-r2")
	select {
	case got := <-alert:
		t.Fatalf("the alert was answered %q before its answer was durable", got)
	default:
	}
	s.store.say <- nil
	s.expect("the alert", alert, "200 r-a1")
}

// A store that is gone: alerts that wait are refused, new ones at once; readings go on; once it is back so are alerts.
func TestStoreIsGone(t *testing.T) {
	s := newStage(t, 20*time.Millisecond)
	waits := s.ask("alert", "a1")
	<-s.store.asked
	s.expect("an alert that waits", waits, "503  1.000")
	s.expect("a new alert", s.ask("alert", "a2"), "503  1.000")
	s.expect("a reading", s.ask("readings", "r1"), "200 r-r1")
	s.reached("r1")
	s.store.say <- errors.New("reset")
	for range 3 { // probes that fail
		<-s.store.asked
		s.store.say <- errors.New("gone")
	}
	names := map[string]bool{}
	for len(names) < 2 {
		for _, r := range <-s.store.asked {
			names[r.Name] = true
			if err := r.Verify(); err != nil {
				t.Error(err)
			}
		}
		s.store.say <- nil
	}
	if !names["a1"] || !names["r1"] {
		t.Errorf("written when it is back: %v", names)
	}
	go func() {
		for range s.store.asked {
			s.store.say <- nil
		}
	}()
	s.expect("an alert afterwards", s.ask("alert", "a3"), "200 r-a3")
}

// A keyed repeat within its window is given the recorded result and does not run again.
func TestRepeatIsAnsweredFromTheRecord(t *testing.T) {
	s := newStage(t, time.Minute)
	go func() {
		for range s.store.asked {
			s.store.say <- nil
		}
	}()
	s.expect("the first", s.ask("batch", "b1"), "200 r-b1")
	s.expect("its repeat", s.ask("batch", "b2"), "200 r-b1")
	s.reached("b1")
}
