package platform

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"granitewing/internal/dispatch"
	"granitewing/internal/testing/exchange"
	"granitewing/logic"
)

var testLanes = map[string]Lane{"readings": {Class: 0}, "ingest": {Class: 1, Keyed: true}}

// runNorth reads messages until the bytes end or the connection becomes unusable.
func runNorth(pieces [][]byte) string {
	var out strings.Builder
	n := NewNorth(testLanes, map[string]int{"coast_guard": 0, "harbour": 1})
	for _, b := range pieces {
		for len(b) > 0 {
			used, m, fault := n.Feed(b)
			b = b[used:]
			if fault != nil {
				fmt.Fprintf(&out, "ends with %d %s\n", fault.Status, fault.Why)
				return out.String()
			}
			if n.Awaited() {
				out.WriteString("awaits 100 Continue\n")
			}
			if m != nil {
				out.WriteString(describe(m))
			}
		}
	}
	if n.Partial() {
		out.WriteString("incomplete\n")
	}
	return out.String()
}

func describe(m *Message) string {
	switch {
	case m.Fault != nil:
		return fmt.Sprintf("answer %d %s\n", m.Fault.Status, m.Fault.Why)
	case m.Health:
		return "health\n"
	}
	text := fmt.Sprintf("%s %s txn=%s lane=%s class=%d tenant=%d key=%q subject=%x hint=%d slots=%g memory=%g repeated=%t remaining=%v close=%t body=",
		m.Method, m.Target, m.Txn, m.Lane, m.Class, m.Tenant, m.Key, m.Subject, m.Hint, m.Slots, m.Memory, m.Repeated, m.Remaining, m.Close)
	if len(m.Body) > 40 {
		return text + fmt.Sprintf("%d bytes\n", len(m.Body))
	}
	return text + fmt.Sprintf("%q\n", m.Body)
}

func runRelay(pieces [][]byte) string {
	var out strings.Builder
	results := [...]string{"served", "failed", "refused", "timed out", "connect failed", "broken", "cancelled", "moot", "unusable"}
	r := NewRelay(func(n Note) {
		switch n.Kind {
		case NoteTaken:
			out.WriteString("taken\n")
		case NoteStarted:
			out.WriteString("started\n")
		case NoteProgress:
			fmt.Fprintf(&out, "progress %g\n", n.Share)
		case NoteEnded:
			fmt.Fprintf(&out, "ended %s %q\n", results[n.Result], n.Content)
		case NoteFree:
			fmt.Fprintf(&out, "free, keep %t\n", n.Keep)
		}
	})
	r.Begin("t1")
	for _, b := range pieces {
		if err := r.Feed(b); err != nil {
			fmt.Fprintf(&out, "error %v\n", err)
			break
		}
	}
	return out.String()
}

func runWatch(pieces [][]byte) string { return runInventory(pieces, false) }

func runFullList(pieces [][]byte) string { return runInventory(pieces, true) }

func runInventory(pieces [][]byte, whole bool) string {
	var out strings.Builder
	w := NewWatch(Names{Zones: []string{"dakar", "saint_louis"}, Kinds: []string{"m1", "m2"}}, whole, func(l List) {
		fmt.Fprintf(&out, "revision %d complete %t\n", l.Revision, l.Complete)
		for _, h := range l.Hosts {
			fmt.Fprintf(&out, "%s at %q zone %d kind %d cell %d size %g since %d phase %d\n",
				h.Name, h.Addr, h.Zone, h.Kind, h.Cell, h.Weight, h.UpSince, h.Phase)
		}
	})
	for _, b := range pieces {
		listed, err := w.Feed(b)
		if err != nil {
			fmt.Fprintf(&out, "error %v\n", err)
			break
		}
		if listed {
			out.WriteString("requests the watch\n")
		}
	}
	return out.String()
}

