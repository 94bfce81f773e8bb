package command

import (
	"bytes"
	"testing"

	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
	"granitewing/internal/system/tolerance"
)

// Both a running keeper's status and the contents of its disk must show the draining machines and what they wait for.
func TestDrainsAreShown(t *testing.T) {
	state := session.NewState()
	state.Apply(session.Command{Kind: session.SetTolerance, Tolerance: &tolerance.Tolerance{Machines: 1}})
	for _, node := range []string{"a", "b", "c", "d"} {
		state.Apply(session.Command{Kind: session.Join, Member: session.Member{Incarnation: node, Node: node, Role: session.Store, Disk: "disk-" + node, BootstrapDisk: true}})
	}
	state.Apply(session.Command{Kind: session.Retire, Node: "b"})
	var onDisk bytes.Buffer
	if err := printRoster(&onDisk, state); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"disk-b", "being emptied", "emptying  b", "takes no messages", "waits for its disk to hand over"} {
		if !bytes.Contains(onDisk.Bytes(), []byte(want)) {
			t.Errorf("%q is missing in\n%s", want, &onDisk)
		}
	}
	var running bytes.Buffer
	status := &keeper.Status{Drains: []keeper.DrainStatus{{Node: "b", Age: "12s", WaitsFor: "another disk"}}}
	if err := printStatus(&running, status); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(running.Bytes(), []byte("emptying  b  for 12s or more  not begun  waits for another disk")) {
		t.Errorf("unexpected status output\n%s", &running)
	}
}
