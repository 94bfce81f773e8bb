package carrier

import "time"

// countLogInterval is the minimum time between two log lines about the same count.
const countLogInterval = time.Second

// logCountSoon logs a line about a count after countLogInterval, unless one is pending already. text is called when the
// line is written, so that the line has the latest count.
func (c *Core) logCountSoon(pending *bool, text func() string) {
	if *pending {
		return
	}
	*pending = true
	c.env.After(countLogInterval, func() {
		*pending = false
		c.env.LogInfo(text())
	})
}
