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

// openWatch opens the watch on the inventory anew.
func (d *Driver) openWatch() {
	if d.watch != nil {
		d.watch.end()
	}
	w := &watch{}
	d.watch = w
	go func() {
		c, err := net.DialTimeout("tcp", d.cfg.Discovery, dialInventory)
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
	parser := platform.NewWatch(d.cfg.Names(), func(l platform.List) {
		how := logic.ListDelta
		if l.Complete {
			how = logic.ListFull
		}
		d.listed = l.Revision
		d.ready = true
		d.do(d.core.Inventory(d.now(), how, l.Hosts))
	})
	still := func() {
		if w.timer != nil {
			w.timer.Stop()
		}
		w.timer = d.after(inventoryWait, func() { d.lost(w, errors.New("discovery has gone silent")) })
	}
	w.conn = d.newConn(c, 1, func(b []byte, _ int64, err error) bool {
		if err == nil {
			err = parser.Feed(b)
		}
		if err != nil {
			d.lost(w, err)
			return false
		}
		still()
		return true
	}, func(err error) {
		if err != nil {
			d.lost(w, err)
		}
	})
	still()
	w.write(platform.AppendWatch(nil, d.cfg.Discovery, d.listed))
}

// lost tells the decisions that the watch is over; they say when to ask again.
func (d *Driver) lost(w *watch, err error) {
	if w.over {
		return
	}
	w.end()
	d.log("inventory: %v", err)
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
