package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"granitewing/internal/system/configuration"
)

// Times of the operator's calls.
const (
	orderPause = 150 * time.Millisecond
	orderTries = 80
	orderWait  = 2 * time.Second
)

// operator changes the configuration, one change after the other; now and then two at once.
type operator struct {
	rig     *rig
	judge   *judge
	random  *rand.Rand
	static  string // address of the endpoint
	client  http.Client
	mutex   sync.Mutex
	version uint64
	acked   uint64
	changes int
}

func newOperator(r *rig, j *judge, seed uint64, static string) *operator {
	return &operator{rig: r, judge: j, random: rand.New(rand.NewPCG(seed, 1<<32)), static: static,
		client: http.Client{Timeout: orderWait, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// document is a configuration; ordered and free name the services of these routes.
func (o *operator) document(version uint64, ordered, free, paced string, timeout int) []byte {
	route := func(host, service string, inOrder bool) string {
		called := host == calledHost
		return fmt.Sprintf(`{"name":"%s","host":"%s","path-prefix":"/in/","kind":"async","timeout-ms":%d,"target-latency-ms":200,"priority":1,`+
			`"backend":"%s","retries":%d,"ordered":%t,"retention-s":90,"callback-url":%t,"target-start-ms":1000}`,
			host, host, timeout, service, failuresMost, inOrder, called)
	}
	idle := ""
	for i := range version % 4 {
		idle += "," + route(fmt.Sprintf("idle-%d-%d.example", version, i), serviceOne, false)
	}
	return []byte(fmt.Sprintf(`{"resource-version":%d,"routes":[%s,%s,%s,%s%s],"services":[`+
		`{"name":"one","max-connections":200,"rate-per-s":0,"static":null},{"name":"two","max-connections":200,"rate-per-s":0,"static":null},`+
		`{"name":"endpoint","max-connections":60,"rate-per-s":%d,"static":"%s"}],"limits":{}}`,
		version, route(orderedHost, ordered, true), route(freeHost, free, false), route(calledHost, free, false), route(pacedHost, paced, false), idle, endpointRate, o.static))
}

func (o *operator) next() []byte {
	o.version += 1 + o.random.Uint64N(3)
	lists := []string{serviceOne, serviceTwo}
	paced := []string{serviceSlow, serviceSlow, serviceOne}[o.random.IntN(3)]
	return o.document(o.version, lists[o.random.IntN(2)], lists[o.random.IntN(2)], paced, 900+o.random.IntN(400))
}

// change sends a change on top of the newest version until it is answered clearly; it tells whether it was taken.
func (o *operator) change() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	raw, version := o.next(), o.version
	for turn := range orderTries {
		status := o.order(raw, o.acked, turn)
		switch status {
		case http.StatusOK:
			o.acked = version
			o.changes++
			return true
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			o.judge.breaks("CONFIG", fmt.Sprintf("version %d on top of %d is refused with %d", version, o.acked, status))
			return false
		}
		time.Sleep(orderPause)
	}
	return false
}

func (o *operator) order(raw []byte, base uint64, turn int) int {
	keeper := o.rig.storage[(turn+o.random.IntN(len(o.rig.storage)))%len(o.rig.storage)]
	request, err := http.NewRequest(http.MethodPost, "http://"+o.rig.layout.Control(&keeper.Machine)+"/-/Config.Replace", bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	request.Header.Set("X-Base-Version", fmt.Sprint(base))
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// read gives the version that some keeper tells as the newest; false where none does.
func (o *operator) read() (uint64, bool) {
	for turn := range orderTries {
		keeper := o.rig.storage[turn%len(o.rig.storage)]
		response, err := o.client.Get("http://" + o.rig.layout.Control(&keeper.Machine) + "/-/Config.Get")
		if err == nil {
			raw, failure := io.ReadAll(response.Body)
			response.Body.Close()
			if document, invalid := configuration.Parse(raw); failure == nil && invalid == nil && response.StatusCode == http.StatusOK {
				return document.Version, true
			}
		}
		time.Sleep(orderPause)
	}
	return 0, false
}