// Each recorded exchange is fed as a whole and byte by byte, with the same result. The one exception: whether
// bytes follow a response is unknown until they arrive.
func TestRecordedExchanges(t *testing.T) {
	for file, run := range map[string]func([][]byte) string{"north": runNorth, "relay": runRelay, "watch": runWatch, "whole": runFullList} {
		ar := exchange.Load(t, "testdata/"+file+".txtar")
		for i := 0; i+1 < len(ar.Files); i += 2 {
			in, want := exchange.Bytes(ar.Files[i].Data), string(ar.Files[i+1].Data)
			t.Run(file+"/"+ar.Files[i].Name, func(t *testing.T) {
				if diff := cmp.Diff(strings.Replace(want, " (stray)", "", 1), run([][]byte{in})); diff != "" {
					t.Errorf("whole (-want +got):\n%s", diff)
				}
				single := make([][]byte, len(in))
				for i := range in {
					single[i] = in[i : i+1]
				}
				want = strings.Replace(want, "free, keep false (stray)", "free, keep true\nerror "+errUnexpectedBytes.Error(), 1)
				if diff := cmp.Diff(want, run(single)); diff != "" {
					t.Errorf("byte by byte (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// The target, the body and the headers of a request reach the host byte for byte, with the remaining time added.
func TestRelayRequestIsForwardedUnchanged(t *testing.T) {
	m := &Message{Method: "POST", Target: "/ingest/a%20b?user=7&x=%2F", Txn: "t 1", Lane: "ingest", Key: "k,1", Body: []byte("\x00\r\n\xff")}
	got := string(AppendRelay(nil, "127.0.0.9:9000", m, 1_250_000_000, nil))
	want := "POST /ingest/a%20b?user=7&x=%2F HTTP/1.1\r\nHost: 127.0.0.9:9000\r\nX-Txn: t 1\r\nX-Lane: ingest\r\n" +
		"X-Remaining: 1.250000\r\nIdempotency-Key: k,1\r\nContent-Length: 4\r\n\r\n\x00\r\n\xff"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{string(AppendAnswer(nil, 200, []byte("x"), 0, false)), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
		{string(AppendAnswer(nil, 503, nil, 250_000_000, true)),
			"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
	} {
		if diff := cmp.Diff(c.want, c.got); diff != "" {
			t.Error(diff)
		}
	}
}

const goodConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"revision":4,"complete":true,"members":[
  {"id":"s-0a","host_port":"127.0.0.1:2","locality":"saint louis","flavor":"m2","cell":3,"phase":"ready","size":1.5,"up_since_ms":7}]},
 "settings":{"Discovery":"automatic","Zones":["dakar","saint louis"],"Skus":["m1","m2"],
  "Classes":[{"Name":"readings","Aim":1,"Semantics":"read_like"},{"Name":"ingest","Semantics":"idempotency_key","Group":"cell"}],
  "FamilyInfo":{"ClassStretch":[2.5,2.0],"Progress":2000000},"Tenants":[{"Name":"coast guard","QuotaPerS":8},{"Name":"harbour"}],"Limits":{"MaxAttempts":3,"ConnectTimeout":150000,"ConnIdle":30000000,"MaxOpen":9}}}`

// All fields of a good configuration are read.
func TestConfig(t *testing.T) {
	got, err := ReadConfig([]byte(goodConfig))
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{
		Name: "n1", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: 0x1f, Cores: 1, MemoryMB: 192, Sockets: 1024,
		Known: List{Revision: 4, Complete: true, Hosts: []dispatch.Host{{Name: "s-0a", Addr: "127.0.0.1:2", Zone: 1, Kind: 1,
			Cell: 3, Weight: 1.5, UpSince: 7000, Phase: logic.Ready}}},
		Settings: logic.Config{
			Schedulers: 1, Zones: 2, NeedsSubscription: true, UncountedConnects: true, OverQuotaValue: 1, Progress: 2_000_000, MaxAttempts: 3, ConnectTimeout: 150000, ConnIdle: 30000000,
			MaxOpen: 9, Pushed: true, ZoneNames: []string{"dakar", "saint_louis"}, KindNames: []string{"m1", "m2"},
			Tenants: []logic.Tenant{{Name: "coast_guard", Quota: 8}, {Name: "harbour"}},
			Classes: []logic.Class{
				{Name: "readings", TargetLatency: 1, TargetPerWork: 2.5, Value: 1, Repeat: logic.RepeatSafe, WorkerKind: -1},
				{Name: "ingest", TargetPerWork: 2, Value: 1, Repeat: logic.RepeatKeyed, WorkerKind: -1}},
		},
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	for _, c := range []struct{ old, new, wantErr string }{
		{`{"name"`, `{{"name"`, "not JSON"},
		{`"memory_mb":192`, `"memory_mb":0`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":"many"`, "limits.sockets"},
		{`"settings":{`, `"settings":7,"other":{`, "settings"},
		{`"Classes":[`, `"Klasses":[`, "Classes.count"},
		{`"Name":"ingest"`, `"Named":"ingest"`, "Classes.1.Name"},
		{`"Name":"harbour"`, `"Named":"harbour"`, "Tenants.1.Name"},
		{`"id":"s-0a"`, `"id":""`, "known"},
	} {
		if _, err := ReadConfig([]byte(strings.Replace(goodConfig, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.wantErr) {
			t.Errorf("with %s: error %v, want one with %s", c.new, err, c.wantErr)
		}
	}
}

func TestExampleConfigIsUsable(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := ReadConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Known.Hosts) != 1 || c.Known.Hosts[0].Zone != 0 || c.Known.Hosts[0].Kind != 0 || len(c.Lanes()) != 3 {
		t.Errorf("hosts %+v, lanes %v", c.Known.Hosts, c.Lanes())
	}
}

// No input may stop the state machines or make them buffer more than their limits.
func FuzzFeed(f *testing.F) {
	for _, file := range []string{"north", "relay", "watch", "whole"} {
		for _, s := range exchange.Load(f, "testdata/"+file+".txtar").Files {
			f.Add(exchange.Bytes(s.Data))
		}
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		runNorth([][]byte{in})
		runRelay([][]byte{in})
		runWatch([][]byte{in})
		runFullList([][]byte{in})
	})
}
