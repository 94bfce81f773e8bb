package agreement

import "testing"

// nobody avoids no member.
func avoidNone(string) bool { return false }

// What was seen: two machines were being emptied, whose keepers led a group by turns and handed it to each other ten times a second, for good: each
// named as its successor the first of those that lacked nothing, and neither may take itself out. The drawn schedule 200 of machines that are emptied
// at about the same time has it.
func TestHandOverReachesAll(t *testing.T) {
	c := newCluster(11, 3)
	led := map[string]bool{}
	for range 40 {
		leader := c.heal()
		led[leader] = true
		c.members[leader].node.HandOver(c.now, avoidNone)
		c.processReady(leader, false)
		for began := c.now; c.now < began+testElection/2; {
			c.step()
		}
	}
	if len(led) < len(c.names) {
		t.Errorf("after 40 hand-overs %d of %d members have led", len(led), len(c.names))
	}
}

// A leader names one that is to be avoided only where there is no other.
func TestHandOverAvoids(t *testing.T) {
	c := newCluster(12, 3)
	leader := c.heal()
	others := without(c.names, leader)
	avoided := func(id string) bool { return id == others[0] }
	for range 20 {
		if successor := c.members[leader].node.transferTarget(avoided); successor != others[1] {
			t.Fatalf("%q is named, want %q", successor, others[1])
		}
	}
	if successor := c.members[leader].node.transferTarget(func(string) bool { return true }); successor == "" {
		t.Error("nobody is named where all are to be avoided")
	}
}
