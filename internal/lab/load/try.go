package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"syscall"
	"time"

	"granitewing/internal/lab/client"
	"granitewing/internal/lab/emulate"
	"granitewing/internal/lab/world"
)

// conn is a client's connection. It does not use net/http's transport, which repeats a request that has an
// Idempotency-Key when a connection turns out to be stale: that copy would not be counted.
type conn struct {
	net.Conn
	r    *bufio.Reader
	uses int
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, r: bufio.NewReaderSize(c, 2048)} }

// alive reports whether an idle connection is still open at the other end, as far as this machine knows.
func (c *conn) alive() bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(e, syscall.EAGAIN) // neither closed nor with unsolicited bytes to read
	})
	return err == nil && open
}

// response is a complete HTTP response.
type response struct {
	status     int
	retryAfter time.Duration
	close      bool
	body       []byte
}

// maxBody bounds the body of a response; a host's result may be this long.
const maxBody = 1 << 20

var errMalformedResponse = errors.New("malformed answer")

// read reads one response. touched reports whether any byte was received.
func (c *conn) read() (a response, touched bool, err error) {
	line, err := c.r.ReadSlice('\n')
	touched = len(line) > 0
	if err != nil {
		return a, touched, err
	}
	if len(line) < 13 || !bytes.HasPrefix(line, []byte("HTTP/1.")) {
		return a, true, errMalformedResponse
	}
	if a.status, err = strconv.Atoi(string(line[9:12])); err != nil {
		return a, true, errMalformedResponse
	}
	length, chunked := -1, false
	for {
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			return a, true, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		name, value, _ := strings.Cut(string(line), ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil || length < 0 || length > maxBody {
				return a, true, errMalformedResponse
			}
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "connection":
			a.close = strings.EqualFold(value, "close")
		case "retry-after":
			if s, err := strconv.ParseFloat(value, 64); err == nil && s > 0 && s < 1e6 {
				a.retryAfter = time.Duration(s * float64(time.Second))
			}
		}
	}
	switch {
	case chunked:
		a.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.r), maxBody))
		if err == nil {
			_, err = c.r.ReadSlice('\n') // the line after the last chunk
		}
	case length >= 0:
		a.body = make([]byte, length)
		_, err = io.ReadFull(c.r, a.body)
	default:
		a.close = true
		a.body, err = io.ReadAll(io.LimitReader(c.r, maxBody))
	}
	return a, true, err
}

// appendRequest appends the HTTP request of one try to b.
func (g *generator) appendRequest(b []byte, name, host string, job *world.Job, key string, wait time.Duration, marked bool) []byte {
	class := g.day.Classes[job.Class].Name
	body := emulate.Work{Micros: float64(job.Work.Microseconds()), Slots: job.Slots, Memory: job.Memory, Set: uint64(job.Set)}.Append(nil)
	b = fmt.Appendf(b, "POST /%s", class)
	if job.Set != 0 {
		b = fmt.Appendf(b, "?user=%016x", job.Set)
	}
	b = fmt.Appendf(b, " HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %.3f\r\nX-Estimate: %d\r\nX-Labels: slots=%g,memory=%.3f\r\n",
		host, name, class, wait.Seconds(), job.Hint.Microseconds(), job.Slots, job.Memory)
	if key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", key)
	}
	if marked {
		b = append(b, "X-Resent: 1\r\n"...)
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(body))
	return append(b, body...)
}

// errStaleConn reports that a connection which had carried requests before was closed in order before any byte of an
// answer.
var errStaleConn = errors.New("the connection was closed between two requests")

// try sends a request and waits for its answer. A dispatcher may close a connection between two requests. If a
// request crosses such a close, the client sends it again on another connection, as the protocol allows, with a new
// name so that the audit can tell the two apart. A client whose job must not run twice does not, since it cannot
// know whether the first copy was read.
func (g *generator) try(ctx context.Context, job *world.Job, key string, wait time.Duration, leaves, marked bool, rng *rand.Rand) (client.Result, time.Duration) {
	declared := wait
	if leaves {
		// A client that is going to hang up does not know it yet, so it sends its class's usual limit.
		declared = g.day.Classes[job.Class].GiveUp
	}
	end := time.Now().Add(wait)
	unsafe := g.day.Classes[job.Class].Repeat == "unsafe"
	for {
		p, c := g.connect(job.Zone, rng, end)
		if c == nil {
			return client.Unsent, 0
		}
		name := fmt.Sprintf("%s%012x", g.opts.Prefix, g.next.Add(1))
		sent := time.Now()
		if g.opts.Log != nil {
			g.opts.Log.Sent(g.auditTime(), name, job.Class, p.number)
		}
		until := sent.Add(wait)
		if !leaves {
			until = until.Add(answerSlack)
		}
		a, err := g.roundTrip(ctx, c, g.appendRequest(nil, name, p.Addr, job, key, declared, marked), until)
		result := client.Broken
		switch {
		case err == nil && a.status == 200:
			result = client.Served
			if !bytes.HasPrefix(a.body, []byte(name)) {
				g.mismatched.Add(1)
			}
		case err == nil && (a.status == 429 || a.status == 503):
			result = client.Refused
		case err == nil:
			result = client.Failed
		case ctx.Err() != nil:
			result = client.HungUp
		case isTimeout(err) && leaves:
			result = client.HungUp
		case isTimeout(err):
			result = client.Silent
		case errors.Is(err, errStaleConn) && !unsafe:
			result = client.Unsent
		}
		extra := err == nil && c.r.Buffered() > 0
		if g.opts.Log != nil {
			g.opts.Log.Ended(g.auditTime(), name, result, string(a.body))
			if extra {
				g.opts.Log.Extra(name)
			}
		}
		p.put(c, err == nil && !a.close && !extra)
		if result != client.Unsent {
			return result, a.retryAfter
		}
		g.resent.Add(1)
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// roundTrip writes a request and reads its answer, until the given time or the end of ctx.
func (g *generator) roundTrip(ctx context.Context, c *conn, text []byte, until time.Time) (response, error) {
	c.SetDeadline(until)
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })()
	_, err := c.Write(text)
	if err != nil && isTimeout(err) {
		return response{}, err
	}
	// Read even after a failed write: a dispatcher that closed the connection may have sent the reason first.
	a, touched, err := c.read()
	if err != nil && !touched && c.uses > 0 && errors.Is(err, io.EOF) {
		err = errStaleConn
	}
	return a, err
}
