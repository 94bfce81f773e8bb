package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// How the receiver of call-backs fails: for spans in which it takes nothing, and now and then beside them.
const (
	deafLeast     = 300 * time.Millisecond
	deafMore      = 3500 * time.Millisecond
	hearingMost   = 3 * time.Second // between two such spans
	refusedShare  = 3               // per cent of the call-backs beside the spans
	slowShare     = 5               // per cent that are answered late
	slowestAnswer = 400 * time.Millisecond
)

// receiver is a stand-in for who is told of messages' ends.
type receiver struct {
	listener net.Listener
	server   *http.Server
	judge    *judge
	deaf     atomic.Bool
	stopped  chan struct{}
}

// callbackForm is what a call-back says.
type callbackForm struct {
	ID    string `json:"id"`
	Phase string `json:"phase"`
	Stamp string `json:"stamp"`
}

func startReceiver(j *judge, seed uint64) (*receiver, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &receiver{listener: listener, judge: j, stopped: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.take)}
	go func() { _ = r.server.Serve(listener) }()
	go r.fail(rand.New(rand.NewPCG(seed, 1<<36)))
	return r, nil
}

// url is what messages name as their call-back URL.
func (r *receiver) url() string { return "http://" + r.listener.Addr().String() + "/done" }

// fail has the receiver be deaf for spans, until it is told to hear.
func (r *receiver) fail(random *rand.Rand) {
	for deaf := false; ; deaf = !deaf {
		r.deaf.Store(deaf)
		length := time.Duration(random.Int64N(int64(hearingMost)))
		if deaf {
			length = deafLeast + time.Duration(random.Int64N(int64(deafMore)))
		}
		select {
		case <-r.stopped:
			r.deaf.Store(false)
			return
		case <-time.After(length):
		}
	}
}

// hear has the receiver take everything from now on.
func (r *receiver) hear() { close(r.stopped) }

func (r *receiver) take(answer http.ResponseWriter, request *http.Request) {
	var form callbackForm
	if err := json.NewDecoder(request.Body).Decode(&form); err != nil {
		r.judge.breaks("MIXED", "a call-back can't be read: "+err.Error())
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	if rand.IntN(100) < slowShare {
		time.Sleep(time.Duration(rand.Int64N(int64(slowestAnswer))))
	}
	if r.deaf.Load() || rand.IntN(100) < refusedShare {
		answer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.judge.calledBack(form)
}

func (r *receiver) stop() { r.server.Close() }
