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

// Timing of the operator's requests.
const (
	operatorRetryInterval = 150 * time.Millisecond
	maxOperatorAttempts   = 80
	operatorTimeout       = 2 * time.Second
)

// operator changes the configuration, one change at a time, and reads it back.
type operator struct {
	cluster         *cluster
	checker         *checker
	random          *rand.Rand
	endpointAddress string // address of the endpoint
	client          http.Client
	mutex           sync.Mutex
	version         uint64
	acknowledged    uint64
	changes         int
}

func newOperator(cluster *cluster, checker *checker, seed uint64, endpointAddress string) *operator {
	return &operator{cluster: cluster, checker: checker, random: rand.New(rand.NewPCG(seed, 1<<32)), endpointAddress: endpointAddress,
		client: http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// document returns a configuration. ordered, free and paced name the services of the routes of these names; the callback
// route uses that of free, those of removableHost use that of ordered. The version determines how many unused routes it
// also has, and whether removableHost has its ordered route.
func (o *operator) document(version uint64, ordered, free, paced string, timeout int) []byte {
	prefixRoute := func(host, prefix, service string, inOrder bool) string {
		wantsCallback := host == callbackHost
		return fmt.Sprintf(`{"name":"%s%s","host":"%s","path-prefix":"%s","kind":"async","timeout-ms":%d,"target-latency-ms":200,"priority":1,`+
			`"backend":"%s","retries":%d,"ordered":%t,"retention-s":90,"callback-url":%t,"target-start-ms":1000}`,
			host, prefix, host, prefix, timeout, service, maxFailures, inOrder, wantsCallback)
	}
	route := func(host, service string, inOrder bool) string { return prefixRoute(host, "/in/", service, inOrder) }
	idle := ""
	for i := range version % 4 {
		idle += "," + route(fmt.Sprintf("idle-%d-%d.example", version, i), serviceOne, false)
	}
	removable := "," + prefixRoute(removableHost, "/", ordered, false)
	if version%2 == 0 {
		removable += "," + route(removableHost, ordered, true)
	}
	return []byte(fmt.Sprintf(`{"resource-version":%d,"routes":[%s,%s,%s,%s%s%s],"services":[`+
		`{"name":"one","max-connections":200,"rate-per-s":0,"static":null},{"name":"two","max-connections":200,"rate-per-s":0,"static":null},`+
		`{"name":"endpoint","max-connections":60,"rate-per-s":%d,"static":"%s"}],"limits":{}}`,
		version, route(orderedHost, ordered, true), route(freeHost, free, false), route(callbackHost, free, false), route(pacedHost, paced, false), removable, idle, endpointRate, o.endpointAddress))
}

// next returns a random configuration with a version above the last one.
func (o *operator) next() []byte {
	o.version += 1 + o.random.Uint64N(3)
	services := []string{serviceOne, serviceTwo}
	paced := []string{serviceRateLimited, serviceRateLimited, serviceOne}[o.random.IntN(3)]
	return o.document(o.version, services[o.random.IntN(2)], services[o.random.IntN(2)], paced, 900+o.random.IntN(400))
}

// change submits a configuration based on the last acknowledged version and retries until the outcome is clear. It reports
// whether the change was accepted. A refusal is a violation.
func (o *operator) change() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	raw, version := o.next(), o.version
	for attempt := range maxOperatorAttempts {
		status := o.replace(raw, o.acknowledged, attempt)
		switch status {
		case http.StatusOK:
			o.acknowledged = version
			o.changes++
			return true
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			o.checker.violation("CONFIG", fmt.Sprintf("version %d based on %d is refused with status %d", version, o.acknowledged, status))
			return false
		}
		time.Sleep(operatorRetryInterval)
	}
	return false
}

// replace submits a configuration to one keeper and returns the HTTP status, 0 without a response.
func (o *operator) replace(raw []byte, base uint64, attempt int) int {
	keeper := o.cluster.storage[(attempt+o.random.IntN(len(o.cluster.storage)))%len(o.cluster.storage)]
	request, err := http.NewRequest(http.MethodPost, "http://"+o.cluster.layout.Control(&keeper.Machine)+"/-/Config.Replace", bytes.NewReader(raw))
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

// read returns the configuration version that a keeper reports as current. It returns false if none reports one.
func (o *operator) read() (uint64, bool) {
	for attempt := range maxOperatorAttempts {
		keeper := o.cluster.storage[attempt%len(o.cluster.storage)]
		response, err := o.client.Get("http://" + o.cluster.layout.Control(&keeper.Machine) + "/-/Config.Get")
		if err == nil {
			raw, readErr := io.ReadAll(response.Body)
			response.Body.Close()
			if document, parseErr := configuration.Parse(raw); readErr == nil && parseErr == nil && response.StatusCode == http.StatusOK {
				return document.Version, true
			}
		}
		time.Sleep(operatorRetryInterval)
	}
	return 0, false
}
