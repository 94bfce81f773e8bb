package carrier

import (
	"time"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/member"
)

// maxCatalogAge is the age of the keepers' list of workers from which a carrier reads the platform's itself.
const maxCatalogAge = 1600 * time.Millisecond

// checkCatalog reads the platform's list of workers directly while the keepers provide no fresh one.
func (c *Core) checkCatalog() {
	if c.catalogBusy || c.session.CatalogAge() < maxCatalogAge {
		return
	}
	if c.session.View().Table == nil {
		return
	}
	c.catalogBusy = true
	begun := c.env.Now()
	pause := time.Duration(c.env.Random(int64(maxCatalogAge / 4)))
	c.env.After(pause, func() {
		c.env.ReadCatalog(func(instances map[string]catalog.Instance, err error) {
			c.catalogBusy = false
			if err != nil {
				c.env.LogWarning("cannot read the platform's list of workers", err)
				return
			}
			c.session.SetInstances(begun, func(view *member.View) {
				view.Instances = catalog.Merge(view.Instances, instances)
				view.CatalogKnown = true
			})
		})
	})
}
