package driver

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"slices"
	"strings"
	"time"
)

// cordonLook is how often the file of cordons is looked at: another process of this dispatcher, the next version
// while it takes over, may have changed it. What could not be written or read is tried again as often.
const cordonLook = 250 * time.Millisecond

// cordonFile names the file in $TMPDIR that keeps the servers barred by hand, so that the bans hold over an upgrade.
func (d *Driver) cordonFile() string { return d.fileOf("cordons") }

// keepCordons hands the cordons to the keeper, which writes them; the owner does no I/O for it. Only the latest
// matters, so one that waits is replaced.
func (d *Driver) keepCordons() {
	names := d.core.Cordons()
	slices.Sort(names)
	d.cordonsOut.Put(names)
}

// cordonKeeper keeps the file of cordons beside the owner. It is for one goroutine.
type cordonKeeper struct {
	d       *Driver
	path    string
	seen    os.FileInfo // when it was last read or written; nil if it never was
	unsaved []byte      // what is still to be written; nil if all is
	failing bool        // the last write or read did, and was logged
}

// startCordons takes the cordons that an earlier process left before anything is sent, then starts the keeper.
func (d *Driver) startCordons() {
	k := &cordonKeeper{d: d, path: d.cordonFile()}
	if want, changed := k.read(); changed {
		d.takeCordons(want)
	}
	go k.run()
}

// run writes what keepCordons hands over, whole or not at all, and looks at the file every cordonLook; what another process
// wrote there is posted to the owner.
func (k *cordonKeeper) run() {
	look := time.NewTicker(cordonLook)
	defer look.Stop()
	for {
		select {
		case names := <-k.d.cordonsOut.C():
			k.unsaved = []byte(strings.Join(names, "\n") + "\n")
			k.save()
		case <-look.C:
			k.look()
		case <-k.d.done:
			return
		}
	}
}

// look does what is due: a start that is not announced yet, a write that failed, or a change by another process.
func (k *cordonKeeper) look() {
	k.d.announceAgain()
	if k.unsaved != nil {
		k.save()
		return
	}
	if want, changed := k.read(); changed {
		k.d.post(func() { k.d.takeCordons(want) })
	}
}

// save writes what is unsaved; what fails stays unsaved, since the operator was told that it holds.
func (k *cordonKeeper) save() {
	err := k.d.replaceFile(k.path, k.unsaved)
	if k.report(err, "cordons not kept for the next version yet"); err != nil {
		return
	}
	k.unsaved = nil
	if info, err := k.d.files.Stat(k.path); err == nil {
		k.seen = info
	}
}

// read gives the cordons of the file if it has changed since it was last seen.
func (k *cordonKeeper) read() (want map[string]bool, changed bool) {
	info, err := k.d.files.Stat(k.path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && sameFile(info, k.seen) {
		return nil, false
	}
	var text []byte
	if err == nil {
		text, err = k.d.files.ReadFile(k.path)
	}
	if k.report(err, "cordons not read yet"); err != nil {
		return nil, false
	}
	k.seen = info
	return readCordons(text), true
}

// report logs the first failure of several.
func (k *cordonKeeper) report(err error, what string) {
	if err != nil && !k.failing {
		k.d.log.Error(what, "cause", err, "file", k.path)
	}
	k.failing = err != nil
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

// readCordons reads a file of cordons: an id a line.
func readCordons(text []byte) map[string]bool {
	want := map[string]bool{}
	for _, line := range bytes.Split(text, []byte{'\n'}) {
		if name := string(bytes.TrimSpace(line)); name != "" {
			want[name] = true
		}
	}
	return want
}
