package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// How the receiver of callbacks fails: it has outages during which it refuses every callback, and between them it refuses
// or delays a share of the callbacks.
const (
	minOutage        = 300 * time.Millisecond
	outageSpread     = 3500 * time.Millisecond
	maxUptime        = 3 * time.Second // between two outages
	refusedPercent   = 3               // share of the callbacks between outages that are refused
	slowPercent      = 5               // share of the callbacks with a delayed response
	maxResponseDelay = 400 * time.Millisecond
)

// receiver is a stand-in for the service that gets the callbacks about completed messages.
type receiver struct {
	listener    net.Listener
	server      *http.Server
	checker     *checker
	unavailable atomic.Bool
	stopped     chan struct{}
}

// callbackBody is the JSON body of a callback.
type callbackBody struct {
	ID    string `json:"id"`
	Phase string `json:"phase"`
	Stamp string `json:"stamp"`
}

func startReceiver(checker *checker, seed uint64) (*receiver, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &receiver{listener: listener, checker: checker, stopped: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	go func() { _ = r.server.Serve(listener) }()
	go r.simulateOutages(rand.New(rand.NewPCG(seed, 1<<36)))
	return r, nil
}

// url returns the callback URL of the messages.
func (r *receiver) url() string { return "http://" + r.listener.Addr().String() + "/done" }

// simulateOutages alternates between outages and normal operation until endOutages is called.
func (r *receiver) simulateOutages(random *rand.Rand) {
	for outage := false; ; outage = !outage {
		r.unavailable.Store(outage)
		length := time.Duration(random.Int64N(int64(maxUptime)))
		if outage {
			length = minOutage + time.Duration(random.Int64N(int64(outageSpread)))
		}
		select {
		case <-r.stopped:
			r.unavailable.Store(false)
			return
		case <-time.After(length):
		}
	}
}

// endOutages ends the outages for good.
func (r *receiver) endOutages() { close(r.stopped) }

func (r *receiver) handle(response http.ResponseWriter, request *http.Request) {
	var body callbackBody
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		r.checker.violation("MIXED", "cannot decode a callback: "+err.Error())
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	if rand.IntN(100) < slowPercent {
		time.Sleep(time.Duration(rand.Int64N(int64(maxResponseDelay))))
	}
	if r.unavailable.Load() || rand.IntN(100) < refusedPercent {
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.checker.callbackReceived(body)
}

func (r *receiver) stop() { r.server.Close() }
