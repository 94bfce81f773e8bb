package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"granitewing/internal/lab/audit"
	"granitewing/internal/lab/world"
)

// startServer answers each request with a function that receives the number of requests so far.
func startServer(t *testing.T, answer func(n int, req *http.Request, c net.Conn) bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var n atomic.Int64
	go func() {
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
					if !answer(int(n.Add(1)), req, c) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func respond(c net.Conn, status, more, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
}

// runLoad sends the jobs of an experiment to a server.
func runLoad(t *testing.T, addr, spec string, begin time.Time) (*Result, *audit.Report) {
	t.Helper()
	s, err := world.Parse("test", spec)
	if err != nil {
		t.Fatal(err)
	}
	day, err := s.Draw(1)
	if err != nil {
		t.Fatal(err)
	}
	log := audit.New([]audit.Class{{Name: "check", Repeat: day.Classes[0].Repeat, Window: 40_000_000}})
	res, err := Run(context.Background(), Options{Day: day, Targets: []Target{{addr, -1}}, Seed: 1, Begin: begin, Log: log, LogZero: begin, Prefix: "t"})
	if err != nil {
		t.Fatal(err)
	}
	return res, log.Check()
}

const shortLoad = `(experiment few (class check (share 1) (work 1ms) (aim 20s) (give-up 20s) (repeat %s)) (data-sets (count 0))
  (clients %s) (load (process even) (programme (constant (for 500ms) (rate 20)))))`

// Each kind of server behaviour leads to the expected outcome at the client and to the expected audit finding.
func TestAnswers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	echo := func(c net.Conn, req *http.Request) bool {
		respond(c, "200 OK", "", req.Header.Get("X-Txn"))
		return true
	}
	for name, c := range map[string]struct {
		repeat, clients string
		answer          func(n int, req *http.Request, c net.Conn) bool
		check           func(r *Result) bool
		finding         string
	}{
		"served": {"safe", "(retries 0)", func(_ int, req *http.Request, c net.Conn) bool { return echo(c, req) },
			func(r *Result) bool { return r.Recorder.Rows()[0].InTime == 10 }, "which no host made"},
		"refused thrice, then served": {"unsafe", "(retries 3)", func(_ int, req *http.Request, c net.Conn) bool {
			if req.Header.Get("X-Resent") == "" {
				respond(c, "503 Service Unavailable", "Retry-After: 0.010\r\n", "")
				return true
			}
			return echo(c, req)
		}, func(r *Result) bool { row := r.Recorder.Rows()[0]; return row.InTime == 10 && row.Tries == 20 }, "which no host made"},
		"unsafe and failed is not sent again": {"unsafe", "(retries 3)", func(_ int, _ *http.Request, c net.Conn) bool { respond(c, "502 Bad Gateway", "", ""); return true },
			func(r *Result) bool { row := r.Recorder.Rows()[0]; return row.Failed == 10 && row.Tries == 10 }, ""},
		"an answer for another": {"safe", "(retries 0)", func(_ int, _ *http.Request, c net.Conn) bool { respond(c, "200 OK", "", "somebody's"); return true },
			func(r *Result) bool { return r.Mismatched == 10 }, "which no host made"},
		"a second answer": {"safe", "(retries 0)", func(_ int, _ *http.Request, c net.Conn) bool {
			fmt.Fprint(c, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n")
			return true
		}, func(r *Result) bool { return r.Recorder.Rows()[0].Failed == 10 }, "more than one answer"},
		"a break in the middle": {"safe", "(retries 0)", func(_ int, _ *http.Request, c net.Conn) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		}, func(r *Result) bool { return r.Recorder.Rows()[0].Unanswered == 10 }, "no whole answer"},
		// A connection that closes between two requests costs the client only a new connection.
		"closed between requests": {"safe", "(retries 0)", func(n int, req *http.Request, c net.Conn) bool {
			echo(c, req)
			return n%3 != 0
		}, func(r *Result) bool { row := r.Recorder.Rows()[0]; return row.InTime == 10 && row.Tries == 10 }, "which no host made"},
		"chunked and closed by the server": {"safe", "(retries 0)", func(_ int, req *http.Request, c net.Conn) bool {
			name := req.Header.Get("X-Txn")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(name), name)
			return false
		}, func(r *Result) bool { return r.Recorder.Rows()[0].InTime == 10 }, "which no host made"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, c.answer)
			res, rep := runLoad(t, addr, fmt.Sprintf(shortLoad, c.repeat, c.clients), time.Now())
			if !c.check(res) {
				t.Errorf("%+v, foreign %d", res.Recorder.Rows()[0], res.Mismatched)
			}
			if !strings.Contains(rep.String(), c.finding) || c.finding == "" && rep.Broken() > 0 {
				t.Errorf("want the finding %q in\n%s", c.finding, rep)
			}
		})
	}
}

// A generator that is behind its schedule reports this with the cause, whatever the answers. Latency still counts
// from the intended send time.
func TestLateGeneratorIsInvalid(t *testing.T) {
	addr := startServer(t, func(_ int, req *http.Request, c net.Conn) bool {
		respond(c, "200 OK", "", req.Header.Get("X-Txn"))
		return true
	})
	res, _ := runLoad(t, addr, fmt.Sprintf(shortLoad, "safe", "(retries 0)"), time.Now().Add(-5*time.Second))
	if v := res.Verdict; v.Valid || len(v.Causes) == 0 || !strings.Contains(v.Causes[0], "send lag p99") {
		t.Errorf("five seconds late and %+v", v)
	}
	if row := res.Recorder.Rows()[0]; row.P50 < 4*time.Second {
		t.Errorf("p50 %v; the schedule was five seconds earlier", row.P50)
	}
	// The CPU limit is low enough that a process which is busy on every core exceeds it, even if it shares the cores
	// with others.
	tight := strings.Replace(fmt.Sprintf(shortLoad, "safe", "(retries 0)"), "(data-sets", "(generator (cpu 5%) (lag 1m) (scheduling 1m)) (data-sets", 1)
	stop := make(chan struct{})
	for range runtime.GOMAXPROCS(0) {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
			}
		}()
	}
	res, _ = runLoad(t, addr, tight, time.Now())
	close(stop)
	if v := res.Verdict; v.Valid || !strings.Contains(strings.Join(v.Causes, ";"), "of the machine's CPU") {
		t.Errorf("a busy process and %+v", v)
	}
}

// All connections to a server are in use. A try that waits for one counts from its intended send time, and a try
// that finds none is reported as a limit of the generator itself.
func TestPoolExhausted(t *testing.T) {
	hold := make(chan struct{})
	addr := startServer(t, func(_ int, _ *http.Request, _ net.Conn) bool { <-hold; return false })
	defer close(hold)
	text := `(experiment full (descriptors 64) (class check (share 1) (work 1ms) (aim 1s) (give-up 300ms) (repeat safe)) (data-sets (count 0))
  (clients (retries 0) (connections 7%) (impatient 0)) (load (process even) (programme (constant (for 200ms) (rate 100)))))`
	res, _ := runLoad(t, addr, text, time.Now())
	if v := res.Verdict; v.Open != 4 || v.Unsent == 0 || v.Valid {
		t.Errorf("four connections at most and %+v", v)
	}
}
