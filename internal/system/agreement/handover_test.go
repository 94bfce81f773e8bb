package agreement

import "testing"

// What was seen: two machines were being emptied, whose keepers led a group by turns and handed it to each other ten times a second, for good: each
// named as its successor the first of those that lacked nothing, and neither may take itself out. The drawn schedule 200 of machines that are emptied
// at about the same time has it.
func TestHandOverReachesAll(t *testing.T) {
	c := newCluster(11, 3)
	led := map[string]bool{}
	for range 40 {
		leader := c.settle()
		led[leader] = true
		c.members[leader].node.HandOver(c.now)
		c.carryOut(leader, false)
		for began := c.now; c.now < began+testElection/2; {
			c.step()
		}
	}
	if len(led) < len(c.names) {
		t.Errorf("after 40 hand-overs %d of %d members have led", len(led), len(c.names))
	}
}
