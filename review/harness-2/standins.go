//go:build review

package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// record is what record.txt holds: events in the order in which they were seen.
type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

func (r *record) event(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

// arrival is one request that a worker was sent.
type arrival struct {
	at                        time.Time
	method, path, query, key  string
	keySent                   bool
	body                      string // hash
	status                    int
	worker, service, instance string
}

// fleet is all workers together with what they were sent.
type fleet struct {
	record   *record
	workers  []*worker
	mutex    sync.Mutex
	arrivals map[string][]arrival // by message
	begun    map[string]int       // runs begun, by message
	done     map[string]string    // stamp of the latest successful run
	running  int
	lastDone time.Time
	gone     map[string]bool // services whose workers are not listed any more
}

func newFleet(r *record) *fleet {
	return &fleet{record: r, arrivals: map[string][]arrival{}, begun: map[string]int{}, done: map[string]string{}, gone: map[string]bool{}}
}

// worker is a sound worker of a service: it queues a few more messages than it runs at once, refuses what is over, keeps
// the deadline that it is handed, and answers 421 to what is meant for another.
type worker struct {
	fleet                 *fleet
	id, service, zone     string
	address               string
	slots                 int
	work                  time.Duration
	tokens                chan struct{}
	mutex                 sync.Mutex
	running, waiting, ran int
	server                *http.Server
}

func (f *fleet) add(service, id, zone string, slots int, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{fleet: f, id: id, service: service, zone: zone, slots: slots, work: work, address: listener.Addr().String(),
		tokens: make(chan struct{}, slots)}
	w.server = &http.Server{Handler: w, IdleTimeout: 15 * time.Second}
	go w.server.Serve(listener) //nolint:errcheck // until the end of the test
	f.workers = append(f.workers, w)
	return w, nil
}

func (f *fleet) close() {
	for _, w := range f.workers {
		w.server.Close()
	}
}

// crash ends all workers of a service for good: what they run is cut off, and their ports are closed.
func (f *fleet) crash(service string) {
	for _, w := range f.workers {
		if w.service == service {
			w.server.Close()
		}
	}
}

// unlist takes the workers of a service from the platform's list.
func (f *fleet) unlist(service string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.gone[service] = true
}

func (w *worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	hash := sha256.Sum256(body)
	seen := arrival{at: time.Now(), method: request.Method, path: request.URL.EscapedPath(), query: request.URL.RawQuery,
		key: request.Header.Get("X-Ordering-Key"), keySent: len(request.Header.Values("X-Ordering-Key")) > 0,
		body: hex.EncodeToString(hash[:8]), worker: w.id, service: w.service, instance: request.Header.Get("X-Expect-Instance")}
	seen.status = w.run(response, request, id)
	w.fleet.mutex.Lock()
	w.fleet.arrivals[id] = append(w.fleet.arrivals[id], seen)
	w.fleet.mutex.Unlock()
}

// run runs a message and answers it; it returns the status.
func (w *worker) run(response http.ResponseWriter, request *http.Request, id string) int {
	answer := func(status int, ran bool) int {
		w.mutex.Lock()
		load := fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.slots)
		w.mutex.Unlock()
		header := response.Header()
		header.Set("X-Request-Id", id)
		header.Set("X-Server-Load", load)
		header.Set("Keep-Alive", "timeout=15")
		if !ran {
			header.Set("X-Not-Executed", "1")
		}
		response.WriteHeader(status)
		return status
	}
	if id == "" {
		return answer(http.StatusBadRequest, false)
	}
	if meant := request.Header.Get("X-Expect-Instance"); meant != "" && meant != w.id {
		return answer(http.StatusMisdirectedRequest, false)
	}
	w.mutex.Lock()
	if w.running+w.waiting >= 5*w.slots {
		w.mutex.Unlock()
		return answer(http.StatusServiceUnavailable, false)
	}
	w.waiting++
	w.mutex.Unlock()
	deadline := 30 * time.Second
	if ms, err := strconv.ParseFloat(request.Header.Get("X-Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	expired := time.After(deadline)
	select {
	case w.tokens <- struct{}{}:
	case <-expired:
		w.mutex.Lock()
		w.waiting--
		w.mutex.Unlock()
		return answer(http.StatusServiceUnavailable, false)
	}
	w.mutex.Lock()
	w.waiting--
	w.running++
	w.ran++
	number := w.ran
	w.mutex.Unlock()
	w.fleet.runBegan(id)
	status := http.StatusOK
	select {
	case <-time.After(w.work):
	case <-expired:
		status = http.StatusGatewayTimeout
	}
	<-w.tokens
	w.mutex.Lock()
	w.running--
	w.mutex.Unlock()
	stamp := ""
	if status == http.StatusOK {
		stamp = fmt.Sprintf("%s.%d.%s", w.id, number, id)
		response.Header().Set("X-Response-Signature", stamp)
	}
	w.fleet.runEnded(id, stamp)
	return answer(status, true)
}

func (f *fleet) runBegan(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.begun[id]++
	f.running++
}

func (f *fleet) runEnded(id, stamp string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running--
	if stamp != "" {
		f.done[id] = stamp
		f.lastDone = time.Now()
	}
}

// platform serves the list of workers, one page.
type platform struct {
	listener net.Listener
	server   *http.Server
}

func startPlatform(f *fleet) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{listener: listener}
	p.server = &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		type instance struct {
			Backend  string  `json:"backend"`
			Address  string  `json:"address"`
			Zone     string  `json:"zone"`
			Version  string  `json:"resource-version"`
			Capacity int     `json:"capacity"`
			Phase    string  `json:"phase"`
			Cold     float64 `json:"cold-remaining-ms"`
			ID       string  `json:"id"`
		}
		list := []instance{}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		for _, w := range f.workers {
			if f.gone[w.service] {
				continue
			}
			list = append(list, instance{Backend: w.service, Address: w.address, Zone: w.zone, Version: "v1", Capacity: w.slots, Phase: "ready", ID: w.id})
		}
		response.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(response).Encode(map[string]any{"instances": list, "next-page-token": nil})
	})}
	go p.server.Serve(listener) //nolint:errcheck // until the end of the test
	return p, nil
}

