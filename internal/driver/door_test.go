package driver

import (
	"bufio"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"granitewing/internal/memory"
	"granitewing/logic"
)

// A caller past the bound is told no at once while the others hold their places, and a caller that finishes no line is
// let go; neither needs the owner.
func TestDoorBounds(t *testing.T) {
	d := testDriver(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go d.Door(ln)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second))
		return c
	}
	silent := make([]net.Conn, doorCallers)
	for i := range silent {
		silent[i] = dial()
		silent[i].Write([]byte("heal")) // half a line, and no more
	}
	one := dial()
	if line, err := bufio.NewReader(one).ReadString('\n'); err != nil || line != "NO too many callers at once\n" {
		t.Errorf("a caller past the bound: %q, %v", line, err)
	}
	// The silent ones are closed once their time for a line is over, without an answer.
	for i, c := range silent {
		if b, err := io.ReadAll(c); err != nil || len(b) != 0 {
			t.Fatalf("silent caller %d: %q, %v", i, b, err)
		}
	}
	// Then there is room again, and health is answered without the owner, which does not run here.
	again := dial()
	again.Write([]byte("health\n"))
	if b, err := io.ReadAll(again); err != nil || string(b) != "NO not serving\n" {
		t.Errorf("health after the silent ones left: %q, %v", b, err)
	}
}

// What another process of the dispatcher writes to the file of cordons is taken here at the keeper's next look.
func TestCordonsOfTheOtherProcess(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	d := testDriver(t)
	d.do(d.core.Inventory(d.now(), logic.ListFull, []memory.Host{
		{Name: "s-0a", Addr: "a", Phase: logic.Ready}, {Name: "s-0b", Addr: "b", Phase: logic.Ready},
	}))
	if err := os.WriteFile(d.cordonFile(), []byte("s-0b\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	go (&cordonKeeper{d: d, path: d.cordonFile()}).run()
	select {
	case f := <-d.events:
		f()
	case <-time.After(30 * time.Second):
		t.Fatal("the keeper posted nothing")
	}
	if got := d.core.Cordons(); !slices.Equal(got, []string{"s-0b"}) {
		t.Errorf("cordons %v, want s-0b", got)
	}
	if d.figures.disabled.Load() != 1 || !d.serving.Load() {
		t.Errorf("%d hosts avoided, serving %v", d.figures.disabled.Load(), d.serving.Load())
	}
}
