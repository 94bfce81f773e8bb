// Package demo runs the whole system on loopback, with stand-ins for the platform's list of workers and for the workers
// themselves, and shows a message accepted, delivered and read back.
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

const workTime = 20 * time.Millisecond

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

func (w *worker) handle(answer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	answer.Header().Set("X-Request-Id", id)
	if meant := request.Header.Get("X-Expect-Instance"); meant != "" && meant != w.id {
		answer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	time.Sleep(workTime)
	w.mutex.Lock()
	w.runs[id]++
	w.mutex.Unlock()
	answer.Header().Set("X-Response-Signature", "done-by-"+w.id)
	answer.WriteHeader(http.StatusOK)
}

func (w *worker) ran(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs[id]
}

// platform is a stand-in for the platform's list of workers.
type platform struct {
	listener net.Listener
	server   *http.Server
}

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
	body, err := loopback.ListOfWorkers(listed)
	if err != nil {
		return nil, &StandInError{Name: "list of workers", Err: err}
	}
	p := &platform{listener: listener}
	p.server = &http.Server{Handler: http.HandlerFunc(func(answer http.ResponseWriter, _ *http.Request) {
		answer.Header().Set("Content-Type", "application/json")
		answer.Write(body) //nolint:errcheck // the reader asks again
	})}
	go p.server.Serve(listener) //nolint:errcheck // ends with the demo
	return p, nil
}

// StandInError tells that a stand-in can't be started.
type StandInError struct {
	Name string
	Err  error
}

func (e *StandInError) Error() string { return fmt.Sprintf("stand-in %s: %v", e.Name, e.Err) }

func (e *StandInError) Unwrap() error { return e.Err }

func zoneOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%machinesWithDisk) }
