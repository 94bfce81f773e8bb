package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkProcessBySize measures a process for several numbers of listed servers: resident memory with the list and
// after some requests, CPU time of an idle second and of a request. Run it with -benchtime 1x.
func BenchmarkProcessBySize(b *testing.B) {
	program := filepath.Join(b.TempDir(), "granitewing")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	for _, n := range []int{10, 100, 1000, 3200} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			for range b.N {
				measureProcess(b, program, n)
			}
		})
	}
}

const (
	idleSpan     = 5 * time.Second
	sizeRequests = 4000
)

func measureProcess(b *testing.B, program string, servers int) {
	server := startServer(b)
	discovery, err := net.Listen("tcp", "127.0.0.1:0") // accepts watches; its list never changes
	if err != nil {
		b.Fatal(err)
	}
	defer discovery.Close()
	var members []string
	for i := range servers {
		members = append(members, fmt.Sprintf(`{"id":"s-%06x","host_port":"%s","locality":"dakar","flavor":"m1","phase":"ready"}`, i+1, server))
	}
	go serveWatches(discovery)
	text := strings.NewReplacer("DISCOVERY", discovery.Addr().String(), "MEMBERS", strings.Join(members, ",")).Replace(config)
	path := filepath.Join(b.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "TMPDIR="+b.TempDir())
	log, err := cmd.StderrPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	listen := ""
	lines := bufio.NewScanner(log)
	for listen == "" && lines.Scan() {
		if _, addr, found := strings.Cut(lines.Text(), "msg=listening"); found {
			_, listen, _ = strings.Cut(addr, "addr=")
		}
	}
	go io.Copy(io.Discard, log)
	pid := cmd.Process.Pid
	before := processorTime(b, pid)
	time.Sleep(idleSpan) // the measured interval
	b.ReportMetric(float64((processorTime(b, pid)-before).Milliseconds())/idleSpan.Seconds(), "idle-ms/s")
	b.ReportMetric(resident(b, pid), "listed-MB")
	before = processorTime(b, pid)
	for i := range sizeRequests {
		req, _ := http.NewRequest("POST", "http://"+listen+"/readings", nil)
		req.Header = http.Header{"X-Txn": {fmt.Sprint("t", i)}, "X-Remaining": {"5"}}
		answer, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if answer.StatusCode != 200 {
			b.Fatalf("request %d: %s", i, answer.Status)
		}
	}
	b.ReportMetric(float64((processorTime(b, pid)-before).Microseconds())/sizeRequests, "us/request")
	b.ReportMetric(resident(b, pid), "served-MB")
}

// startServer starts a server that serves each request at once and returns its address.
func startServer(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"id":"%s","state":"done","result":"r"}`+"\n", r.Header.Get("X-Txn"))
		w.(http.Flusher).Flush()
	})}
	go srv.Serve(ln)
	b.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// serveWatches keeps watches open that have no changes to report.
func serveWatches(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := io.WriteString(c, "1\r\n\n\r\n"); err != nil {
					return
				}
				time.Sleep(2 * time.Second) // the protocol's keep-alive line
			}
		}()
	}
}

// processorTime returns the CPU time that a process has used, in ticks of 10 ms.
func processorTime(b *testing.B, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// resident returns the resident memory of a process in MB.
func resident(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb, _ := strconv.Atoi(strings.Fields(rest)[0])
	return float64(kb) / 1024
}
