package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"granitewing/internal/system/wire"
)

// Shape of the traffic.
const (
	clientPause   = 25 * time.Millisecond // between two messages of one client, in the middle
	clientWait    = 3 * time.Second
	lossSlack     = 400 * time.Millisecond // after the last byte of a request, until which its carrier may not have read it
	keysOfOrdered = 40
	orderedHost   = "ordered.example"
	freeHost      = "free.example"
	pacedHost     = "paced.example"
	calledHost    = "called.example" // its messages' ends are owed to the receiver
)

// client sends messages over one connection for as long as that lasts, whatever its carrier is told to do, and then goes to another.
type client struct {
	rig        *rig
	judge      *judge
	random     *rand.Rand
	name       string
	receiver   string // URL of call-backs
	connection net.Conn
	reader     *bufio.Reader
	sent       int
}

func (c *client) run(stop <-chan struct{}) {
	defer c.leave()
	for {
		pause := clientPause/2 + time.Duration(c.random.Int64N(int64(clientPause)))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if c.connection == nil && !c.connect() {
			continue
		}
		c.send()
	}
}

func (c *client) connect() bool {
	edge := c.rig.edges[c.random.IntN(len(c.rig.edges))]
	connection, err := net.DialTimeout("tcp", edge.rig.layout.Front(&edge.Machine), 300*time.Millisecond)
	if err != nil {
		return false
	}
	c.connection, c.reader = connection, bufio.NewReader(connection)
	return true
}

func (c *client) leave() {
	if c.connection != nil {
		c.connection.Close()
		c.connection = nil
	}
}

// send sends one message and reads its answer.
func (c *client) send() {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	host, key := c.kind()
	body := bodyOf(id)
	var text strings.Builder
	fmt.Fprintf(&text, "POST /in/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\nContent-Length: %d\r\n", host, wire.HeaderRequestID, id,
		wire.HeaderDeadline, len(body))
	if key != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", wire.HeaderOrderingKey, key)
	}
	called := host == calledHost
	if called {
		fmt.Fprintf(&text, "%s: %s\r\n", wire.HeaderCallback, c.receiver)
	}
	text.WriteString("\r\n" + body)
	calmBefore := c.judge.inCalm()
	c.judge.sent(id, key, called)
	_ = c.connection.SetDeadline(time.Now().Add(clientWait))
	if _, err := c.connection.Write([]byte(text.String())); err != nil {
		c.leave()
		return
	}
	written := time.Now()
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		if calmBefore && c.judge.inCalm() && (!closedUnread(err) || time.Since(written) > lossSlack) {
			c.judge.breaks("LOST", fmt.Sprintf("%s was sent whole and its connection ended without an answer %s later: %v", id,
				time.Since(written), err))
		}
		c.leave()
		return
	}
	if got := response.Header.Get(wire.HeaderRequestID); got != "" && got != id {
		c.judge.breaks("MIXED", fmt.Sprintf("%s got the answer to %s", id, got))
	}
	c.judge.answered(id, response.StatusCode)
	if response.Close {
		c.leave()
	}
}

// closedUnread tells of a connection that its carrier may have closed before it read the request.
func closedUnread(err error) bool {
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "reset")
}

func (c *client) kind() (host, key string) {
	switch c.random.IntN(4) {
	case 0, 1:
		return orderedHost, fmt.Sprintf("key-%d", c.random.IntN(keysOfOrdered))
	case 2:
		return calledHost, ""
	}
	if c.random.IntN(3) > 0 {
		return freeHost, ""
	}
	return pacedHost, ""
}

// clients are all clients.
type clients struct {
	stopped chan struct{}
	running sync.WaitGroup
}

func startClients(r *rig, j *judge, receiver string, count int, seed uint64) *clients {
	cs := &clients{stopped: make(chan struct{})}
	for i := range count {
		c := &client{rig: r, judge: j, random: rand.New(rand.NewPCG(seed, uint64(i))), name: fmt.Sprintf("c%d", i), receiver: receiver}
		cs.running.Go(func() { c.run(cs.stopped) })
	}
	return cs
}

func (cs *clients) stop() {
	close(cs.stopped)
	cs.running.Wait()
}

type stateForm struct {
	Phase string `json:"phase"`
	Stamp string `json:"stamp"`
}

// askState asks some carrier for a message's state; false where it does not know.
func (r *rig) askState(id string, turn int) (stateForm, bool) {
	var state stateForm
	edge := r.edges[turn%len(r.edges)]
	call := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := call.Get(fmt.Sprintf("http://%s/-/message/%s", edge.rig.layout.Front(&edge.Machine), url.PathEscape(id)))
	if err != nil {
		return state, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, false
	}
	return state, json.NewDecoder(response.Body).Decode(&state) == nil
}
