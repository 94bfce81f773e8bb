package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"granitewing/internal/system/loopback"
	"granitewing/internal/system/wire"
)

// Services of the soak test. The workers of services one and two accept every kind of message, so that routes may use
// either; the endpoint is a rate-limited service with a static address.
const (
	serviceOne         = "one"
	serviceTwo         = "two"
	serviceRateLimited = "endpoint"
	endpointRate       = 30 // messages per second
	workersPerService  = 4
	slots              = 8 // capacity of a worker
	queueFactor        = 3 // a worker accepts this multiple of its slots
)

// Behaviour of the workers. Names with Percent are shares of the responses.
const (
	failPercent       = 1
	duplicatePercent  = 15 // responses that are sent again later
	maxDuplicateDelay = 120 * time.Millisecond
	minWork           = 3 * time.Millisecond
	workSpread        = 50 * time.Millisecond
)

// worker is a stand-in for one worker of a service.
type worker struct {
	id       string
	service  string
	zone     string
	listener net.Listener
	checker  *checker

	mutex    sync.Mutex
	inFlight int
}

func startWorker(id, service, zone string, checker *checker) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, listener: listener, checker: checker}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(connection)
		}
	}()
	return w, nil
}

// workerConnection is a connection from a carrier. The mutex serializes responses with duplicates that are sent later,
// which may arrive between two responses.
type workerConnection struct {
	net.Conn
	mutex sync.Mutex
}

func (c *workerConnection) answer(text string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, err := c.Write([]byte(text))
	return err
}

// serve handles the requests of one connection, and repeats some of the responses.
func (w *worker) serve(raw net.Conn) {
	connection := &workerConnection{Conn: raw}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		text := w.handle(request, string(body))
		if connection.answer(text) != nil {
			return
		}
		if rand.IntN(100) < duplicatePercent {
			time.AfterFunc(time.Duration(rand.Int64N(int64(maxDuplicateDelay))), func() { _ = connection.answer(text) })
		}
		if request.Close {
			return
		}
	}
}

// handle runs a message or rejects it, and returns the response.
func (w *worker) handle(request *http.Request, body string) string {
	id := request.Header.Get(wire.HeaderRequestID)
	if expected := request.Header.Get(wire.HeaderInstance); expected != "" && expected != w.id {
		return answer(421, id, "")
	}
	if !w.enter() {
		return answer(503, id, wire.HeaderNotExecuted+": full\r\n")
	}
	defer w.leave()
	w.checker.runStarted(id, request.Header.Get(wire.HeaderOrderingKey), w.service, body)
	time.Sleep(minWork + time.Duration(rand.Int64N(int64(workSpread))))
	if rand.IntN(100) < failPercent {
		w.checker.failed(id)
		return answer(500, id, "")
	}
	stamp := w.checker.succeeded(id)
	return answer(200, id, wire.HeaderSignature+": "+stamp+"\r\n")
}

// enter reserves a place for a message. It returns false if the worker is full.
func (w *worker) enter() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.inFlight >= slots*queueFactor {
		return false
	}
	w.inFlight++
	return true
}

func (w *worker) leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inFlight--
}

// answer formats an HTTP response; headers holds complete lines.
func answer(status int, id, headers string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: 2\r\n\r\nok", status, http.StatusText(status), wire.HeaderRequestID, id, headers)
}

// workers holds all workers and the server of the platform's list of workers.
type workers struct {
	pool     []*worker
	endpoint *worker
	platform *http.Server
	address  string
}

func startWorkers(perService int, checker *checker) (*workers, error) {
	ws := &workers{}
	for _, service := range []string{serviceOne, serviceTwo} {
		for i := range perService {
			w, err := startWorker(fmt.Sprintf("%s-%d", service, i), service, fmt.Sprintf("zone-%c", 'a'+i%3), checker)
			if err != nil {
				return nil, err
			}
			ws.pool = append(ws.pool, w)
		}
	}
	var err error
	if ws.endpoint, err = startWorker("", serviceRateLimited, "zone-a", checker); err != nil {
		return nil, err
	}
	return ws, ws.startPlatform()
}

// startPlatform starts the server of the list of workers. The endpoint is not listed.
func (ws *workers) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ws.address = listener.Addr().String()
	var listed []loopback.Worker
	for _, w := range ws.pool {
		listed = append(listed, loopback.Worker{ID: w.id, Backend: w.service, Address: w.listener.Addr().String(), Zone: w.zone, Version: "1",
			Capacity: slots, Phase: "ready"})
	}
	body, err := loopback.EncodeWorkerList(listed)
	if err != nil {
		return err
	}
	ws.platform = &http.Server{Handler: http.HandlerFunc(func(answer http.ResponseWriter, _ *http.Request) {
		answer.Header().Set(wire.HeaderContentType, "application/json")
		_, _ = answer.Write(body) // the client retries
	})}
	go func() { _ = ws.platform.Serve(listener) }()
	return nil
}

func (ws *workers) stop() {
	ws.platform.Close()
	for _, w := range append(ws.pool, ws.endpoint) {
		w.listener.Close()
	}
}
