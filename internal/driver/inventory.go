package driver

import (
	"errors"
	"net"
	"time"

	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// watch is the connection to discovery.
type watch struct {
	*conn
	timer *time.Timer
	over  bool
}

// Reload takes the address that discovery has from now on. It may be called from any goroutine.
func (d *Driver) Reload(discovery string) { d.post(func() { d.reload(discovery) }) }

// reload leaves the old address at once and asks the new one for its whole list, since its revisions need not
// be the old one's. The list known so far holds until the answer.
func (d *Driver) reload(discovery string) {
	if discovery == d.cfg.Discovery {
		return
	}
	d.cfg.Discovery, d.listed = discovery, unlisted
	if d.watch != nil {
		d.watch.end()
	}
	d.openWatch()
}

// openWatch opens the watch on the inventory, unless one is open: a wait of the decisions' that was begun
// before a reload may end after it.
func (d *Driver) openWatch() {
	if d.watch != nil && !d.watch.over {
		return
	}
	w := &watch{}
	d.watch = w
	address := d.cfg.Discovery
	go func() {
		c, err := net.DialTimeout("tcp", address, dialInventory)
		d.post(func() {
			if err != nil || w.over {
				if err == nil {
					c.Close()
				}
				d.lost(w, err)
				return
			}
			d.watching(w, c)
		})
	}()
}

func (d *Driver) watching(w *watch, c net.Conn) {
	parser := platform.NewWatch(d.cfg.Names(), d.listed == unlisted, func(l platform.List) {
		how := logic.ListDelta
		if l.Complete {
			how = logic.ListFull
		}
		d.listed = l.Revision
		d.do(d.core.Inventory(d.now(), how, l.Hosts))
		d.census()
	})
	still := func() {
		if w.timer != nil {
			w.timer.Stop()
		}
		w.timer = d.after(inventoryWait, func() { d.lost(w, errors.New("discovery has gone silent")) })
	}
	w.conn = d.newConn(c, 1, func(b []byte, _ int64, err error) bool {
		listed := false
		if err == nil {
			listed, err = parser.Feed(b)
		}
		if err != nil {
			d.lost(w, err)
			return false
		}
		if listed {
			w.write(platform.AppendWatch(nil, d.cfg.Discovery, d.listed))
		}
		still()
		return true
	}, func(err error) {
		if err != nil {
			d.lost(w, err)
		}
	})
	still()
	if d.listed == unlisted {
		w.write(platform.AppendWhole(nil, d.cfg.Discovery))
		return
	}
	w.write(platform.AppendWatch(nil, d.cfg.Discovery, d.listed))
}

// lost tells the decisions that the watch is over; they say when to ask again.
func (d *Driver) lost(w *watch, err error) {
	if w.over {
		return
	}
	w.end()
	d.log.Warn("inventory", "cause", err)
	d.do(d.core.Inventory(d.now(), logic.ListFailed, nil))
}

func (w *watch) end() {
	w.over = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.conn != nil {
		w.close()
	}
}
