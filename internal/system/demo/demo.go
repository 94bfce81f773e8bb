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

// Options of a run.
type Options struct {
	Binary string // granitewing, built
	Folder string // for settings, data and logs; must be empty
	Output io.Writer
}

const (
	service    = "archive"
	host       = "archive.example"
	workers    = 3
	startsBy   = 15 * time.Second
	interval   = 50 * time.Millisecond
	callWithin = 3 * time.Second
)

const configuration = `{"resource-version":1,"routes":[{"name":"readings","host":"` + host + `","path-prefix":"/in/",` +
	`"kind":"async","timeout-ms":1000,"target-latency-ms":120,"priority":1,"backend":"` + service + `","retries":4,` +
	`"ordered":true,"retention-s":60,"callback-url":false,"target-start-ms":1000}],` +
	`"services":[{"name":"` + service + `","max-connections":32,"rate-per-s":0,"static":null}],"limits":{}}`

// LateError tells that something did not come about in time.
type LateError struct{ What string }

func (e *LateError) Error() string { return "not in time: " + e.What }

// demo is one run.
type demo struct {
	options  Options
	layout   *loopback.Layout
	machines []*machine
	workers  []*worker
	platform *platform
	client   *http.Client
}

// Run starts the system, sends it a message, shows what becomes of it, also when a machine ends meanwhile, and stops it.
func Run(ctx context.Context, options Options) error {
	d := &demo{options: options, client: &http.Client{Timeout: callWithin}}
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
	return d.show(ctx)
}

func (d *demo) tell(format string, values ...any) {
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
	for i := range machinesWithDisk + edgeMachines {
		name, number := "storage", i+1
		if i >= machinesWithDisk {
			name, number = "edge", i+1-machinesWithDisk
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
		MemoryMB: memoryMB, DiskMB: diskMB, Files: files, GraceS: graceS}
	for _, m := range d.machines[:machinesWithDisk] {
		d.layout.Seeds = append(d.layout.Seeds, d.layout.Control(&m.Machine))
	}
	for i, m := range d.machines {
		roles := []string{"keeper", "store"}
		if i >= machinesWithDisk {
			roles = []string{"carrier"}
		}
		for _, role := range roles {
			if err := m.start(d.layout, d.options.Binary, role); err != nil {
				return err
			}
		}
	}
	d.tell("started %d machines with a keeper and a store each, %d with a carrier; logs in %s", machinesWithDisk, edgeMachines, d.options.Folder)
	return nil
}

// until tries something again and again.
func until(ctx context.Context, what string, try func() bool) error {
	for end := time.Now().Add(startsBy); time.Now().Before(end); {
		if try() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
	return &LateError{What: what}
}

func (d *demo) call(method, url string, body []byte, headers map[string]string) (status int, answer []byte) {
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

func (d *demo) configure(ctx context.Context) error {
	headers := map[string]string{"X-Base-Version": "0", "Content-Type": "application/json"}
	tries := 0
	err := until(ctx, "a configuration that is taken", func() bool {
		url := fmt.Sprintf("http://%s/-/Config.Replace", d.layout.Seeds[tries%len(d.layout.Seeds)])
		tries++
		status, _ := d.call(http.MethodPost, url, []byte(configuration), headers)
		return status == http.StatusOK
	})
	if err != nil {
		return err
	}
	d.tell("a configuration was taken by a majority of the keepers")
	for i := range edgeMachines {
		url := fmt.Sprintf("http://%s/-/ready", d.layout.Ready(&d.carrier(i).Machine))
		err := until(ctx, "a carrier that is ready", func() bool {
			status, _ := d.call(http.MethodGet, url, nil, nil)
			return status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	d.tell("both carriers are ready")
	return nil
}

func (d *demo) carrier(i int) *machine { return d.machines[machinesWithDisk+i] }

func (d *demo) url(carrier int, path string) string {
	return fmt.Sprintf("http://%s%s", d.layout.Front(&d.carrier(carrier).Machine), path)
}

func (d *demo) show(ctx context.Context) error {
	if err := d.message(ctx, "first", 0, 1); err != nil {
		return err
	}
	status, err := exec.CommandContext(ctx, d.options.Binary, "status", d.layout.Seeds[0]).Output()
	if err != nil {
		return err
	}
	d.tell("granitewing status %s:\n%s", d.layout.Seeds[0], status)
	d.machines[0].stop()
	d.tell("%s was stopped", d.machines[0].Name)
	return d.message(ctx, "second", 1, 0)
}

type stateForm struct {
	Phase string `json:"phase"`
	Stamp string `json:"stamp"`
}

// message sends a message to one carrier, and asks the other what became of it. Each try has an id of its own: one that was
// refused is void, and never taken under its id again.
func (d *demo) message(ctx context.Context, name string, to, at int) error {
	headers := map[string]string{"Host": host, "X-Ordering-Key": "buoy-7"}
	tries := 0
	err := until(ctx, "a message that is accepted", func() bool {
		tries++
		headers["X-Request-Id"] = fmt.Sprintf("%s-%d", name, tries)
		status, _ := d.call(http.MethodPost, d.url(to, "/in/readings"), []byte("swell 2.1 m"), headers)
		return status == http.StatusAccepted
	})
	if err != nil {
		return err
	}
	id := headers["X-Request-Id"]
	d.tell("message %s was accepted by %s with 202: it lies on two disks", id, d.carrier(to).Name)
	var state stateForm
	err = until(ctx, "a message that is delivered", func() bool {
		status, answer := d.call(http.MethodGet, d.url(at, "/-/message/"+id), nil, map[string]string{"Host": host})
		return status == http.StatusOK && json.Unmarshal(answer, &state) == nil && state.Phase == "succeeded"
	})
	if err != nil {
		return err
	}
	runs := 0
	for _, w := range d.workers {
		runs += w.ran(id)
	}
	d.tell("%s tells of it: %s, stamp %s; workers ran it %d time(s)", d.carrier(at).Name, state.Phase, state.Stamp, runs)
	return nil
}
