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

// Services of the soak. Both lists of workers take every kind of message, so that routes may be given to either; the endpoint has a rate.
const (
	serviceOne   = "one"
	serviceTwo   = "two"
	serviceSlow  = "endpoint"
	endpointRate = 30
	workersEach  = 4
	slots        = 8
	queueOfSlots = 3
)

// Parts of the answers, in per cent.
const (
	failShare = 1
	lateShare = 15 // answers that come once more, later
	lateMost  = 120 * time.Millisecond
	workLeast = 3 * time.Millisecond
	workMore  = 50 * time.Millisecond
)

// worker is a stand-in for one worker.
type worker struct {
	id       string
	service  string
	zone     string
	listener net.Listener
	judge    *judge

	mutex sync.Mutex
	held  int
}

func startWorker(id, service, zone string, j *judge) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, listener: listener, judge: j}
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

// workerConnection is one connection of a carrier; what is written once more, later, may come between two answers.
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
		if rand.IntN(100) < lateShare {
			time.AfterFunc(time.Duration(rand.Int64N(int64(lateMost))), func() { _ = connection.answer(text) })
		}
		if request.Close {
			return
		}
	}
}

// handle runs a message, or turns it away, and gives the answer.
func (w *worker) handle(request *http.Request, body string) string {
	id := request.Header.Get(wire.HeaderRequestID)
	if meant := request.Header.Get(wire.HeaderInstance); meant != "" && meant != w.id {
		return answer(421, id, "")
	}
	if !w.enter() {
		return answer(503, id, wire.HeaderNotExecuted+": full\r\n")
	}
	defer w.leave()
	w.judge.began(id, request.Header.Get(wire.HeaderOrderingKey), w.service, body)
	time.Sleep(workLeast + time.Duration(rand.Int64N(int64(workMore))))
	if rand.IntN(100) < failShare {
		w.judge.failed(id)
		return answer(500, id, "")
	}
	stamp := w.judge.succeeded(id)
	return answer(200, id, wire.HeaderSignature+": "+stamp+"\r\n")
}

func (w *worker) enter() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.held >= slots*queueOfSlots {
		return false
	}
	w.held++
	return true
}

func (w *worker) leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.held--
}

func answer(status int, id, headers string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: 2\r\n\r\nok", status, http.StatusText(status), wire.HeaderRequestID, id, headers)
}

// workers are all workers, and the platform's list of them.
type workers struct {
	all      []*worker
	endpoint *worker
	platform *http.Server
	address  string
}

func startWorkers(each int, j *judge) (*workers, error) {
	ws := &workers{}
	for _, service := range []string{serviceOne, serviceTwo} {
		for i := range each {
			w, err := startWorker(fmt.Sprintf("%s-%d", service, i), service, fmt.Sprintf("zone-%c", 'a'+i%3), j)
			if err != nil {
				return nil, err
			}
			ws.all = append(ws.all, w)
		}
	}
	var err error
	if ws.endpoint, err = startWorker("", serviceSlow, "zone-a", j); err != nil {
		return nil, err
	}
	return ws, ws.startPlatform()
}

func (ws *workers) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ws.address = listener.Addr().String()
	var listed []loopback.Worker
	for _, w := range ws.all {
		listed = append(listed, loopback.Worker{ID: w.id, Backend: w.service, Address: w.listener.Addr().String(), Zone: w.zone, Version: "1",
			Capacity: slots, Phase: "ready"})
	}
	body, err := loopback.ListOfWorkers(listed)
	if err != nil {
		return err
	}
	ws.platform = &http.Server{Handler: http.HandlerFunc(func(answer http.ResponseWriter, _ *http.Request) {
		answer.Header().Set(wire.HeaderContentType, "application/json")
		_, _ = answer.Write(body) // the reader asks again
	})}
	go func() { _ = ws.platform.Serve(listener) }()
	return nil
}

func (ws *workers) stop() {
	ws.platform.Close()
	for _, w := range append(ws.all, ws.endpoint) {
		w.listener.Close()
	}
}
