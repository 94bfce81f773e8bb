package driver

import (
	"bytes"
	"os"
	"strings"
	"time"
)

// cordonLook is how often the file of cordons is looked at: another process of this dispatcher, the next version
// while it takes over, may have changed it.
const cordonLook = 250 * time.Millisecond

// cordonFile names the file in $TMPDIR that keeps the hosts barred by hand, so that the bans hold over an upgrade. Both
// processes of one dispatcher have its name.
func (d *Driver) cordonFile() string { return d.fileOf("cordons") }

// keepCordons writes the cordons anew, whole or not at all; a failure is logged, and the bans hold in this process.
func (d *Driver) keepCordons() {
	names := d.core.Cordons()
	path := d.cordonFile()
	tmp := path + ".new"
	err := os.WriteFile(tmp, []byte(strings.Join(names, "\n")+"\n"), 0o600)
	if err == nil {
		err = os.Rename(tmp, path)
	}
	if err != nil {
		d.log.Error("cordons not kept for the next version", "cause", err, "file", path)
		return
	}
	if fi, err := os.Stat(path); err == nil {
		d.cordonsSeen = fi.ModTime()
	}
}

// lookCordons takes the cordons of the file where another process changed it, and looks again later.
func (d *Driver) lookCordons() {
	d.after(cordonLook, d.lookCordons)
	fi, err := os.Stat(d.cordonFile())
	if err != nil || fi.ModTime().Equal(d.cordonsSeen) {
		return
	}
	d.cordonsSeen = fi.ModTime()
	text, err := os.ReadFile(d.cordonFile())
	if err != nil {
		return
	}
	want := map[string]bool{}
	for _, line := range bytes.Split(text, []byte{'\n'}) {
		if name := string(bytes.TrimSpace(line)); name != "" {
			want[name] = true
		}
	}
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
