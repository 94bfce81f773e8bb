package carrier

import (
	"fmt"
	"time"

	"granitewing/internal/system/configuration"
	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
)

func (c *Core) viewChanged(before, after *member.View) {
	now := c.env.Now()
	if !sameMap(before.Members, after.Members) || !sameMap(before.Disks, after.Disks) || !sameMap(before.Keepers, after.Keepers) {
		c.connect()
		c.stores.followRoster()
		c.policy.SetCarriers(after.Carriers())
	}
	if before.Table != after.Table {
		c.applyConfiguration(now, after.Table)
		c.env.LogInfo(fmt.Sprintf("configuration %d is in force", after.Table.Document.Version))
	}
	if before.Epoch != after.Epoch {
		c.env.LogInfo(fmt.Sprintf("%d disks count toward the write quorum, disk roster %d", len(after.QuorumDisks()), after.Epoch))
	}
	if !sameMap(before.Instances, after.Instances) {
		c.policy.SetInstances(now, after.Instances)
	}
	c.applyOwnership(before, after)
	for _, q := range ordered.Map(c.queues) {
		c.dispatch(q)
	}
}

func sameMap[V comparable](a, b map[string]V) bool {
	if len(a) != len(b) {
		return false
	}
	for key, value := range a {
		if other, ok := b[key]; !ok || other != value {
			return false
		}
	}
	return true
}

func (c *Core) applyConfiguration(now time.Duration, table *configuration.Table) {
	clear(c.ownerBusyUntil) // it may name services that no longer exist
	services := table.Document.Services
	c.policy.RemoveServicesExcept(func(service string) bool { return services[service] != nil })
	for name, service := range services {
		c.policy.SetService(now, name, service.MaxConnections, service.Static)
		c.queue(name).pace.SetRate(service.Rate)
	}
	c.policy.SetInstances(now, c.session.View().Instances) // a service may have lost its static endpoint
	for name, q := range c.queues {
		if services[name] == nil && q.empty() && now > q.pace.NextAllowed()+rateWindow {
			delete(c.queues, name)
		}
	}
}

// ConfigurationVersion returns the version of the configuration in force at this carrier, or 0 before the first.
func (c *Core) ConfigurationVersion() uint64 {
	if table := c.session.View().Table; table != nil {
		return table.Document.Version
	}
	return 0
}
