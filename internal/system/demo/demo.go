package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"time"

	"granitewing/internal/system/loopback"
)

// Options configure a run.
type Options struct {
	Binary string    // path of the built granitewing-system program
	Folder string    // for settings, data and logs; must be empty
	Output io.Writer // receives the description of each step
}

const (
	service        = "archive"
	host           = "archive.example"
	workers        = 3
	stepTimeout    = 15 * time.Second
	pollInterval   = 50 * time.Millisecond
	requestTimeout = 3 * time.Second
)

// configuration is the document that the demo submits: one ordered route to one service.
const configuration = `{"resource-version":1,"routes":[{"name":"readings","host":"` + host + `","path-prefix":"/in/",` +
	`"kind":"async","timeout-ms":1000,"target-latency-ms":120,"priority":1,"backend":"` + service + `","retries":4,` +
	`"ordered":true,"retention-s":60,"callback-url":false,"target-start-ms":1000}],` +
	`"services":[{"name":"` + service + `","max-connections":32,"rate-per-s":0,"static":null}],"limits":{}}`

// TimeoutError reports that a step did not succeed within its timeout. What describes the awaited condition.
type TimeoutError struct{ What string }

func (e *TimeoutError) Error() string { return "timed out waiting for " + e.What }

// demo is the state of a run.
type demo struct {
	options  Options
	layout   *loopback.Layout
	machines []*machine
	workers  []*worker
	platform *platform
	client   *http.Client
}

