package driver

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"granitewing/internal/dispatch"
	"granitewing/internal/inventory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// inventoryWatches carries out the commands of inventory.Tracker: connections to discovery and one timer.
type inventoryWatches struct {
	tracker *inventory.Tracker
	open    map[inventory.Call]*watch
	timer   *time.Timer
}

// watch is a connection to discovery that is open or being made.
type watch struct {
	*conn
	cancel context.CancelFunc // cancels the dial
}

func newWatches(cfg *platform.Config, now int64) inventoryWatches {
	rng := rand.New(rand.NewPCG(cfg.Seed, 7))
	limits := inventory.Limits{Pushed: cfg.Settings.Pushed, AskWithin: cfg.Settings.ListValidity, Grace: cfg.Settings.DrainGrace}
	return inventoryWatches{tracker: inventory.New(now, limits, cfg.Known.Revision, rng.Float64), open: map[inventory.Call]*watch{}}
}

// SetDiscovery changes the address of discovery. It is safe for use by any goroutine.
func (d *Driver) SetDiscovery(discovery string) {
	d.post(func() {
		if discovery != d.cfg.Discovery {
			d.cfg.Discovery = discovery
			d.watches.tracker.Moved(d.now())
			d.runInventoryActions()
		}
	})
}

// requestInventory asks discovery for the list of servers. The core orders it at the start and after the wait that
// follows a failure.
func (d *Driver) requestInventory() {
	// The follow-up may call the core, which must not happen before all current commands are executed.
	d.deferred = append(d.deferred, func() {
		d.watches.tracker.Ask(d.now())
		d.runInventoryActions()
	})
}

// runInventoryActions carries out the tracker's pending actions and sets the timer for its next one.
func (d *Driver) runInventoryActions() {
	w := &d.watches
	for _, c := range w.tracker.Ready() {
		switch c.Kind {
		case inventory.Dial:
			d.dialDiscovery(c.Call, c.Index)
		case inventory.Close:
			w.close(c.Call)
		case inventory.Fail:
			d.execute(d.core.Inventory(d.now(), logic.ListFailed, nil))
		case inventory.Stale:
			d.log.Warn("inventory stale, sending no new requests", "cause", c.Cause)
			d.execute(d.core.SetMembershipStale(d.now(), true))
		case inventory.Reliable:
			d.log.Info("inventory up to date again")
			d.execute(d.core.SetMembershipStale(d.now(), false))
		}
	}
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	if at := w.tracker.Next(); at != 0 {
		w.timer = d.postAfter(time.Duration(at-d.now())*time.Microsecond, func() {
			w.tracker.Wake(d.now())
			d.runInventoryActions()
		})
	}
}

// dialDiscovery connects to discovery and requests the changes after a revision, or the whole list.
func (d *Driver) dialDiscovery(id inventory.Call, index int64) {
	ctx, cancel := context.WithCancel(context.Background())
	d.watches.open[id] = &watch{cancel: cancel}
	address := d.cfg.Discovery
	go func() {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		cancel()
		d.post(func() {
			w := d.watches.open[id]
			switch {
			case w == nil:
				if err == nil {
					c.Close()
				}
			case err != nil:
				d.watchFailed(id, err, inventory.Refused)
			default:
				d.startWatch(w, id, index, address, c)
			}
		})
	}()
}

func (d *Driver) startWatch(w *watch, id inventory.Call, index int64, address string, c net.Conn) {
	var staleErr error
	listed := index
	parser := platform.NewWatch(d.cfg.Names(), index == inventory.All, func(l platform.List) {
		if staleErr == nil && d.watches.tracker.Listed(d.now(), id, l.Revision, l.Complete) {
			listed = l.Revision
			d.applyList(l)
		} else if staleErr == nil {
			staleErr = fmt.Errorf("revision went back from %d to %d", listed, l.Revision)
		}
	})
	w.conn = d.newConn(c, 1, func(b []byte, _ int64, err error) bool {
		how, whole := inventory.Refused, false
		if err == nil {
			whole, err = parser.Feed(b)
			how = inventory.Malformed
			if parser.Alive() {
				d.watches.tracker.Heard(d.now(), id)
			}
		}
		if err == nil {
			err = staleErr
		}
		if errors.Is(err, platform.ErrStatus) {
			how = inventory.Refused
		}
		if err != nil {
			d.watchFailed(id, err, how)
			return false
		}
		if whole {
			w.send(platform.AppendWatch(nil, address, listed))
		}
		d.runInventoryActions()
		return !w.isClosed
	}, func(err error) {
		if err != nil {
			d.watchFailed(id, err, inventory.Refused)
		}
	})
	if index == inventory.All {
		w.send(platform.AppendWhole(nil, address))
		return
	}
	w.send(platform.AppendWatch(nil, address, index))
}

// applyList passes a list to the core.
func (d *Driver) applyList(l platform.List) {
	how := logic.ListDelta
	if l.Complete {
		how = logic.ListFull
		before, _ := d.core.HostCounts()
		defer func() {
			if now, _ := d.core.HostCounts(); now < before/2 {
				d.log.Warn("inventory lists less than half as many hosts as before", "before", before, "now", now)
			}
		}()
	}
	d.applyHosts(how, l.Hosts)
	d.updateServing()
}

// applyHosts passes servers to the core, with their start times converted to the dispatcher's own clock.
func (d *Driver) applyHosts(how logic.ListKind, hosts []dispatch.Host) {
	now, wall := d.now(), d.clock.wall().UnixMicro()
	for i := range hosts {
		hosts[i].UpSince = d.starts.Own(hosts[i].Name, hosts[i].UpSince, wall, now)
		if hosts[i].Phase == logic.Gone {
			d.starts.Forget(hosts[i].Name)
		}
	}
	d.execute(d.core.Inventory(now, how, hosts))
	if how != logic.ListDelta {
		listed := map[string]bool{}
		for _, h := range hosts {
			listed[h.Name] = true
		}
		d.starts.Keep(func(name string) bool { return listed[name] })
	}
}

// watchFailed reports the end of a connection to discovery to the tracker.
func (d *Driver) watchFailed(id inventory.Call, err error, how inventory.EndReason) {
	if d.watches.open[id] == nil {
		return
	}
	d.log.Warn("connection to discovery failed", "cause", err)
	d.watches.close(id)
	d.watches.tracker.Ended(d.now(), id, how)
	d.runInventoryActions()
}

func (w *inventoryWatches) close(id inventory.Call) {
	c := w.open[id]
	if c == nil {
		return
	}
	delete(w.open, id)
	c.cancel()
	if c.conn != nil {
		c.close()
	}
}

// closeAll closes all connections to discovery and stops the timer.
func (w *inventoryWatches) closeAll() {
	if w.timer != nil {
		w.timer.Stop()
	}
	for id := range w.open {
		w.close(id)
	}
}
