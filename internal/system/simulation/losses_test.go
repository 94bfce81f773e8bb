package simulation

import (
	"path/filepath"
	"testing"
)

// What was seen: accepted messages waited for ever. A machine had lost its disk, and its new one was filled and took the lost one's place in the roster
// while another machine with a disk was frozen. What lay on these two alone was on no disk that counted and answered when their owner changed; the
// frozen machine brought it back later, and no owner learned of it.
// Cause: a filling went on without the frozen store, as one may be silent, although the lost disk was silent too: its address is that of the machine, where
// the new disk's own store answered, and that answer was taken for the lost disk's list. Proven by the census of the filling (the lost disk's list
// 'done' within 0.3 s of its loss being known) on the drawn schedule 90111, of which this scenario is what is left of it.
func TestDiskLostWhileAnotherIsAway(t *testing.T) {
	playSomeSeeds(t, filepath.Join("testdata", "losses", "disk-lost-while-another-is-away.txt"), seedsFew)
}

// What was seen: a group of control had no leader for good after the loss of a zone that is to be borne, and what belonged to it waited.
// Cause: a group has one voter more than it needs while one is replaced, since members change one at a time: the zone that is lost in that moment has two of
// four voters. Proven by the voters that the play tells, two of which have lost their disks.
func TestZoneLostAsAVoterOfItIsPromoted(t *testing.T) {
	playSomeSeeds(t, filepath.Join("testdata", "losses", "zone-lost-as-a-voter-is-promoted.txt"), 0)
}
