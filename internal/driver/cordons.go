package driver

import (
	"bytes"
	"os"
	"slices"
	"strings"
	"time"
)

// cordonLook is how often the file of cordons is looked at: another process of this dispatcher, the next version
// while it takes over, may have changed it.
const cordonLook = 250 * time.Millisecond

// cordonFile names the file in $TMPDIR that keeps the hosts barred by hand, so that the bans hold over an upgrade.
func (d *Driver) cordonFile() string { return d.fileOf("cordons") }

// keepCordons hands the cordons to the keeper, which writes them; the owner does no I/O for it. Only the latest
// matters, so one that waits is replaced.
func (d *Driver) keepCordons() {
	names := d.core.Cordons()
	slices.Sort(names)
	d.cordonsOut.Put(names)
}

// keepCordonFile runs beside the owner until the end: it writes what keepCordons hands it, whole or not at all, and
// looks at the file every cordonLook; what another process wrote there is posted to the owner.
func (d *Driver) keepCordonFile(seen time.Time) {
	path := d.cordonFile()
	look := time.NewTicker(cordonLook)
	defer look.Stop()
	for {
		select {
		case names := <-d.cordonsOut.C():
			tmp := path + ".new"
			err := os.WriteFile(tmp, []byte(strings.Join(names, "\n")+"\n"), 0o600)
			if err == nil {
				err = os.Rename(tmp, path)
			}
			if err != nil {
				d.log.Error("cordons not kept for the next version", "cause", err, "file", path)
				continue
			}
			if fi, err := os.Stat(path); err == nil {
				seen = fi.ModTime()
			}
		case <-look.C:
			fi, err := os.Stat(path)
			if err != nil || fi.ModTime().Equal(seen) {
				continue
			}
			seen = fi.ModTime()
			if want, err := readCordons(path); err == nil {
				d.post(func() { d.takeCordons(want) })
			}
		case <-d.done:
			return
		}
	}
}

// takeCordons makes the cordons those of the file.
func (d *Driver) takeCordons(want map[string]bool) {
	now := d.now()
	for _, name := range d.core.Cordons() {
		if !want[name] {
			_, cmds := d.core.Cordon(now, name, false)
			d.do(cmds)
		}
	}
	for name := range want {
		d.do(d.core.Restore(now, name))
	}
	d.census()
}

// readCordons reads the file of cordons: an id a line.
func readCordons(path string) (map[string]bool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	want := map[string]bool{}
	for _, line := range bytes.Split(text, []byte{'\n'}) {
		if name := string(bytes.TrimSpace(line)); name != "" {
			want[name] = true
		}
	}
	return want, nil
}

// startCordons takes the cordons that an earlier process left before anything is sent, then starts the keeper.
func (d *Driver) startCordons() {
	var seen time.Time
	if fi, err := os.Stat(d.cordonFile()); err == nil {
		seen = fi.ModTime()
		if want, err := readCordons(d.cordonFile()); err == nil {
			d.takeCordons(want)
		}
	}
	go d.keepCordonFile(seen)
}
