package driver

import (
	"bufio"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/logic"
)

// A caller beyond the limit is refused at once while the others keep their slots, and a caller that does not finish
// its line is disconnected. Neither depends on the owner.
func TestAdminEndpointBounds(t *testing.T) {
	d := testDriver(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go d.ServeAdmin(ln)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second))
		return c
	}
	silent := make([]net.Conn, maxAdminCallers)
	for i := range silent {
		silent[i] = dial()
		silent[i].Write([]byte("heal")) // half a line
	}
	one := dial()
	if line, err := bufio.NewReader(one).ReadString('\n'); err != nil || line != "NO too many callers at once\n" {
		t.Errorf("a caller beyond the limit: %q, %v", line, err)
	}
	// The silent callers are disconnected without an answer once their read timeout has passed.
	for i, c := range silent {
		if b, err := io.ReadAll(c); err != nil || len(b) != 0 {
			t.Fatalf("silent caller %d: %q, %v", i, b, err)
		}
	}
	// Then slots are free again, and health is answered without the owner, which does not run here.
	again := dial()
	again.Write([]byte("health\n"))
	if b, err := io.ReadAll(again); err != nil || string(b) != "NO not serving\n" {
		t.Errorf("health after the silent callers left: %q, %v", b, err)
	}
}

// A change of the cordon file by another process of the dispatcher is applied at the next poll.
func TestCordonsFromOtherProcess(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	d := testDriver(t)
	d.execute(d.core.Inventory(d.now(), logic.ListFull, []dispatch.Host{
		{Name: "s-0a", Addr: "a", Phase: logic.Ready}, {Name: "s-0b", Addr: "b", Phase: logic.Ready},
	}))
	if err := os.WriteFile(d.cordonFile(), []byte("s-0b\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	go (&cordonSyncer{d: d, path: d.cordonFile()}).run()
	select {
	case f := <-d.events:
		f()
	case <-time.After(30 * time.Second):
		t.Fatal("the cordonSyncer posted nothing")
	}
	if got := d.core.Cordons(); !slices.Equal(got, []string{"s-0b"}) {
		t.Errorf("cordons %v, want s-0b", got)
	}
	if d.metrics.disabled.Load() != 1 || !d.serving.Load() {
		t.Errorf("%d hosts avoided, serving %v", d.metrics.disabled.Load(), d.serving.Load())
	}
}
