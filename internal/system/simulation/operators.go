package simulation

import (
	"fmt"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/role/keeper"
)

// configure sends a change of the configuration, on top of the one that the operator knows.
func (d *day) configure(variant int) {
	base := d.version
	d.sending++
	version := d.sending
	o := &order{Order: configuration.Order{Base: base, Raw: document(version, variant, d.retention)}, version: version}
	o.done = func(taken bool) {
		if taken && version > d.version {
			d.version = version
		}
	}
	d.sendOrder(o, "")
}

// race sends two changes on top of the same version.
func (d *day) race() {
	base := d.version
	acknowledged := 0
	for variant := range 2 {
		d.sending++
		version := d.sending
		o := &order{Order: configuration.Order{Base: base, Raw: document(version, variant, d.retention)}, version: version, turn: variant}
		o.done = func(taken bool) {
			if !taken {
				return
			}
			d.version = max(d.version, version)
			if acknowledged++; acknowledged > 1 {
				d.checker.breakRule(d.world.now, "CONFIG", fmt.Sprintf("two changes on top of version %d were acknowledged", base))
			}
		}
		d.sendOrder(o, "")
	}
}

// sample watches that no carrier goes back to an older configuration.
func (d *day) sample() {
	for _, name := range sortedKeys(d.carriers) {
		host := d.carriers[name]
		if !host.alive {
			continue
		}
		version := host.core.ConfigurationVersion()
		if version < d.seen[host] {
			d.checker.breakRule(d.world.now, "CONFIG", fmt.Sprintf("%s went from version %d to %d", name, d.seen[host], version))
		}
		d.seen[host] = version
	}
	d.world.after(sampleInterval, d.sample)
}

// sessionLeader is the keeper that leads the sessions, nil where nobody does.
func (d *day) sessionLeader() *keeperHost {
	for _, name := range sortedKeys(d.keepers) {
		host := d.keepers[name]
		if _, self := host.core.Leader(keeper.SessionGroup); self && host.alive {
			return host
		}
	}
	return nil
}

// readAgain reads the configuration at one keeper after the other, as far as each answers.
func (d *day) readAgain(turn int) {
	w := d.world
	w.after(readingInterval, func() { d.readAgain(turn + 1) })
	host := d.someKeeper(turn)
	if host == nil {
		return
	}
	heard := d.history.begin(w.now, configurationCall{})
	w.after(clientWay, func() {
		host.run(func() {
			host.core.Read(host.Now(), func(raw []byte, err error) {
				if err != nil || host.machine.dark {
					return
				}
				content := ""
				if raw != nil {
					content = d.history.content(raw)
				}
				w.after(clientWay, func() { heard(w.now, configurationAnswer{verdict: read, content: content}) })
			})
			host.goOn()
		})
	})
}
