// Package demo runs the whole system as real processes on loopback addresses, with stand-ins for the workers and for the
// platform's list of workers. Run shows how messages are accepted, delivered and queried, and that one storage machine may
// stop.
package demo

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"granitewing/internal/system/loopback"
)

// worker is a stand-in for one worker of a service.
type worker struct {
	id       string
	listener net.Listener
	server   *http.Server
	mutex    sync.Mutex
	runs     map[string]int // by message
}

// processingTime is how long a worker takes to run a message.
const processingTime = 20 * time.Millisecond

// startWorker starts a worker on a free port. It returns StandInError if it cannot listen.
func startWorker(id string) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &StandInError{Name: id, Err: err}
	}
	w := &worker{id: id, listener: listener, runs: map[string]int{}}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go w.server.Serve(listener) //nolint:errcheck // ends with the demo
	return w, nil
}

// handle runs a message and signs its response. It rejects messages that are meant for another worker.
func (w *worker) handle(response http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	response.Header().Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	time.Sleep(processingTime)
	w.mutex.Lock()
	w.runs[id]++
	w.mutex.Unlock()
	response.Header().Set("X-Response-Signature", "done-by-"+w.id)
	response.WriteHeader(http.StatusOK)
}

// runCount returns how often the worker ran a message.
func (w *worker) runCount(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs[id]
}

// platform is a stand-in for the platform's list of workers.
type platform struct {
	listener net.Listener
	server   *http.Server
}

// startPlatform starts a server that responds to every request with the list of workers.
func startPlatform(service string, workers []*worker) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &StandInError{Name: "list of workers", Err: err}
	}
	var listed []loopback.Worker
	for i, w := range workers {
		listed = append(listed, loopback.Worker{ID: w.id, Backend: service, Address: w.listener.Addr().String(),
			Zone: zoneOf(i), Version: "1", Capacity: 4, Phase: "ready"})
	}
	body, err := loopback.EncodeWorkerList(listed)
	if err != nil {
		return nil, &StandInError{Name: "list of workers", Err: err}
	}
	p := &platform{listener: listener}
	p.server = &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		response.Header().Set("Content-Type", "application/json")
		response.Write(body) //nolint:errcheck // the client retries
	})}
	go p.server.Serve(listener) //nolint:errcheck // ends with the demo
	return p, nil
}

// StandInError reports that a stand-in cannot be started. Name is the worker's id or "list of workers".
type StandInError struct {
	Name string
	Err  error
}

func (e *StandInError) Error() string {
	return fmt.Sprintf("cannot start stand-in for %s: %v", e.Name, e.Err)
}

func (e *StandInError) Unwrap() error { return e.Err }

func zoneOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%storageMachines) }
