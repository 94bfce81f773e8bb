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

// Parameters of the traffic.
const (
	meanSendInterval = 25 * time.Millisecond // between two messages of one client
	responseTimeout  = 3 * time.Second
	unreadWindow     = 400 * time.Millisecond // how long after the client wrote it a request may be unread
	orderingKeys     = 40
	orderedHost      = "ordered.example"
	freeHost         = "free.example"
	pacedHost        = "paced.example"
	callbackHost     = "called.example" // its messages require a callback to the receiver
	// removableHost has an ordered route that is in every other configuration, and a shorter prefix without order in all.
	removableHost = "removable.example"
)

// client sends messages over one connection, whatever happens to its carrier, until the connection fails or the carrier
// closes it. Then it connects to a random carrier.
type client struct {
	cluster    *cluster
	checker    *checker
	random     *rand.Rand
	name       string
	receiver   string // callback URL
	connection net.Conn
	reader     *bufio.Reader
	sent       int
}

func (c *client) run(stop <-chan struct{}) {
	defer c.disconnect()
	for {
		pause := meanSendInterval/2 + time.Duration(c.random.Int64N(int64(meanSendInterval)))
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
	edge := c.cluster.edges[c.random.IntN(len(c.cluster.edges))]
	connection, err := net.DialTimeout("tcp", edge.cluster.layout.Front(&edge.Machine), 300*time.Millisecond)
	if err != nil {
		return false
	}
	c.connection, c.reader = connection, bufio.NewReader(connection)
	return true
}

func (c *client) disconnect() {
	if c.connection != nil {
		c.connection.Close()
		c.connection = nil
	}
}

// send sends one message and reads the response. A connection that fails before the response is a violation, unless the
// carrier may have closed it without reading the request or a fault excuses it.
func (c *client) send() {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	host, key := c.chooseRoute()
	body := bodyOf(id)
	var text strings.Builder
	fmt.Fprintf(&text, "POST /in/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\nContent-Length: %d\r\n", host, wire.HeaderRequestID, id,
		wire.HeaderDeadline, len(body))
	if key != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", wire.HeaderOrderingKey, key)
	}
	wantsCallback := host == callbackHost
	if wantsCallback {
		fmt.Fprintf(&text, "%s: %s\r\n", wire.HeaderCallback, c.receiver)
	}
	text.WriteString("\r\n" + body)
	strictBefore := c.checker.isStrict()
	c.checker.sent(id, key, host == orderedHost, wantsCallback)
	_ = c.connection.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := c.connection.Write([]byte(text.String())); err != nil {
		c.disconnect()
		return
	}
	written := time.Now()
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		if strictBefore && c.checker.isStrict() && (!maybeClosedUnread(err) || time.Since(written) > unreadWindow) {
			c.checker.violation("LOST", fmt.Sprintf("%s was sent completely and its connection failed without a response %s later: %v", id,
				time.Since(written), err))
		}
		c.disconnect()
		return
	}
	if got := response.Header.Get(wire.HeaderRequestID); got != "" && got != id {
		c.checker.violation("MIXED", fmt.Sprintf("%s got the response to %s", id, got))
	}
	c.checker.answered(id, response.StatusCode)
	if response.Close {
		c.disconnect()
	}
}

// maybeClosedUnread reports whether an error may mean that the carrier closed the connection before it read the request.
func maybeClosedUnread(err error) bool {
	text := err.Error()
	return strings.Contains(text, "EOF") || strings.Contains(text, "reset")
}

// chooseRoute draws a route by its host, and an ordering key. Every other message of a route without order has a key, too,
// one of those that the ordered route's messages have.
func (c *client) chooseRoute() (host, key string) {
	if c.sent%2 == 0 {
		key = fmt.Sprintf("key-%d", c.sent%orderingKeys)
	}
	switch c.random.IntN(4) {
	case 0, 1:
		return orderedHost, fmt.Sprintf("key-%d", c.random.IntN(orderingKeys))
	case 2:
		return callbackHost, key
	}
	if c.random.IntN(3) > 0 {
		return []string{freeHost, removableHost}[c.sent%2], fmt.Sprintf("key-%d", c.sent%orderingKeys)
	}
	return pacedHost, key
}

// clients runs all clients, each on its own goroutine.
type clients struct {
	stopped chan struct{}
	running sync.WaitGroup
}

func startClients(cluster *cluster, checker *checker, receiver string, count int, seed uint64) *clients {
	cs := &clients{stopped: make(chan struct{})}
	for i := range count {
		c := &client{cluster: cluster, checker: checker, random: rand.New(rand.NewPCG(seed, uint64(i))), name: fmt.Sprintf("c%d", i), receiver: receiver}
		cs.running.Go(func() { c.run(cs.stopped) })
	}
	return cs
}

func (cs *clients) stop() {
	close(cs.stopped)
	cs.running.Wait()
}

// messageState is a carrier's JSON response to a query for a message.
type messageState struct {
	Phase string `json:"phase"`
	Stamp string `json:"stamp"`
}

// queryState queries a carrier, chosen by attempt, for a message's state. It returns false if the carrier does not know it.
func (c *cluster) queryState(id string, attempt int) (messageState, bool) {
	var state messageState
	edge := c.edges[attempt%len(c.edges)]
	httpClient := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := httpClient.Get(fmt.Sprintf("http://%s/-/message/%s", edge.cluster.layout.Front(&edge.Machine), url.PathEscape(id)))
	if err != nil {
		return state, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, false
	}
	return state, json.NewDecoder(response.Body).Decode(&state) == nil
}