// operator sends a configuration until it is acknowledged, each time to the next keeper, and follows a 307.
func (s *system) operate(document []byte, base int, within time.Duration) error {
	client := &http.Client{Timeout: 2 * time.Second}
	for until, turn := time.Now().Add(within), 0; time.Now().Before(until); turn++ {
		keepers := s.class("storage")
		address := "http://" + s.control(keepers[turn%len(keepers)]) + "/-/Config.Replace"
		request, err := http.NewRequest(http.MethodPost, address, bytes.NewReader(document))
		if err != nil {
			return err
		}
		request.Header.Set("X-Base-Version", strconv.Itoa(base))
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.record.event("configuration on base %d acknowledged", base)
				return nil
			}
			if response.StatusCode == http.StatusBadRequest {
				return fmt.Errorf("the configuration was refused: %d", response.StatusCode)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the configuration on base %d was not acknowledged", base)
}

// awaitReady waits until all edge machines call themselves ready.
func (s *system) awaitReady(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, m := range s.class("edge") {
			ready = ready && s.isReady(m)
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the edge machines are not ready")
}

var probe = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *system) isReady(m *machine) bool {
	response, err := probe.Get("http://" + s.readiness(m) + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send is one message of a client.
type send struct {
	id, host, target, key string
	body                  []byte
	delay                 time.Duration
}

var clients = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// post sends a message to an edge machine and returns the status, 0 without an answer.
func (s *system) post(ctx context.Context, m *machine, message send) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.front(m)+message.target, bytes.NewReader(message.body))
	if err != nil {
		return 0
	}
	request.Host = message.host
	request.Header.Set("X-Request-Id", message.id)
	if message.key != "" {
		request.Header.Set("X-Ordering-Key", message.key)
	}
	if message.delay > 0 {
		request.Header.Set("X-Delay-Ms", strconv.FormatInt(message.delay.Milliseconds(), 10))
	}
	response, err := clients.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

var askers = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// ask sends a GET for a message to an edge machine. Status 0: no answer within two seconds.
func (s *system) ask(m *machine, host, path string) (int, []byte) {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.front(m)+path, nil)
	if err != nil {
		return 0, nil
	}
	request.Host = host
	response, err := askers.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

// phase asks for the state of a message at any edge machine, again until one answers it or the time is over.
func (s *system) phase(host, id string, within time.Duration) string {
	edges := s.class("edge")
	last := ""
	for until, turn := time.Now().Add(within), 0; time.Now().Before(until); turn++ {
		status, body := s.ask(edges[turn%len(edges)], host, "/-/message/"+id)
		var state struct {
			Phase string `json:"phase"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &state) == nil {
			return state.Phase
		}
		last = fmt.Sprintf("status %d", status)
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// content returns the body of a message, which is told by its id.
func content(id string, size int) []byte {
	seed := sha256.Sum256([]byte(id))
	body := make([]byte, size)
	for i := range body {
		body[i] = 'a' + (seed[i%len(seed)]+byte(i>>8))%26
	}
	return body
}
