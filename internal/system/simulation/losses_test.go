package simulation

import (
	"path/filepath"
	"testing"
)

// Guards against accepted messages that wait forever. A machine had lost its disk, and its new disk was backfilled
// and took the place of the lost one in the roster of disks while another storage machine was frozen. Messages that
// were on these two disks alone were on no disk that counted toward the write quorum and answered when their owner
// changed. The frozen machine brought them back later, but no owner noticed. The backfill may go on while one store
// does not respond. It did so without the frozen store although the lost disk did not respond either: the address of
// the lost disk is that of its machine, where the store of the new disk answered, and this answer was taken for the
// list of the lost disk. In the replica index of the backfill the lost disk was marked as done within 0.3 s after its
// loss was known. The scenario is a shortened form of drawn schedule 90111.
func TestDiskLostWhileAnotherIsFrozen(t *testing.T) {
	runSomeSeeds(t, filepath.Join("testdata", "losses", "disk-lost-while-another-is-away.txt"), fewSeeds)
}

// Guards against a control group that permanently has no leader after the tolerated loss of a zone. While a voter is
// replaced, a group has one voter more than it needs, because members change one at a time. A zone that is lost at
// that moment held two of the four voters.
func TestZoneLostDuringVoterPromotion(t *testing.T) {
	runSomeSeeds(t, filepath.Join("testdata", "losses", "zone-lost-as-a-voter-is-promoted.txt"), 0)
}
