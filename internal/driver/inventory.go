package driver

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"granitewing/internal/inventory"
	"granitewing/internal/memory"
	"granitewing/internal/wire/platform"
	"granitewing/logic"
)

// watches carries out what the inventory's keeper decides: connections to discovery, and one timer.
type watches struct {
	keeper *inventory.Keeper
	calls  map[inventory.Call]*watch
	timer  *time.Timer
}

// watch is a connection to discovery, or the making of one.
type watch struct {
	*conn
	cancel context.CancelFunc // of the making
}

func newWatches(cfg *platform.Config, now int64) watches {
	rng := rand.New(rand.NewPCG(cfg.Seed, 7))
	limits := inventory.Limits{Pushed: cfg.Settings.Pushed, AskWithin: cfg.Settings.AskWithin, Grace: cfg.Settings.DrainGrace}
	return watches{keeper: inventory.New(now, limits, cfg.Known.Revision, rng.Float64), calls: map[inventory.Call]*watch{}}
}

// Reload takes the address that discovery has from now on. It may be called from any goroutine.
func (d *Driver) Reload(discovery string) {
	d.post(func() {
		if discovery != d.cfg.Discovery {
			d.cfg.Discovery = discovery
			d.watches.keeper.Moved(d.now())
			d.keep()
		}
	})
}

// openWatch has discovery asked; the decisions say so at the start and when a wait after a failure is over.
func (d *Driver) openWatch() {
	// What follows may call the core, which commands must not do before all of them are carried out.
	d.later = append(d.later, func() {
		d.watches.keeper.Ask(d.now())
		d.keep()
	})
}

// keep carries out what the keeper has decided and waits for what it waits for.
func (d *Driver) keep() {
	w := &d.watches
	for _, c := range w.keeper.Ready() {
		switch c.Kind {
		case inventory.Dial:
			d.ask(c.Call, c.Index)
		case inventory.Close:
			w.end(c.Call)
		case inventory.Fail:
			d.do(d.core.Inventory(d.now(), logic.ListFailed, nil))
		case inventory.Doubt:
			d.log.Warn("inventory in doubt, nothing new is sent", "cause", c.Cause)
			d.do(d.core.Doubt(d.now(), true))
		case inventory.Trust:
			d.log.Info("inventory believed again")
			d.do(d.core.Doubt(d.now(), false))
		}
	}
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	if at := w.keeper.Next(); at != 0 {
		w.timer = d.after(time.Duration(at-d.now())*time.Microsecond, func() {
			w.keeper.Wake(d.now())
			d.keep()
		})
	}
}

// ask makes a connection to discovery and asks for what changed after a revision, or for all it has.
func (d *Driver) ask(id inventory.Call, index int64) {
	ctx, cancel := context.WithCancel(context.Background())
	d.watches.calls[id] = &watch{cancel: cancel}
	address := d.cfg.Discovery
	go func() {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		cancel()
		d.post(func() {
			w := d.watches.calls[id]
			switch {
			case w == nil:
				if err == nil {
					c.Close()
				}
			case err != nil:
				d.lost(id, err, inventory.Refused)
			default:
				d.watching(w, id, index, address, c)
			}
		})
	}()
}

func (d *Driver) watching(w *watch, id inventory.Call, index int64, address string, c net.Conn) {
	var stale error
	listed := index
	parser := platform.NewWatch(d.cfg.Names(), index == inventory.All, func(l platform.List) {
		if stale == nil && d.watches.keeper.Listed(d.now(), id, l.Revision, l.Complete) {
			listed = l.Revision
			d.list(l)
		} else if stale == nil {
			stale = fmt.Errorf("revision went back from %d to %d", listed, l.Revision)
		}
	})
	w.conn = d.newConn(c, 1, func(b []byte, _ int64, err error) bool {
		how, whole := inventory.Refused, false
		if err == nil {
			whole, err = parser.Feed(b)
			how = inventory.Spoilt
			if parser.Fresh() {
				d.watches.keeper.Heard(d.now(), id)
			}
		}
		if err == nil {
			err = stale
		}
		if errors.Is(err, platform.ErrTurnedAway) {
			how = inventory.Refused
		}
		if err != nil {
			d.lost(id, err, how)
			return false
		}
		if whole {
			w.send(platform.AppendWatch(nil, address, listed))
		}
		d.keep()
		return !w.gone
	}, func(err error) {
		if err != nil {
			d.lost(id, err, inventory.Refused)
		}
	})
	if index == inventory.All {
		w.send(platform.AppendWhole(nil, address))
		return
	}
	w.send(platform.AppendWatch(nil, address, index))
}

// list hands a list to the core.
func (d *Driver) list(l platform.List) {
	how := logic.ListDelta
	if l.Complete {
		how = logic.ListFull
		before, _ := d.core.Census()
		defer func() {
			if now, _ := d.core.Census(); now < before/2 {
				d.log.Warn("inventory names less than half of the hosts of before", "before", before, "now", now)
			}
		}()
	}
	d.takeHosts(how, l.Hosts)
	d.census()
}

// takeHosts hands servers to the core, with their starts in the dispatcher's own time.
func (d *Driver) takeHosts(how logic.ListKind, hosts []memory.Host) {
	now, wall := d.now(), d.clock.wall().UnixMicro()
	for i := range hosts {
		hosts[i].UpSince = d.starts.Own(hosts[i].Name, hosts[i].UpSince, wall, now)
		if hosts[i].Phase == logic.Gone {
			d.starts.Forget(hosts[i].Name)
		}
	}
	d.do(d.core.Inventory(now, how, hosts))
	if how != logic.ListDelta {
		listed := map[string]bool{}
		for _, h := range hosts {
			listed[h.Name] = true
		}
		d.starts.Keep(func(name string) bool { return listed[name] })
	}
}

// lost tells the keeper that a connection to discovery is over.
func (d *Driver) lost(id inventory.Call, err error, how inventory.How) {
	if d.watches.calls[id] == nil {
		return
	}
	d.log.Warn("inventory", "cause", err)
	d.watches.end(id)
	d.watches.keeper.Ended(d.now(), id, how)
	d.keep()
}

func (w *watches) end(id inventory.Call) {
	c := w.calls[id]
	if c == nil {
		return
	}
	delete(w.calls, id)
	c.cancel()
	if c.conn != nil {
		c.close()
	}
}

// leave lets go of all of them.
func (w *watches) leave() {
	if w.timer != nil {
		w.timer.Stop()
	}
	for id := range w.calls {
		w.end(id)
	}
}
