package member

import (
	"granitewing/internal/system/wire"
)

// Settle tells the keepers that a departed carrier's messages have all ended.
func (c *Client) Settle(incarnation string, done func(err error)) {
	body := wire.SettleBody{Incarnation: incarnation}
	c.peers.Call(c.keepers[c.current], wire.SettleDeparted, wire.Encode(&body), openTimeout, func(_ []byte, err error) { done(err) })
}

// CountDisk tells the keepers that this store's disk was filled.
func (c *Client) CountDisk(done func(err error)) {
	body := wire.CountDiskBody{Disk: c.member.Disk}
	c.peers.Call(c.keepers[c.current], wire.CountDisk, wire.Encode(&body), openTimeout, func(_ []byte, err error) { done(err) })
}

// DiskEmptied tells the keepers that all that lies on this store's leaving disk lies on enough others, by the roster of an epoch.
func (c *Client) DiskEmptied(epoch uint64, done func(err error)) {
	body := wire.DiskEmptiedBody{Disk: c.member.Disk, Epoch: epoch}
	c.peers.Call(c.keepers[c.current], wire.DiskEmptied, wire.Encode(&body), openTimeout, func(_ []byte, err error) { done(err) })
}

// Release hands a unit over as its owner was asked to. The error is a refusal with the code StaleOffer where the unit
// stays with its owner; after any other the outcome is not known, and the call is to be repeated.
func (c *Client) Release(unit string, token, offer uint64, done func(err error)) {
	address := c.ownersAt
	if address == "" || !c.peers.Up(address) {
		address = c.keepers[c.loop.Random(int64(len(c.keepers)))]
	}
	body := wire.ReleaseUnitBody{Unit: unit, Token: token, Offer: offer}
	c.peers.Call(address, wire.ReleaseUnit, wire.Encode(&body), callTimeout, func(_ []byte, err error) {
		c.ownersAt = address
		if err != nil {
			c.ownersAt = leaderOf(err)
		}
		done(err)
	})
}