// Run starts the system, sends a message and reads its state back, does the same after stopping one machine, and stops the
// system. It takes at most one minute and returns TimeoutError if a step takes too long.
func Run(ctx context.Context, options Options) error {
	d := &demo{options: options, client: &http.Client{Timeout: requestTimeout}}
	defer d.stop()
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := d.startStandIns(); err != nil {
		return err
	}
	if err := d.startMachines(); err != nil {
		return err
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	return d.demonstrate(ctx)
}

func (d *demo) printf(format string, values ...any) {
	fmt.Fprintf(d.options.Output, format+"\n", values...)
}

func (d *demo) stop() {
	for _, m := range d.machines {
		m.stop()
	}
	for _, w := range d.workers {
		w.server.Close()
	}
	if d.platform != nil {
		d.platform.server.Close()
	}
}

func (d *demo) startStandIns() error {
	for i := range workers {
		w, err := startWorker(fmt.Sprintf("worker-%d", i+1))
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
	}
	platform, err := startPlatform(service, d.workers)
	d.platform = platform
	return err
}

func (d *demo) startMachines() error {
	for i := range storageMachines + edgeMachines {
		name, number := "storage", i+1
		if i >= storageMachines {
			name, number = "edge", i+1-storageMachines
		}
		d.machines = append(d.machines, &machine{Machine: loopback.Machine{Name: fmt.Sprintf("%s-%d", name, number),
			IP: fmt.Sprintf("127.0.0.%d", 11+i), Zone: zoneOf(i)}})
	}
	var addresses []string
	for _, m := range d.machines {
		addresses = append(addresses, m.IP)
	}
	ports, err := loopback.FreePorts(addresses)
	if err != nil {
		return err
	}
	d.layout = &loopback.Layout{Folder: d.options.Folder, FirstPort: ports, Cloud: d.platform.listener.Addr().String(),
		MemoryMB: memoryMB, DiskMB: diskMB, Files: maxFiles, GraceS: graceS}
	for _, m := range d.machines[:storageMachines] {
		d.layout.Seeds = append(d.layout.Seeds, d.layout.Control(&m.Machine))
	}
	for i, m := range d.machines {
		roles := []string{"keeper", "store"}
		if i >= storageMachines {
			roles = []string{"carrier"}
		}
		for _, role := range roles {
			if err := m.start(d.layout, d.options.Binary, role); err != nil {
				return err
			}
		}
	}
	d.printf("started %d machines with a keeper and a store each, %d with a carrier; logs in %s", storageMachines, edgeMachines, d.options.Folder)
	return nil
}

// waitUntil polls a condition until it holds. It returns TimeoutError after stepTimeout.
func waitUntil(ctx context.Context, awaited string, condition func() bool) error {
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); {
		if condition() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return &TimeoutError{What: awaited}
}

// doRequest sends a request and reads the response. Status 0 means that there was no complete response.
func (d *demo) doRequest(method, url string, body []byte, headers map[string]string) (status int, answer []byte) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.Host = headers["Host"]
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// configure submits the configuration to the keepers in turn, then waits until both carriers are ready.
func (d *demo) configure(ctx context.Context) error {
	headers := map[string]string{"X-Base-Version": "0", "Content-Type": "application/json"}
	attempts := 0
	err := waitUntil(ctx, "the configuration to be accepted", func() bool {
		url := fmt.Sprintf("http://%s/-/Config.Replace", d.layout.Seeds[attempts%len(d.layout.Seeds)])
		attempts++
		status, _ := d.doRequest(http.MethodPost, url, []byte(configuration), headers)
		return status == http.StatusOK
	})
	if err != nil {
		return err
	}
	d.printf("the configuration was accepted by a majority of the keepers")
	for i := range edgeMachines {
		url := fmt.Sprintf("http://%s/-/ready", d.layout.Ready(&d.carrier(i).Machine))
		err := waitUntil(ctx, "a carrier to become ready", func() bool {
			status, _ := d.doRequest(http.MethodGet, url, nil, nil)
			return status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	d.printf("both carriers are ready")
	return nil
}

func (d *demo) carrier(i int) *machine { return d.machines[storageMachines+i] }

func (d *demo) url(carrier int, path string) string {
	return fmt.Sprintf("http://%s%s", d.layout.Front(&d.carrier(carrier).Machine), path)
}

// demonstrate sends a message, stops one storage machine and sends another message.
func (d *demo) demonstrate(ctx context.Context) error {
	if err := d.sendAndTrack(ctx, "first", 0, 1); err != nil {
		return err
	}
	status, err := exec.CommandContext(ctx, d.options.Binary, "status", d.layout.Seeds[0]).Output()
	if err != nil {
		return err
	}
	d.printf("granitewing status %s:\n%s", d.layout.Seeds[0], status)
	d.machines[0].stop()
	d.printf("%s was stopped", d.machines[0].Name)
	return d.sendAndTrack(ctx, "second", 1, 0)
}

// messageState is a carrier's JSON response to a query for a message.
type messageState struct {
	Phase string `json:"phase"`
	Stamp string `json:"stamp"`
}

// sendAndTrack sends a message to one carrier and waits until the other one reports its success. Each attempt has its own
// id, because a message that was refused is never accepted under the same id again.
func (d *demo) sendAndTrack(ctx context.Context, name string, submitTo, queryAt int) error {
	headers := map[string]string{"Host": host, "X-Ordering-Key": "buoy-7"}
	attempts := 0
	err := waitUntil(ctx, "a message to be accepted", func() bool {
		attempts++
		headers["X-Request-Id"] = fmt.Sprintf("%s-%d", name, attempts)
		status, _ := d.doRequest(http.MethodPost, d.url(submitTo, "/in/readings"), []byte("swell 2.1 m"), headers)
		return status == http.StatusAccepted
	})
	if err != nil {
		return err
	}
	id := headers["X-Request-Id"]
	d.printf("message %s was accepted by %s with 202: it is stored on two disks", id, d.carrier(submitTo).Name)
	var state messageState
	err = waitUntil(ctx, "the message to be delivered", func() bool {
		status, answer := d.doRequest(http.MethodGet, d.url(queryAt, "/-/message/"+id), nil, map[string]string{"Host": host})
		return status == http.StatusOK && json.Unmarshal(answer, &state) == nil && state.Phase == "succeeded"
	})
	if err != nil {
		return err
	}
	runs := 0
	for _, w := range d.workers {
		runs += w.runCount(id)
	}
	d.printf("%s reports it as %s, stamp %s; workers ran it %d time(s)", d.carrier(queryAt).Name, state.Phase, state.Stamp, runs)
	return nil
}
