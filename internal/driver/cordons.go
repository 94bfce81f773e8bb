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

// cordonPollInterval is how often the cordon file is checked for changes by another process of this dispatcher: the
// next version during an upgrade. Failed writes and reads are retried at the same interval.
const cordonPollInterval = 250 * time.Millisecond

// cordonFile returns the path of the file in $TMPDIR that lists the cordoned servers, so that cordons survive an
// upgrade.
func (d *Driver) cordonFile() string { return d.stateFile("cordons") }

// saveCordons passes the current cordons to the cordonSyncer, which writes them, so that the owner does no file I/O.
// Only the latest set matters, so it replaces one that is still queued.
func (d *Driver) saveCordons() {
	names := d.core.Cordons()
	slices.Sort(names)
	d.cordonUpdates.Put(names)
}

// cordonSyncer keeps the cordon file and the core's cordons in step, outside the owner goroutine. One goroutine uses
// it.
type cordonSyncer struct {
	d        *Driver
	path     string
	lastInfo os.FileInfo // state of the file when it was last read or written; nil if never
	unsaved  []byte      // content still to be written; nil if none
	failing  bool        // the last write or read failed and was logged
}

// startCordons applies the cordons that an earlier process left, before any request is sent, then starts the
// cordonSyncer.
func (d *Driver) startCordons() {
	k := &cordonSyncer{d: d, path: d.cordonFile()}
	if want, changed := k.read(); changed {
		d.applyCordons(want)
	}
	go k.run()
}

// run writes the cordons from saveCordons atomically and polls the file every cordonPollInterval. Changes by another
// process are posted to the owner.
func (k *cordonSyncer) run() {
	ticker := time.NewTicker(cordonPollInterval)
	defer ticker.Stop()
	for {
		select {
		case names := <-k.d.cordonUpdates.C():
			k.unsaved = []byte(strings.Join(names, "\n") + "\n")
			k.save()
		case <-ticker.C:
			k.poll()
		case <-k.d.done:
			return
		}
	}
}

// poll retries the announcement of this process's start if that has failed so far, which is done here because it
// writes a file too. It then retries a failed write of the cordons or, if there is none, checks the file for changes by
// another process.
func (k *cordonSyncer) poll() {
	k.d.retryAnnounce()
	if k.unsaved != nil {
		k.save()
		return
	}
	if want, changed := k.read(); changed {
		k.d.post(func() { k.d.applyCordons(want) })
	}
}

// save writes the unsaved content. Content that could not be written stays unsaved and is retried, since the operator
// was told that the cordon is in effect.
func (k *cordonSyncer) save() {
	err := k.d.replaceFile(k.path, k.unsaved)
	if k.logFirstFailure(err, "writing the cordon file failed, will retry"); err != nil {
		return
	}
	k.unsaved = nil
	if info, err := k.d.files.Stat(k.path); err == nil {
		k.lastInfo = info
	}
}

// read returns the cordons in the file if it has changed since it was last read or written.
func (k *cordonSyncer) read() (want map[string]bool, changed bool) {
	info, err := k.d.files.Stat(k.path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && sameFileState(info, k.lastInfo) {
		return nil, false
	}
	var text []byte
	if err == nil {
		text, err = k.d.files.ReadFile(k.path)
	}
	if k.logFirstFailure(err, "reading the cordon file failed, will retry"); err != nil {
		return nil, false
	}
	k.lastInfo = info
	return readCordons(text), true
}

// logFirstFailure logs the first of several consecutive failures.
func (k *cordonSyncer) logFirstFailure(err error, what string) {
	if err != nil && !k.failing {
		k.d.log.Error(what, "cause", err, "file", k.path)
	}
	k.failing = err != nil
}

// applyCordons replaces the core's cordons by the given set.
func (d *Driver) applyCordons(want map[string]bool) {
	now := d.now()
	for _, name := range d.core.Cordons() {
		if !want[name] {
			_, cmds := d.core.Cordon(now, name, false)
			d.execute(cmds)
		}
	}
	for name := range want {
		d.execute(d.core.Restore(now, name))
	}
	d.updateServing()
}

// readCordons parses a cordon file: one server id per line.
func readCordons(text []byte) map[string]bool {
	want := map[string]bool{}
	for _, line := range bytes.Split(text, []byte{'\n'}) {
		if name := string(bytes.TrimSpace(line)); name != "" {
			want[name] = true
		}
	}
	return want
}
