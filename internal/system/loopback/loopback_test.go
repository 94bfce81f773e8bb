package loopback

import (
	"fmt"
	"net"
	"testing"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/settings"
)

func TestPortsAreFreeAtEveryAddress(t *testing.T) {
	const taken, other = "127.0.0.14", "127.0.0.11"
	from, err := FreePorts([]string{other, taken})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", taken, from))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if portsFree([]string{other, taken}, from, PortsPerMachine) {
		t.Error("the range is reported free although a port is taken at one address")
	}
	if !portsFree([]string{other}, from, PortsPerMachine) {
		t.Error("the range is reported taken although it is free at the other address")
	}
}

func TestSettingsAreRead(t *testing.T) {
	machine := &Machine{Name: "edge-1", IP: "127.0.0.9", Zone: "zone-a"}
	layout := &Layout{Folder: t.TempDir(), FirstPort: 21000, Cloud: "127.0.0.1:9", Seeds: []string{"127.0.0.8:21018"}, MemoryMB: 100, DiskMB: 50,
		Files: 500, GraceS: 4}
	path, err := layout.WriteSettings(machine, "carrier", false)
	if err != nil {
		t.Fatal(err)
	}
	read, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if read.NodeName != "edge-1" || read.Listen.Front != "127.0.0.9:21016" || read.Bootstrap || read.Bounds.Grace.Seconds() != 4 || read.Limits.MemoryMB != 100 {
		t.Errorf("read as %+v", read)
	}
}

func TestListOfWorkersIsRead(t *testing.T) {
	body, err := EncodeWorkerList([]Worker{{ID: "i-1", Backend: "s", Address: "127.0.0.1:80", Zone: "z", Version: "1", Capacity: 3, Phase: "ready"}})
	if err != nil {
		t.Fatal(err)
	}
	page, err := catalog.ParsePage(body)
	if err != nil || page.Next != "" || len(page.Instances) != 1 || page.Instances[0].Capacity != 3 || page.Instances[0].Service != "s" {
		t.Errorf("read as %+v, %v", page, err)
	}
}
