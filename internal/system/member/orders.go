package member

import (
	"granitewing/internal/system/wire"
)

// ReportSettled notifies the keepers that all messages of a departed carrier have completed. Here and in the methods
// below, done is called once: with nil when the keepers have recorded it, or with the error of the call.
func (c *Client) ReportSettled(incarnation string, done func(err error)) {
	body := wire.SettleBody{Incarnation: incarnation, Adopter: c.member.Incarnation}
	c.peers.Call(c.keepers[c.keeperIndex], wire.SettleDeparted, wire.Encode(&body), openTimeout, func(_ []byte, err error) { done(err) })
}

// ReportDiskBackfilled notifies the keepers that this store's disk has been backfilled, so that it can count toward the
// write quorum.
func (c *Client) ReportDiskBackfilled(done func(err error)) {
	body := wire.CountDiskBody{Disk: c.member.Disk}
	c.peers.Call(c.keepers[c.keeperIndex], wire.CountDisk, wire.Encode(&body), openTimeout, func(_ []byte, err error) { done(err) })
}

// ReportDiskDrained notifies the keepers that every message on this store's leaving disk has enough replicas on other
// disks, by the roster of disks of the given epoch.
func (c *Client) ReportDiskDrained(epoch uint64, done func(err error)) {
	body := wire.DiskDrainedBody{Disk: c.member.Disk, Epoch: epoch}
	c.peers.Call(c.keepers[c.keeperIndex], wire.DiskDrained, wire.Encode(&body), openTimeout, func(_ []byte, err error) { done(err) })
}

// Release hands a unit over to the carrier that it was offered to. The token is the owner's fencing token and offer the
// number of the offer. A refusal with the code StaleOffer means that the unit stays with its owner; after any other
// error the outcome is unknown and the caller must repeat the call.
func (c *Client) Release(unit string, token, offer uint64, done func(err error)) {
	address := c.ownershipLeader
	if address == "" || !c.peers.Connected(address) {
		address = c.keepers[c.loop.Random(int64(len(c.keepers)))]
	}
	body := wire.ReleaseUnitBody{Unit: unit, Token: token, Offer: offer}
	c.peers.Call(address, wire.ReleaseUnit, wire.Encode(&body), callTimeout, func(_ []byte, err error) {
		c.ownershipLeader = address
		if err != nil {
			c.ownershipLeader = leaderFromRefusal(err)
		}
		done(err)
	})
}
