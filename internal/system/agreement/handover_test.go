package agreement

import "testing"

// avoidNone is a filter for transfer targets that avoids no member.
func avoidNone(string) bool { return false }

// Leadership transfers must reach every voter. When two machines were drained at once, each of their keepers
// transferred leadership to the other ten times a second, forever: both chose the first voter with all committed
// entries, and a leader cannot remove itself from the group. Random schedule 200 of machines drained at about the
// same time showed this.
func TestLeadershipTransferReachesAllVoters(t *testing.T) {
	c := newCluster(11, 3)
	led := map[string]bool{}
	for range 40 {
		leader := c.heal()
		led[leader] = true
		c.members[leader].node.TransferLeadership(c.now, avoidNone)
		c.processReady(leader, false)
		for began := c.now; c.now < began+testElection/2; {
			c.step()
		}
	}
	if len(led) < len(c.names) {
		t.Errorf("after 40 leadership transfers, %d of %d members have been leader", len(led), len(c.names))
	}
}

// A leader transfers leadership to an avoided voter only if there is no other.
func TestLeadershipTransferAvoidsVoters(t *testing.T) {
	c := newCluster(12, 3)
	leader := c.heal()
	others := without(c.names, leader)
	avoided := func(id string) bool { return id == others[0] }
	for range 20 {
		if target := c.members[leader].node.transferTarget(avoided); target != others[1] {
			t.Fatalf("transfer target is %q, want %q", target, others[1])
		}
	}
	if target := c.members[leader].node.transferTarget(func(string) bool { return true }); target == "" {
		t.Error("no transfer target if all voters are avoided")
	}
}
